package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Clients that send several large requests at once and leave while the proxy has not read most of them. */
@Timeout(60)
class LeavingClientsTest {
    /** Number of seeds; more of them by hand. */
    private static final int SEEDS = Integer.getInteger("dewstage.seeds", 3);

    private static final Duration MAX_SEND_DELAY = Duration.ofMillis(100);
    private static final int CLIENTS = 24;
    private static final int MAX_REQUESTS = 13;
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int MAX_STOP_MS = 150;
    private static final int ROUNDS = 6;

    @TempDir
    Path folder;

    static List<Integer> seeds() {
        return IntStream.rangeClosed(1, SEEDS).boxed().toList();
    }

    /** The close was hidden behind unread requests, and attempts of them started long after it. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void requestsOfClientsThatLeftAreNotSent(int seed) throws Exception {
        Random random = new Random(seed);
        Map<String, Long> leftAtNs = new HashMap<>();
        try (FaultRun run = new FaultRun(folder, 1, 4, true, Duration.ofMillis(5), false)) {
            run.fleet.start(run.settings(0));
            assertTrue(run.fleet.awaitLog(0, " ready", Duration.ofSeconds(20)), "not ready");
            for (int round = 0; round < ROUNDS; round++) {
                playRound(run, random, seed + "-" + round, leftAtNs);
            }
            run.pause(Duration.ofSeconds(1));
            assertEquals(List.of(), lateRequests(run, leftAtNs), "seed " + seed);
            assertEquals(List.of(), repeatedRequests(run), "seed " + seed);
        }
    }

    /** Connects, stops the proxy, writes and leaves, and lets the proxy go on. */
    private static void playRound(FaultRun run, Random random, String name, Map<String, Long> leftAtNs)
            throws Exception {
        List<Socket> clients = new ArrayList<>();
        InetSocketAddress proxy = run.fleet.address(0);
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Socket(proxy.getAddress(), proxy.getPort()));
        }
        warmUp(clients, name);
        run.pause(Duration.ofMillis(50)); // connections to servers are not used again at once
        run.fleet.signal(0, "STOP");
        long stoppedAtNs = System.nanoTime();
        for (int i = 0; i < CLIENTS; i++) {
            leave(clients.get(i), "0-" + name + "-" + i, random, leftAtNs);
        }
        long remainingNs = Duration.ofMillis(MAX_STOP_MS).toNanos() - (System.nanoTime() - stoppedAtNs);
        run.pause(Duration.ofNanos(Math.max(0, remainingNs)));
        run.fleet.signal(0, "CONT");
        run.pause(Duration.ofMillis(100 + random.nextInt(200)));
    }

    /** Has a request of each client served at the same time, so that connections to the servers are open. */
    private static void warmUp(List<Socket> clients, String name) throws IOException {
        for (int i = 0; i < clients.size(); i++) {
            String request = "GET /look/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: 0-" + name + "-w" + i
                    + "\r\nRequest-Timeout: 0.6\r\n\r\n";
            clients.get(i).getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        }
        for (Socket client : clients) {
            HttpAnswer.read(client.getInputStream());
        }
    }

    private static void leave(Socket client, String id, Random random, Map<String, Long> leftAtNs) throws IOException {
        int requests = 1 + random.nextInt(MAX_REQUESTS);
        int bodyBytes = random.nextInt(MAX_BODY_BYTES);
        client.setSendBufferSize(2 * MAX_REQUESTS * MAX_BODY_BYTES); // a write must not wait for the proxy
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            text.append("POST /pay/1 HTTP/1.1\r\nHost: a\r\nRequest-Id: " + id + "-" + i
                    + "\r\nRequest-Timeout: 0.6\r\nContent-Length: " + bodyBytes + "\r\n\r\n"
                    + "x".repeat(bodyBytes));
        }
        client.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
        client.close();
        long leftNs = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            leftAtNs.put(id + "-" + i, leftNs);
        }
    }

    private static List<String> lateRequests(FaultRun run, Map<String, Long> leftAtNs) {
        return run.requests().stream()
                .filter(r -> leftAtNs.containsKey(r.requestId()))
                .filter(r -> r.atNs() - leftAtNs.get(r.requestId()) > MAX_SEND_DELAY.toNanos())
                .map(r -> r.requestId() + " sent " + (r.atNs() - leftAtNs.get(r.requestId())) / 1_000_000
                        + " ms after its client left")
                .toList();
    }

    private static List<String> repeatedRequests(FaultRun run) {
        Set<String> seen = new HashSet<>();
        return run.requests().stream()
                .map(DrainRule.ServerRequest::requestId)
                .filter(id -> !seen.add(id))
                .toList();
    }
}
