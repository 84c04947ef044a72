import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A new configuration moves discovery. The new address is crowded with the calls of the fleet's other proxies, so the
 * calls of the proxies here wait too long and end in 503. A backend begins to drain after the old address has
 * closed its connections.
 */
final class CrowdedMove {
    private static final int PROXIES = 3;
    private static final int OTHER_PROXIES = 200;
    private static final int BACKENDS = 4;
    private static final int CLIENTS_PER_PROXY = 2;
    /** Capacity 4 calls a second, time limit 2 s: within the ranges of the site file. */
    private static final long CALL_MS = 250;
    private static final long CALL_LIMIT_MS = 2000;
    /** The others are moved within this time, one after another, the proxies here last. */
    private static final int MOVE_OF_OTHERS_MS = 3000;
    private static final long OLD_ADDRESS_CLOSES_MS = 1500;
    private static final long DRAIN_AFTER_SIGNAL_MS = 2000;
    private static final long AFTER_SIGNAL_MS = 20_000;
    /** The latest of all times that the pages give: 4 s after the signal, 6 s after the change. */
    private static final long TOLD_AFTER_SIGNAL_MS = 4000;
    private static final long TOLD_AFTER_CHANGE_MS = 6000;
    private static final long DRAIN_GRACE_MS = 1500;
    /** Every time limit is 50 ms longer on sockets. */
    private static final long SOCKET_SLACK_MS = 50;

    private record Sent(String backend, String requestId, long atNs) { }

    private static final Discovery.Members MEMBERS = new Discovery.Members();
    private static final List<Sent> SENT = Collections.synchronizedList(new ArrayList<>());
    private static final Map<Integer, Integer> ANSWERS = new TreeMap<>();
    private static final AtomicBoolean STOP = new AtomicBoolean();
    private static volatile String draining = "";

    public static void main(String[] arguments) throws Exception {
        Stand.openRecord(arguments[0]);
        try {
            run();
        } catch (Exception e) {
            Stand.exit(2, "could not run: " + e);
        }
    }

