package dewstage;

/** Ignores every action except {@code send} and {@code timer}; a test overrides those it checks. */
abstract class IgnoredActions implements Balancer.Actions {
    @Override
    public void refuse(int ticket, long retryInNs) { }

    @Override
    public void fail(int ticket) { }

    @Override
    public void cancel(int ticket, int attempt) { }

    @Override
    public void probe(int server) { }

    @Override
    public void closeIdle(int server) { }

    @Override
    public void tell(int peer, byte[] message) { }

    @Override
    public void log(String line) { }

    @Override
    public void subscribe(boolean on) { }

    @Override
    public void reload() { }
}
