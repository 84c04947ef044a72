import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Clients stop one byte before the end of a request with the longest body that the pages allow, and stay. Meanwhile
 * ordinary clients send short requests, and their answers are judged.
 */
final class StoppedClients {
    private static final int BACKENDS = 4;
    private static final int ORDINARY_CLIENTS = 6;
    /** With the ordinary ones no more than a third of the descriptors, which clients may hold for requests. */
    private static final int STOPPED_CLIENTS = 330;
    private static final int BODY_BYTES = 64 << 10;
    private static final int MEMORY_MB = 88;
    private static final int SOCKETS = 1024;
    private static final long RUN_MS = 15_000;
    /** A longer wait than the 3 s that are owed. */
    private static final int GIVE_UP_MS = 5000;

    private static final AtomicBoolean STOP = new AtomicBoolean();
    private static final Map<String, Integer> STOPPED = new TreeMap<>();

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
        proxy.configure(Stand.config(proxy.name, 0, 1, proxy.port, discovery.port, MEMORY_MB, SOCKETS, "on_request",
                discovery.list()));
        proxy.start(discovery.port);
        if (!proxy.awaitReady(30)) {
            Stand.exit(2, "the proxy did not become ready");
        }
        OrdinaryClients clients = new OrdinaryClients(proxy.port, ORDINARY_CLIENTS);
        Stand.sleepMs(3000);
        if (Stand.TROUBLE) {
            Stand.record(STOPPED_CLIENTS + " clients stop in the middle of a request from here on");
            for (int i = 0; i < STOPPED_CLIENTS; i++) {
                Stand.start("stopped client", () -> stoppedClient(proxy.port));
            }
        }
        long endNs = System.nanoTime() + RUN_MS * 1_000_000;
        while (System.nanoTime() < endNs && proxy.isAlive()) {
            Stand.sleepMs(100);
        }
        boolean hasEnded = !proxy.isAlive();
        if (hasEnded) {
            Stand.record("the process of the proxy has ended");
        }
        STOP.set(true);
        clients.stop();
        Stand.record("stopped clients: " + STOPPED);
        proxy.recordLog(15);
        clients.judge(hasEnded);
    }

    private static void stoppedClient(int port) {
        String body = "x".repeat(BODY_BYTES);
        while (!STOP.get()) {
            try (Socket socket = Stand.connect(port)) {
                socket.setSoTimeout(GIVE_UP_MS);
                String id = Stand.newRequestId();
                String request = Stand.request(id, "dispatch", 1.5, body);
                Stand.write(socket, request.substring(0, request.length() - 1));
                Stand.record("stopped client sent all but one byte of " + id);
                String result = "close";
                try {
                    result = String.valueOf(Stand.readHead(socket.getInputStream()).status());
                } catch (SocketTimeoutException e) {
                    result = "neither an error nor a close within " + GIVE_UP_MS + " ms";
                } catch (IOException e) {
                    // closed or reset
                }
                synchronized (STOPPED) {
                    STOPPED.merge(result, 1, Integer::sum);
                }
            } catch (IOException e) {
                synchronized (STOPPED) {
                    STOPPED.merge("closed while writing, or no connection", 1, Integer::sum);
                }
            }
            Stand.sleepMs(200);
        }
    }
}
