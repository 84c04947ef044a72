import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A proxy is killed. While it is gone a backend begins to drain, and discovery goes down for 8 s. The proxy begins
 * again with the list that it had last. Lists are pushed: what discovery's agent has counts as told from the first
 * moment of the new process.
 */
final class RestartInOutage {
    private static final long GRACE_MS = 1500;
    /** "every time limit is 50 ms longer" */
    private static final long SLACK_MS = 50;
    private static final long OUTAGE_MS = 8000;

    private RestartInOutage() { }

    public static void main(String[] args) throws Exception {
        Stage.main(args, RestartInOutage::play);
    }

    private static boolean play(Stage stage) throws Exception {
        List<Long> sends = Collections.synchronizedList(new ArrayList<>());
        Catalog catalog = stage.add(new Catalog(stage, "discovery"));
        Backend leaving = stage.add(new Backend(stage, "leaving", (backend, request, socket, out) -> {
            sends.add(System.nanoTime());
            Thread.sleep(5);
            out.write(Backend.sound("answer to " + request.header("Request-Id")));
            return true;
        }));
        catalog.put("s-leaving", leaving.address(), "in_service", 0);
        for (int i = 0; i < 2; i++) {
            Backend other = stage.add(new Backend(stage, "other" + i, (backend, request, socket, out) -> {
                Thread.sleep(5);
                out.write(Backend.sound("answer to " + request.header("Request-Id")));
                return true;
            }));
            catalog.put("s-other" + i, other.address(), "in_service", 0);
        }
        Settings settings = new Settings(catalog.address(), catalog.list(0, true));
        settings.pushed = true;
        settings.drainGraceMs = GRACE_MS;
        Stage.Proxy before = stage.start(settings);
        ask(stage, before, "a", 2000);
        if (sends.isEmpty()) {
            throw new IllegalStateException("the backend got nothing while it was in service");
        }
        before.signal("KILL");
        before.awaitEnd(5000);
        catalog.put("s-leaving", leaving.address(), "terminating", 0);
        if (Stage.TROUBLE) {
            catalog.die();
            Stage.thread(() -> {
                try {
                    Thread.sleep(OUTAGE_MS);
                    catalog.comeBack();
                } catch (java.io.IOException | InterruptedException e) {
                    stage.record("discovery does not come back: " + e);
                }
            });
        }
        Thread.sleep(500);
        sends.clear();
        Stage.Proxy after = stage.start(settings, before.port); // with the list that it had last
        long readyAt = System.nanoTime(); // later than its first moment, in the proxy's favour
        ask(stage, after, "b", 8000);
        long limitNs = (GRACE_MS + SLACK_MS) * 1_000_000;
        int late = 0;
        long lastMs = 0;
        for (long at : List.copyOf(sends)) {
            late += at - readyAt > limitNs ? 1 : 0;
            lastMs = (at - readyAt) / 1_000_000;
        }
        stage.record(sends.size() + " sent to the draining backend by the new process, " + late + " of them more than "
                + limitNs / 1_000_000 + " ms after it was ready, the last one after " + lastMs + " ms");
        return late == 0;
    }

    private static void ask(Stage stage, Stage.Proxy proxy, String name, long ms) throws Exception {
        int served = 0;
        try (Client client = new Client(stage, proxy.port)) {
            long end = System.nanoTime() + ms * 1_000_000;
            for (int i = 0; System.nanoTime() < end; i++) {
                served += client.ask("/status", name + i, 1.2, null, null).status() == 200 ? 1 : 0;
                Thread.sleep(30);
            }
        }
        stage.record(served + " requests served in " + ms + " ms");
    }
}
