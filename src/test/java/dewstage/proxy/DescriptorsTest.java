package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dewstage.Balancer;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.FileInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The program under a real limit on descriptors, with every place taken. */
@Timeout(120)
class DescriptorsTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final String SAME_LIST = "{\"generation\":41,\"reset\":false,\"instances\":[]}\n";
    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @TempDir
    Path folder;

    /** As many backends as there are descriptors, all at one address. */
    private void write(int limit, int listen, int discovery, Peer backend) throws IOException {
        JsonNode root = Setup.json("127.0.0.1:" + discovery, backend.hostPort(), limit, 5000);
        ((ObjectNode) root).put("listen", "127.0.0.1:" + listen);
        ((ObjectNode) root.path("settings")).put("balancers", 1);
        ArrayNode instances = (ArrayNode) root.at("/known/instances");
        for (int i = 2; i <= limit; i++) {
            instances.add(((ObjectNode) instances.get(0)).deepCopy().put("instanceId", "s-" + i));
        }
        Files.writeString(folder.resolve("config.json"), root.toString());
    }

    /** Starts a program that may have so many descriptors. */
    private Process start(int limit, String... program) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>(List.of("sh", "-c",
                "ulimit -n " + limit + " && exec \"$0\" \"$@\"", java, "-cp",
                System.getProperty("java.class.path")));
        command.addAll(List.of(program));
        ProcessBuilder process = new ProcessBuilder(command);
        process.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
        return process.start();
    }

    private static int freePort() throws IOException {
        try (Peer p = new Peer()) {
            return p.address().getPort();
        }
    }

    /** The log, gathered until the process ends. */
    private static LinkedBlockingQueue<String> log(Process p) {
        LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
        Thread t = new Thread(() -> {
            try (BufferedReader log = p.errorReader()) {
                for (String line = log.readLine(); line != null; line = log.readLine()) {
                    lines.add(line);
                }
            } catch (IOException e) {
                // the process is gone
            }
        });
        t.setDaemon(true);
        t.start();
        return lines;
    }

    private static void said(LinkedBlockingQueue<String> log, String text) throws InterruptedException {
        String line = "";
        while (!line.contains(text)) {
            line = log.poll(60, TimeUnit.SECONDS);
            assertTrue(line != null, "not said: " + text);
        }
    }

    private static long descriptors(Process p) throws IOException {
        try (Stream<Path> fds = Files.list(Path.of("/proc", String.valueOf(p.pid()), "fd"))) {
            return fds.count();
        }
    }

    /** Answers whatever comes, on each connection that does. */
    private static void answer(Peer backend) {
        Thread t = new Thread(() -> {
            try {
                while (true) {
                    Peer.Wire wire = backend.accept();
                    Thread each = new Thread(() -> {
                        try {
                            while (!wire.read().isEmpty()) {
                                wire.write(OK);
                            }
                        } catch (IOException e) {
                            // closed: it is over
                        }
                    });
                    each.setDaemon(true);
                    each.start();
                }
            } catch (InterruptedException | AssertionError e) {
                // no more are expected
            }
        });
        t.setDaemon(true);
        t.start();
    }

    @ParameterizedTest
    @ValueSource(ints = {256, 128})
    void withEveryPlaceTakenARequestIsServedAndTheWatchIsOpenedAgain(int limit) throws Exception {
        int listen = freePort();
        int away = freePort();
        List<Peer.Wire> crowd = new ArrayList<>();
        try (Peer backend = new Peer()) {
            write(limit, listen, away, backend);
            answer(backend);
            Process p = start(limit, "dewstage.Main", "serve");
            LinkedBlockingQueue<String> log = log(p);
            try {
                said(log, " ready");
                InetSocketAddress proxy = new InetSocketAddress("127.0.0.1", listen);
                long atStart = descriptors(p);
                try (Peer.Wire client = Peer.Wire.to(proxy)) { // to each backend, while places last
                    for (int i = 0; i < 2 * limit; i++) {
                        client.write(Setup.get("Request-Timeout: 2\r\n"));
                        assertTrue(client.read().contains(" 200 "));
                    }
                }
                long withBackends = descriptors(p);
                for (int i = 0; i < limit; i++) {
                    crowd.add(Peer.Wire.to(proxy));
                }
                try (Peer.Wire first = Peer.Wire.to(proxy)) {
                    assertTrue(first.write(Setup.get("Request-Timeout: 2\r\n")).read().contains(" 200 "));
                }
                long full = descriptors(p);
                assertTrue(atStart < withBackends && withBackends < full && full < limit,
                        atStart + ", " + withBackends + ", " + full);
                try (Peer back = new Peer(away)) {
                    Peer.Wire watch = back.accept();
                    assertTrue(watch.read().startsWith("GET /catalog/members?stream=1"));
                    watch.write(WATCH);
                    assertTrue(p.isAlive());
                }
            } finally {
                p.destroyForcibly().waitFor();
                for (Peer.Wire w : crowd) {
                    w.close();
                }
            }
            assertEquals(List.of(), log.stream().filter(l -> l.contains("oo many open files")).toList());
        }
    }

    /** The share of a side is an estimate: where it is wrong, that must pass with the shortage. */
    @Test
    void aShortageOfDescriptorsIsOverOnceTheyAreBack() throws Exception {
        try (Peer discovery = new Peer(); Peer backend = new Peer()) {
            int listen = freePort();
            Files.writeString(folder.resolve("config.json"), Setup.json(discovery.hostPort(),
                    backend.hostPort(), 6, 5000).toString().replace("127.0.0.1:0", "127.0.0.1:" + listen));
            Process p = start(256, Short.class.getName());
            LinkedBlockingQueue<String> log = log(p);
            try (BufferedWriter orders = p.outputWriter()) {
                Peer.Wire watch = discovery.accept();
                watch.read();
                watch.write(WATCH + Integer.toHexString(SAME_LIST.length()) + "\r\n" + SAME_LIST + "\r\n");
                said(log, "received DELTA");
                try (Peer.Wire client = Peer.Wire.to(new InetSocketAddress("127.0.0.1", listen))) {
                    client.write("GET /none HTTP/1.1\r\n\r\n");
                    assertTrue(client.read().startsWith("HTTP/1.1 404 ")); // it has its place
                    orders.append('\n').flush();
                    said(log, "none left");
                    for (int i = 0; i < 3; i++) { // of two places for backends none is lost
                        assertTrue(client.write(Setup.get()).read().startsWith("HTTP/1.1 502 "));
                    }
                    watch.close();
                    said(log, "discovery cannot be called");
                    orders.append('\n').flush();
                    said(log, "back");
                    assertTrue(discovery.accept().read().contains("index=41 "));
                    client.write(Setup.get());
                    Peer.Wire wire = backend.accept();
                    wire.read();
                    wire.write(OK);
                    assertTrue(client.read().endsWith("body"));
                }
            } finally {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** A proxy that is left without descriptors at the first line that it reads, and has them at the next. */
    static final class Short {
        private Short() { }

        public static void main(String[] args) throws Exception {
            Thread orders = new Thread(() -> {
                try {
                    System.in.read();
                    List<FileInputStream> taken = take(new ArrayList<>());
                    System.err.println("none left");
                    while (System.in.available() == 0) {
                        take(taken); // also what is given back meanwhile
                    }
                    for (FileInputStream f : taken) {
                        f.close();
                    }
                    System.err.println("back");
                } catch (IOException e) {
                    System.err.println(e);
                }
            });
            orders.setDaemon(true);
            orders.start();
            Proxy.run(System.getenv(), (settings, seed, now, out) -> new Sending(out));
        }

        private static List<FileInputStream> take(List<FileInputStream> taken) {
            try {
                while (true) {
                    taken.add(new FileInputStream("/dev/null"));
                }
            } catch (IOException e) {
                return taken; // none left
            }
        }
    }

    /** A module that sends each request once, to the server that it heard of last. */
    private record Sending(Actions out, int[] server) implements Balancer {
        Sending(Actions out) {
            this(out, new int[1]);
        }

        @Override
        public void onMembers(long now, ListKind kind, long version, List<Member> members) {
            members.forEach(m -> server[0] = m.id());
        }

        @Override
        public void onRequest(long now, Request request) {
            out.send(request.ticket(), server[0], 0);
        }

        @Override
        public void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs) { }

        @Override
        public void onOutcome(long now, Outcome outcome) {
            if (!outcome.over()) {
                out.fail(outcome.ticket());
            }
        }

        @Override
        public void onWithdrawn(long now, int ticket) { }

        @Override
        public void onTimer(long now, long token) { }
    }
}
