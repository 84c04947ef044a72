import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** One backend of four sends some of its answers a second time, some milliseconds after the first. */
final class SecondAnswer {
    private static final int BACKENDS = 4;
    private static final int CLIENTS = 12;
    private static final long RUN_MS = 25_000;
    /** The share of the answers of that one backend that come twice, and how much later. */
    private static final double SPOILT_SHARE = 0.1;
    private static final long SECOND_AFTER_MS = 12;

    private static final AtomicBoolean STOP = new AtomicBoolean();
    private static final AtomicInteger SECOND_ANSWERS = new AtomicInteger();
    private static final AtomicInteger FOREIGN = new AtomicInteger();
    private static final Map<String, Integer> RESULTS = new TreeMap<>();

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
            boolean isSpoilt = Stand.TROUBLE && i == 0;
            Backend backend = new Backend("s-" + i, (socket, request, number) -> serve(socket, request, isSpoilt),
                    (b, request) -> Stand.recordAt(request.lastByteNs, b.id + " got " + request.header("request-id")));
            entries.add(Stand.entry(backend.id, backend.port, "port-of-spain", 0, "in_service"));
        }
        Discovery discovery = new Discovery(entries);
        Stand.Proxy proxy = new Stand.Proxy("n0", Stand.temporaryFolder());
        proxy.configure(Stand.config(proxy.name, 0, 4, proxy.port, discovery.port, 192, 1024, "on_request",
                discovery.list()));
        proxy.start(discovery.port);
        if (!proxy.awaitReady(30)) {
            Stand.exit(2, "the proxy did not become ready");
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Stand.start("client", () -> client(proxy.port)));
        }
        Stand.sleepMs(RUN_MS);
        STOP.set(true);
        for (Thread client : clients) {
            client.join(5000);
        }
        Stand.record("second answers sent: " + SECOND_ANSWERS + "; clients got " + RESULTS);
        if (!proxy.isAlive() || RESULTS.getOrDefault("200", 0) < 500) {
            Stand.exit(2, "the proxy has ended or hardly any request was served: " + RESULTS);
        }
        if (FOREIGN.get() == 0) {
            Stand.exit(0, "held: every 200 had the body that a backend made for the request: " + RESULTS);
        }
        Stand.exit(1, "broken: " + FOREIGN + " requests were answered 200 with the answer to another request, after "
                + SECOND_ANSWERS + " second answers: " + RESULTS);
    }

    private static String bodyFor(String id) {
        return "state of " + id;
    }

    private static void serve(Socket socket, Stand.Message request, boolean isSpoilt) throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Stand.sleepMs(15 + random.nextInt(15));
        String id = request.header("request-id");
        String answer = Stand.answer("200 OK", "", bodyFor(id));
        Stand.write(socket, answer);
        if (isSpoilt && random.nextDouble() < SPOILT_SHARE) {
            long firstNs = System.nanoTime();
            Stand.sleepMs(SECOND_AFTER_MS);
            Stand.record("second answer to " + id + " is written "
                    + (System.nanoTime() - firstNs) / 100_000 / 10.0 + " ms after the first");
            SECOND_ANSWERS.incrementAndGet();
            Stand.write(socket, answer);
        }
    }

    private static void client(int port) throws Exception {
        while (!STOP.get()) {
            try (Socket socket = Stand.connect(port)) {
                socket.setSoTimeout(4000);
                while (!STOP.get()) {
                    String id = Stand.newRequestId();
                    Stand.write(socket, Stand.request(id, "status", 1.2, ""));
                    Stand.record("client sent " + id);
                    Stand.Message answer = Stand.read(socket.getInputStream());
                    boolean isForeign = answer.status() == 200 && !answer.text().equals(bodyFor(id));
                    Stand.record("client got " + answer.status() + " for " + id
                            + (isForeign ? ", FOREIGN: " + answer.text() : ""));
                    if (isForeign) {
                        FOREIGN.incrementAndGet();
                    }
                    synchronized (RESULTS) {
                        RESULTS.merge(String.valueOf(answer.status()), 1, Integer::sum);
                    }
                    if ("close".equalsIgnoreCase(answer.header("connection"))) {
                        break;
                    }
                    Stand.sleepMs(ThreadLocalRandom.current().nextInt(20));
                }
            }
        }
    }
}
