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
    private static final int STOPPED_CLIENTS = 600;
    private static final int BODY_BYTES = 64 << 10;
    private static final int MEMORY_MB = 112;
    private static final int SOCKETS = 1024;
    private static final long RUN_MS = 15_000;
    private static final double TIMEOUT_S = 1.2;
    /** A request without an answer half a second after its time is lost; 50 ms more on sockets. */
    private static final long LOST_AFTER_MS = 1200 + 500 + 50;
    /** A longer wait than any answer can take. */
    private static final int GIVE_UP_MS = 5000;

    private static final AtomicBoolean STOP = new AtomicBoolean();
    private static final Map<String, Integer> ORDINARY = new TreeMap<>();
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
        Discovery.Members members = new Discovery.Members();
        for (int i = 0; i < BACKENDS; i++) {
            Backend backend = new Backend("s-" + i, (socket, request, number) -> {
                Stand.sleepMs(20);
                Stand.write(socket, Stand.answer("200 OK", "", "state of " + request.header("request-id")));
            }, (b, request) -> Stand.recordAt(request.lastByteNs, b.id + " got " + request.header("request-id")));
            members.put(backend.id, Stand.entry(backend.id, backend.port, "port-of-spain", 0, "in_service"));
        }
        Discovery discovery = new Discovery("discovery", members, 250, 2000);
        Stand.Proxy proxy = new Stand.Proxy("n0", Stand.temporaryFolder());
        proxy.configure(Stand.config(proxy.name, 0, 1, proxy.port, discovery.port, MEMORY_MB, SOCKETS, "on_request",
                members.whole()));
        proxy.start(discovery.port);
        if (!proxy.awaitReady(30)) {
            Stand.exit(2, "the proxy did not become ready");
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            clients.add(Stand.start("client", () -> client(proxy.port)));
        }
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
        for (Thread client : clients) {
            client.join(GIVE_UP_MS + 1000L);
        }
        Stand.record("ordinary clients: " + ORDINARY);
        Stand.record("stopped clients: " + STOPPED);
        proxy.recordLog(15);
        if (ORDINARY.getOrDefault("200", 0) < 100) {
            Stand.exit(2, "hardly any request was served before the disruption: " + ORDINARY);
        }
        if (hasEnded) {
            Stand.exit(1, "broken: the proxy has crashed; ordinary clients got " + ORDINARY);
        }
        if (ORDINARY.keySet().stream().anyMatch(result -> result.startsWith("lost"))) {
            Stand.exit(1, "broken: requests of ordinary clients were lost: " + ORDINARY);
        }
        Stand.exit(0, "held: the proxy runs and every ordinary request was answered: " + ORDINARY);
    }

    /** Counts and records what became of one request. */
    private static void count(Map<String, Integer> counts, String result, String id) {
        Stand.record("client got " + result + " for " + id);
        synchronized (counts) {
            counts.merge(result, 1, Integer::sum);
        }
    }

    private static void client(int port) {
        while (!STOP.get()) {
            try (Socket socket = Stand.connect(port)) {
                socket.setSoTimeout(GIVE_UP_MS);
                boolean keepsConnection = true;
                while (!STOP.get() && keepsConnection) {
                    keepsConnection = exchange(socket);
                    Stand.sleepMs(50);
                }
            } catch (IOException e) {
                count(ORDINARY, "no connection", "a request that was not sent");
                Stand.sleepMs(200);
            }
        }
    }

    /** Sends one request; returns whether the connection can be used again. */
    private static boolean exchange(Socket socket) {
        String id = Stand.newRequestId();
        long sentNs;
        try {
            Stand.write(socket, Stand.request(id, "status", TIMEOUT_S, ""));
            sentNs = System.nanoTime();
        } catch (IOException e) {
            count(ORDINARY, "not sent", id);
            return false;
        }
        try {
            Stand.Message answer = Stand.read(socket.getInputStream());
            boolean late = (answer.lastByteNs - sentNs) / 1_000_000 > LOST_AFTER_MS;
            count(ORDINARY, late ? "lost, answered too late" : String.valueOf(answer.status()), id);
            return !"close".equalsIgnoreCase(answer.header("connection"));
        } catch (SocketTimeoutException e) {
            count(ORDINARY, "lost, no answer within " + GIVE_UP_MS + " ms", id);
        } catch (IOException e) {
            // A close between requests may have crossed this one; it is then sent once more and not counted as lost.
            count(ORDINARY, "closed without an answer", id);
        }
        return false;
    }

    private static void stoppedClient(int port) {
        String body = "x".repeat(BODY_BYTES);
        while (!STOP.get()) {
            try (Socket socket = Stand.connect(port)) {
                socket.setSoTimeout(GIVE_UP_MS);
                String request = Stand.request(Stand.newRequestId(), "dispatch", 1.5, body);
                Stand.write(socket, request.substring(0, request.length() - 1));
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
