package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program when its heap is full for good. */
@Timeout(120)
class OutOfMemoryTest {
    private static final int REQUESTS = 20;
    private static final int TIMEOUT_S = 2;
    private static final int EXIT_TIMEOUT_S = 10;
    private static final int POLL_MS = 20;

    @TempDir
    Path folder;

    /** The process stood still: its event loop had ended, and the system still accepted connections. */
    @Test
    void processAnswersOrExitsInsteadOfStandingStill() throws Exception {
        try (Peer backend = new Peer()) {
            int listenPort = Peer.freePort();
            // Discovery is unreachable, so that the configured list is in force.
            Files.writeString(folder.resolve("config.json"),
                    Setup.json("127.0.0.1:" + Peer.freePort(), backend.hostPort(), 256, 5000).toString()
                            .replace("127.0.0.1:0\"", "127.0.0.1:" + listenPort + "\""));
            ProcessBuilder java = new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx16m",
                    "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"),
                    ProxyWithAFullHeap.class.getName());
            java.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
            Process process = java.redirectErrorStream(true)
                    .redirectOutput(folder.resolve("log").toFile()).start();
            try {
                while (!isAnswered(listenPort)) {
                    assertTrue(process.isAlive());
                    Thread.sleep(POLL_MS);
                }
                process.getOutputStream().write('\n');
                process.getOutputStream().flush();
                int answered = 0;
                while (process.isAlive() && answered < REQUESTS) {
                    if (isAnswered(listenPort)) {
                        answered++;
                    } else {
                        boolean hasEnded = process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
                        assertTrue(hasEnded, "no answer, and no exit; log: "
                                + Files.readString(folder.resolve("log")));
                    }
                }
                if (!process.isAlive()) {
                    assertNotEquals(0, process.exitValue());
                } else {
                    assertEquals(REQUESTS, answered);
                }
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
    }

    private static boolean isAnswered(int port) {
        try (Peer.Wire client = Peer.Wire.to(new InetSocketAddress("127.0.0.1", port))) {
            client.write(Setup.get("Request-Timeout: " + TIMEOUT_S + "\r\n"));
            return client.read().startsWith("HTTP/1.1 ");
        } catch (IOException e) {
            return false;
        }
    }

    /** A proxy whose module fills the heap at its first request after the process has read a line. */
    static final class ProxyWithAFullHeap {
        private static final List<byte[]> HELD = new ArrayList<>(1 << 20);
        private static volatile boolean fills;

        private ProxyWithAFullHeap() { }

        public static void main(String[] args) throws Exception {
            Thread commands = new Thread(() -> {
                try {
                    System.in.read();
                    fills = true;
                } catch (IOException e) {
                    System.err.println(e);
                }
            });
            commands.setDaemon(true);
            commands.start();
            Proxy.run(System.getenv(), (settings, seed, now, actions) -> new FullHeapBalancer(actions));
        }

        private static void fillHeap() {
            for (int size = 1 << 20; size > 0; size /= 2) {
                try {
                    while (true) {
                        HELD.add(new byte[size]);
                    }
                } catch (OutOfMemoryError e) {
                    // a smaller size may still fit
                }
            }
        }
    }

    /** A module that refuses all requests. */
    private record FullHeapBalancer(Actions actions) implements Balancer {
        @Override
        public void onMembers(long now, ListKind kind, long version, List<Member> members) { }

        @Override
        public void onRequest(long now, Request request) {
            if (ProxyWithAFullHeap.fills) {
                ProxyWithAFullHeap.fillHeap();
            }
            actions.refuse(request.ticket(), 0);
        }

        @Override
        public void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs) { }

        @Override
        public void onOutcome(long now, Outcome outcome) { }

        @Override
        public void onWithdrawn(long now, int ticket) { }

        @Override
        public void onTimer(long now, long token) { }
    }
}
