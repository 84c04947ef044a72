import java.util.ArrayList;
import java.util.List;

/** Whoever reads the log of the proxy, its standard error, stops reading and stays. */
final class UnreadLog {
    private static final int BACKENDS = 4;
    private static final int ORDINARY_CLIENTS = 6;
    private static final long RUN_MS = 15_000;

    public static void main(String[] arguments) throws Exception {
        Stand.openRecord(arguments[0]);
        try {
            run();
        } catch (Exception e) {
            Stand.exit(2, "could not run: " + e);
        }
    }

    private static void run() throws Exception {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend backend = new Backend("s-" + i, (socket, request, number) -> {
                Stand.sleepMs(20);
                Stand.write(socket, Stand.answer("200 OK", "", "state of " + request.header("request-id")));
            }, (b, request) -> Stand.recordAt(request.lastByteNs, b.id + " got " + request.header("request-id")));
            entries.add(Stand.entry(backend.id, backend.port, "port-of-spain", 0, "in_service"));
        }
        Discovery discovery = new Discovery(entries);
        Stand.Proxy proxy = new Stand.Proxy("n0", Stand.temporaryFolder());
        proxy.configure(Stand.config(proxy.name, 0, 1, proxy.port, discovery.port, 192, 1024, "on_request",
                discovery.list()));
        proxy.environment.put("NODE_LOG_ATTEMPTS", "1");
        proxy.start(discovery.port);
        if (!proxy.awaitReady(30)) {
            Stand.exit(2, "the proxy did not become ready");
        }
        OrdinaryClients clients = new OrdinaryClients(proxy.port, ORDINARY_CLIENTS);
        Stand.sleepMs(3000);
        if (Stand.TROUBLE) {
            Stand.record("nobody reads the log from here on");
            proxy.readsLog = false;
        }
        Stand.sleepMs(RUN_MS);
        boolean hasEnded = !proxy.isAlive();
        clients.stop();
        proxy.recordLog(5);
        clients.judge(hasEnded);
    }
}