    private static void run() throws Exception {
        List<Backend> backends = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Backend backend = new Backend("s-" + i, CrowdedMove::serve, (b, request) -> {
                SENT.add(new Sent(b.id, request.header("request-id"), request.firstByteNs));
                Stand.recordAt(request.firstByteNs, b.id + " got " + request.header("request-id"));
            });
            backends.add(backend);
            MEMBERS.put(backend.id, Stand.entry(backend.id, backend.port, "port-of-spain", 0, "in_service"));
        }
        Discovery oldAddress = new Discovery("old discovery", MEMBERS, CALL_MS, CALL_LIMIT_MS);
        Discovery newAddress = new Discovery("new discovery", MEMBERS, CALL_MS, CALL_LIMIT_MS);
        List<Stand.Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            Stand.Proxy proxy = new Stand.Proxy("n" + i, Stand.temporaryFolder());
            proxy.configure(config(proxy, i, oldAddress));
            proxy.start(oldAddress.port);
            proxies.add(proxy);
        }
        for (Stand.Proxy proxy : proxies) {
            if (!proxy.awaitReady(30)) {
                Stand.exit(2, "a proxy did not become ready");
            }
            for (int i = 0; i < CLIENTS_PER_PROXY; i++) {
                Stand.start("client", () -> client(proxy.port));
            }
        }
        Stand.sleepMs(3000);
        if (Stand.TROUBLE) {
            Stand.record(OTHER_PROXIES + " other proxies are moved to the new discovery from here on");
            for (int i = 0; i < OTHER_PROXIES; i++) {
                int number = i;
                Stand.start("other proxy", () -> otherProxy(number, newAddress.port));
            }
            Stand.sleepMs(MOVE_OF_OTHERS_MS);
        }
        long signalNs = System.nanoTime();
        for (int i = 0; i < PROXIES; i++) {
            proxies.get(i).configure(config(proxies.get(i), i, newAddress));
            proxies.get(i).signal("HUP");
        }
        oldAddress.closeListener();
        sleepUntil(signalNs, OLD_ADDRESS_CLOSES_MS);
        Stand.record("the old discovery closes its connections");
        oldAddress.closeConnections();
        sleepUntil(signalNs, DRAIN_AFTER_SIGNAL_MS);
        Backend leaving = backends.get(1);
        draining = leaving.id;
        long drainNs = MEMBERS.change(leaving.id,
                Stand.entry(leaving.id, leaving.port, "port-of-spain", 0, "terminating"));
        Stand.record(leaving.id + " begins to drain");
        sleepUntil(signalNs, AFTER_SIGNAL_MS);
        STOP.set(true);
        Stand.sleepMs(1500);
        judge(signalNs, drainNs, proxies, newAddress);
    }

    private static void judge(long signalNs, long drainNs, List<Stand.Proxy> proxies,
            Discovery newAddress) throws Exception {
        long toldNs = Math.max(signalNs + TOLD_AFTER_SIGNAL_MS * 1_000_000, drainNs + TOLD_AFTER_CHANGE_MS * 1_000_000);
        long limitNs = toldNs + (DRAIN_GRACE_MS + SOCKET_SLACK_MS) * 1_000_000;
        List<Sent> late = SENT.stream().filter(s -> s.backend().equals(draining) && s.atNs() > limitNs).toList();
        Stand.recordAt(toldNs, "the drain counts as told here at the latest");
        Stand.recordAt(limitNs, "nothing may be sent to " + draining + " from here on");
        late.forEach(s -> Stand.recordAt(s.atNs(), "sent too late: " + s.requestId()));
        Stand.record("answers by status: " + ANSWERS);
        Stand.record("calls answered by the new discovery, which took calls all the time: " + newAddress.answered());
        for (Stand.Proxy proxy : proxies) {
            if (!proxy.isAlive()) {
                Stand.exit(2, "a proxy has ended");
            }
            proxy.recordLog(40);
        }
        if (ANSWERS.getOrDefault(200, 0) < 100) {
            Stand.exit(2, "hardly any request was served: " + ANSWERS);
        }
        if (late.isEmpty()) {
            Stand.exit(0, "held: nothing was sent to the draining backend after its grace");
        }
        Stand.exit(1, "broken: " + late.size() + " requests were sent to the draining backend after its grace, the last "
                + (late.get(late.size() - 1).atNs() - limitNs) / 1_000_000 + " ms after it");
    }

    private static String config(Stand.Proxy proxy, int me, Discovery discovery) {
        return Stand.config(proxy.name, me, PROXIES + OTHER_PROXIES, proxy.port, discovery.port, 192, 1024,
                "on_request", MEMBERS.whole());
    }

    private static void serve(Socket socket, Stand.Message request, int number) throws Exception {
        Stand.sleepMs(20);
        Stand.write(socket, Stand.answer("200 OK", "", "state of " + request.header("request-id")));
    }

    private static void client(int port) throws Exception {
        while (!STOP.get()) {
            try (Socket socket = Stand.connect(port)) {
                while (!STOP.get()) {
                    String id = Stand.newRequestId();
                    Stand.write(socket, Stand.request(id, "status", 1.2, ""));
                    Stand.Message answer = Stand.read(socket.getInputStream());
                    Stand.record("client got " + answer.status() + " for " + id);
                    synchronized (ANSWERS) {
                        ANSWERS.merge(answer.status(), 1, Integer::sum);
                    }
                    if ("close".equalsIgnoreCase(answer.header("connection"))) {
                        break;
                    }
                    Stand.sleepMs(50);
                }
            }
        }
    }

    /** The calls of another proxy of the fleet: after a 503 it calls again within 2.5 s. */
    private static void otherProxy(int number, int port) throws Exception {
        Random random = new Random(number);
        Stand.sleepMs(random.nextInt(MOVE_OF_OTHERS_MS));
        while (!STOP.get()) {
            try (Socket socket = Stand.connect(port)) {
                Stand.write(socket, "GET /catalog/members?stream=1&index=1 HTTP/1.1\r\nHost: discovery\r\n"
                        + "X-Other-Proxy: " + number + "\r\n\r\n");
                Stand.Message head = Stand.readHead(socket.getInputStream());
                if (head.status() == 200) {
                    while (socket.getInputStream().read() >= 0) {
                        // a watch
                    }
                }
            }
            Stand.sleepMs(500 + random.nextInt(2000));
        }
    }

    private static void sleepUntil(long startNs, long ms) {
        Stand.sleepMs(ms - (System.nanoTime() - startNs) / 1_000_000);
    }
}
