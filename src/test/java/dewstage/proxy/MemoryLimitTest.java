package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The program with the heap of a small memory limit, when clients make it hold as much as they can. */
@Timeout(120)
class MemoryLimitTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final int ROUNDS = 2;
    private static final int ORDINARY_CLIENTS = 4;
    private static final int PAUSE_MS = 20;
    /** The time of an ordinary request, and how much later an answer counts as lost. */
    private static final long TIMEOUT_MS = 1200;
    private static final long LOST_AFTER_MS = 500;
    /** The time within which an invalid or unfinished request is answered or its connection closed. */
    private static final long MAX_REJECTION_MS = 3000;

    @TempDir
    Path folder;

    /** Starts the program as deploy/serve.sh does for a memory limit that leaves it this heap. */
    private Process start(int heapMb) throws IOException {
        ProcessBuilder java = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xms" + heapMb + "m", "-Xmx" + heapMb + "m",
                "-Xmn" + heapMb * 2 / 5 + "m", "-XX:MaxDirectMemorySize=16m", "-cp",
                System.getProperty("java.class.path"), "dewstage.Main", "serve");
        java.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
        return java.start();
    }

    /** Lists are requested and discovery is unreachable, so that the configured list remains in force. */
    private void writeConfig(int listenPort, Peer backend) throws IOException {
        JsonNode root = Setup.json("127.0.0.1:" + Peer.freePort(), backend.hostPort(), 1024, 5000);
        Setup.requestLists(root, 10_000);
        Files.writeString(folder.resolve("config.json"), root.toString()
                        .replace("127.0.0.1:0\"", "127.0.0.1:" + listenPort + "\""));
    }

    /** Reads the log up to the line that says ready, and then discards the rest in the background. */
    private static void awaitReady(Process process) throws IOException {
        BufferedReader log = process.errorReader();
        for (String line = log.readLine(); !line.endsWith(" ready"); line = log.readLine()) {
            assertTrue(process.isAlive(), line);
        }
        Thread thread = new Thread(() -> log.lines().forEach(line -> { }));
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends short requests one at a time; returns how many were served, and fails if one is lost. */
    private static int sendOrdinaryRequests(InetSocketAddress proxy, AtomicBoolean stop) throws Exception {
        int served = 0;
        try (Peer.Wire client = Peer.Wire.to(proxy)) {
            while (!stop.get()) {
                long sentAt = System.nanoTime();
                client.write(Setup.get("Request-Timeout: " + TIMEOUT_MS / 1000.0 + "\r\n"));
                String response = client.read();
                long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
                assertTrue(response.startsWith("HTTP/1.1 "), "no answer: " + response);
                assertTrue(elapsedMs <= TIMEOUT_MS + LOST_AFTER_MS, elapsedMs + " ms");
                served += response.contains(" 200 ") ? 1 : 0;
                Thread.sleep(PAUSE_MS);
            }
        }
        return served;
    }

    /** A client that stops one byte before the end of a request with the longest body, and stays. */
    private static void stopInTheMiddle(InetSocketAddress proxy) throws IOException {
        String body = "x".repeat(Backends.MAX_BODY_BYTES - 1);
        long connectedAt = System.nanoTime();
        try (Peer.Wire client = Peer.Wire.to(proxy)) {
            client.write(Setup.get("Request-Timeout: 1.5\r\nContent-Length: " + Backends.MAX_BODY_BYTES
                    + "\r\n").replace("GET /look", "POST /pay") + body);
            String response = client.read();
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connectedAt);
            assertTrue(response.startsWith("HTTP/1.1 503 ") || response.startsWith("HTTP/1.1 408 "),
                    response);
            assertTrue(elapsedMs <= MAX_REJECTION_MS, elapsedMs + " ms");
        }
    }

    /** Each client on a thread of its own, so that none is late because the test waits for another one. */
    private static void stopInTheMiddle(ExecutorService threads, InetSocketAddress proxy, int clients)
            throws Exception {
        List<Future<?>> stopped = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            stopped.add(threads.submit(() -> {
                stopInTheMiddle(proxy);
                return null;
            }));
        }
        for (Future<?> client : stopped) {
            client.get(60, TimeUnit.SECONDS);
        }
    }

    /** The heaps for memory limits of up to 80, 88, 112 and 192 MB. The proxy has slots for 576 clients. */
    @ParameterizedTest
    @CsvSource({"16, 330", "21, 330", "37, 570", "90, 570"})
    void clientsThatStopInTheMiddleOfLongRequestsDoNotUseUpTheHeap(int heapMb, int clients)
            throws Exception {
        int listenPort = Peer.freePort();
        InetSocketAddress proxy = new InetSocketAddress("127.0.0.1", listenPort);
        ExecutorService threads = Executors.newCachedThreadPool();
        AtomicBoolean stop = new AtomicBoolean();
        try (Peer backend = new Peer()) {
            writeConfig(listenPort, backend);
            backend.respondToAll(OK);
            Process process = start(heapMb);
            try {
                awaitReady(process);
                Callable<Integer> ordinary = () -> sendOrdinaryRequests(proxy, stop);
                List<Future<Integer>> results = new ArrayList<>();
                for (int i = 0; i < ORDINARY_CLIENTS; i++) {
                    results.add(threads.submit(ordinary));
                }
                for (int i = 0; i < ROUNDS; i++) {
                    stopInTheMiddle(threads, proxy, clients);
                }
                stop.set(true);
                for (Future<Integer> result : results) {
                    assertTrue(result.get(60, TimeUnit.SECONDS) > 0, "no ordinary request was served");
                }
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly().waitFor();
            }
        } finally {
            stop.set(true);
            threads.shutdownNow();
        }
    }
}
