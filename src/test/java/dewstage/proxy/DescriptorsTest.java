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

/** The program with a real limit on descriptors, when all of them are in use. */
@Timeout(120)
class DescriptorsTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final String SAME_LIST = "{\"generation\":41,\"reset\":false,\"instances\":[]}\n";
    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @TempDir
    Path folder;

    /** Writes a configuration with as many backends as there are descriptors, all at one address. */
    private void writeConfig(int limit, int listenPort, int discoveryPort, Peer backend) throws IOException {
        JsonNode root = Setup.json("127.0.0.1:" + discoveryPort, backend.hostPort(), limit, 5000);
        ((ObjectNode) root).put("listen", "127.0.0.1:" + listenPort);
        ((ObjectNode) root.path("settings")).put("balancers", 1);
        ArrayNode instances = (ArrayNode) root.at("/known/instances");
        for (int i = 2; i <= limit; i++) {
            instances.add(((ObjectNode) instances.get(0)).deepCopy().put("instanceId", "s-" + i));
        }
        Files.writeString(folder.resolve("config.json"), root.toString());
    }

    /** Starts a program with a limit on its descriptors. */
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

    /** Collects the log lines of the process in the background. */
    private static LinkedBlockingQueue<String> logLines(Process process) {
        LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
        Thread thread = new Thread(() -> {
            try (BufferedReader log = process.errorReader()) {
                for (String line = log.readLine(); line != null; line = log.readLine()) {
                    lines.add(line);
                }
            } catch (IOException e) {
                // the process has exited
            }
        });
        thread.setDaemon(true);
        thread.start();
        return lines;
    }

    private static void awaitLogLine(LinkedBlockingQueue<String> logLines, String text)
            throws InterruptedException {
        String line = "";
        while (!line.contains(text)) {
            line = logLines.poll(60, TimeUnit.SECONDS);
            assertTrue(line != null, "not logged: " + text);
        }
    }

    private static long openDescriptors(Process process) throws IOException {
        try (Stream<Path> entries = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            return entries.count();
        }
    }

    /** Discovery confirms the configured list, which remains in force when discovery is down afterwards. */
    private static void confirmListThenGoDown(int port, LinkedBlockingQueue<String> logLines)
            throws Exception {
        try (Peer discovery = new Peer(port); Peer.Wire watch = discovery.accept()) {
            watch.read();
            watch.write(WATCH + chunk(SAME_LIST));
            awaitLogLine(logLines, " ready");
        }
        awaitLogLine(logLines, "cannot connect");
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    @ParameterizedTest
    @ValueSource(ints = {256, 128})
    void withAllDescriptorsInUseRequestsAreServedAndTheWatchReconnects(int limit) throws Exception {
        int listenPort = Peer.freePort();
        int discoveryPort = Peer.freePort();
        List<Peer.Wire> idleClients = new ArrayList<>();
        try (Peer backend = new Peer()) {
            writeConfig(limit, listenPort, discoveryPort, backend);
            backend.respondToAll(OK);
            Process process = start(limit, "dewstage.Main", "serve");
            LinkedBlockingQueue<String> logLines = logLines(process);
            try {
                confirmListThenGoDown(discoveryPort, logLines);
                InetSocketAddress proxy = new InetSocketAddress("127.0.0.1", listenPort);
                long atStart = openDescriptors(process);
                try (Peer.Wire client = Peer.Wire.to(proxy)) { // to each backend, until its slots run out
                    for (int i = 0; i < 2 * limit; i++) {
                        client.write(Setup.get("Request-Timeout: 2\r\n"));
                        assertTrue(client.read().contains(" 200 "));
                    }
                }
                long withBackends = openDescriptors(process);
                for (int i = 0; i < limit; i++) {
                    idleClients.add(Peer.Wire.to(proxy));
                }
                try (Peer.Wire activeClient = Peer.Wire.to(proxy)) {
                    assertTrue(activeClient.write(Setup.get("Request-Timeout: 2\r\n")).read()
                            .contains(" 200 "));
                }
                long withClients = openDescriptors(process);
                assertTrue(atStart < withBackends && withBackends < withClients && withClients < limit,
                        atStart + ", " + withBackends + ", " + withClients);
                try (Peer discovery = new Peer(discoveryPort)) {
                    Peer.Wire watch = discovery.accept();
                    assertTrue(watch.read().startsWith("GET /catalog/members?stream=1"));
                    watch.write(WATCH);
                    assertTrue(process.isAlive());
                }
            } finally {
                process.destroyForcibly().waitFor();
                for (Peer.Wire connection : idleClients) {
                    connection.close();
                }
            }
            assertEquals(List.of(), logLines.stream().filter(l -> l.contains("oo many open files")).toList());
        }
    }

    /** The shares of descriptors are estimates; if one is wrong, the proxy must recover from the shortage. */
    @Test
    void proxyRecoversOnceDescriptorsAreAvailableAgain() throws Exception {
        try (Peer discovery = new Peer(); Peer backend = new Peer()) {
            int listenPort = Peer.freePort();
            Files.writeString(folder.resolve("config.json"),
                    Setup.json(discovery.hostPort(), backend.hostPort(), 6, 5000).toString()
                            .replace("127.0.0.1:0", "127.0.0.1:" + listenPort));
            Process process = start(256, ProxyWithoutDescriptors.class.getName());
            LinkedBlockingQueue<String> logLines = logLines(process);
            try (BufferedWriter commands = process.outputWriter()) {
                Peer.Wire watch = discovery.accept();
                watch.read();
                watch.write(WATCH + chunk(SAME_LIST));
                awaitLogLine(logLines, "received DELTA");
                try (Peer.Wire client = Peer.Wire.to(new InetSocketAddress("127.0.0.1", listenPort))) {
                    client.write("GET /none HTTP/1.1\r\n\r\n");
                    assertTrue(client.read().startsWith("HTTP/1.1 404 ")); // the connection is accepted
                    commands.append('\n').flush();
                    awaitLogLine(logLines, "none left");
                    for (int i = 0; i < 3; i++) { // neither of the two slots for backends is lost
                        assertTrue(client.write(Setup.get()).read().startsWith("HTTP/1.1 502 "));
                    }
                    watch.close();
                    awaitLogLine(logLines, "discovery cannot be called");
                    commands.append('\n').flush();
                    awaitLogLine(logLines, "back");
                    assertTrue(discovery.accept().read().contains("index=41 "));
                    client.write(Setup.get());
                    Peer.Wire connection = backend.accept();
                    connection.read();
                    connection.write(OK);
                    assertTrue(client.read().endsWith("body"));
                }
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
    }

    /** A proxy that uses up all descriptors when it reads a line, and frees them when it reads another. */
    static final class ProxyWithoutDescriptors {
        private ProxyWithoutDescriptors() { }

        public static void main(String[] args) throws Exception {
            Thread commands = new Thread(() -> {
                try {
                    System.in.read();
                    List<FileInputStream> descriptors = openAll(new ArrayList<>());
                    System.err.println("none left");
                    while (System.in.available() == 0) {
                        openAll(descriptors); // including those released meanwhile
                    }
                    for (FileInputStream descriptor : descriptors) {
                        descriptor.close();
                    }
                    System.err.println("back");
                } catch (IOException e) {
                    System.err.println(e);
                }
            });
            commands.setDaemon(true);
            commands.start();
            Proxy.run(System.getenv(), (settings, seed, now, actions) -> new SendOnceBalancer(actions));
        }

        private static List<FileInputStream> openAll(List<FileInputStream> descriptors) {
            try {
                while (true) {
                    descriptors.add(new FileInputStream("/dev/null"));
                }
            } catch (IOException e) {
                return descriptors; // none left
            }
        }
    }

    /** A module that sends each request once, to the last server of its latest list. */
    private record SendOnceBalancer(Actions actions, int[] server) implements Balancer {
        SendOnceBalancer(Actions actions) {
            this(actions, new int[1]);
        }

        @Override
        public void onMembers(long now, ListKind kind, long version, List<Member> members) {
            members.forEach(m -> server[0] = m.id());
        }

        @Override
        public void onRequest(long now, Request request) {
            actions.send(request.ticket(), server[0], 0);
        }

        @Override
        public void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs) { }

        @Override
        public void onOutcome(long now, Outcome outcome) {
            if (!outcome.over()) {
                actions.fail(outcome.ticket());
            }
        }

        @Override
        public void onWithdrawn(long now, int ticket) { }

        @Override
        public void onTimer(long now, long token) { }
    }
}
