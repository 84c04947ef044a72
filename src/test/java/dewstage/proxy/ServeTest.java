package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.State;
import dewstage.Policy;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as a process: signals, reloads and what it loads. */
@Timeout(120)
class ServeTest {
    @TempDir
    Path folder;

    private void writeConfig(String text) throws Exception {
        Path temporary = Files.writeString(folder.resolve("next.json"), text);
        Files.move(temporary, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    private void writeConfig(Peer discovery, Peer backend) throws Exception {
        writeConfig(Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000).toString());
    }

    private Process serve(Peer discovery, String jvmOption) throws Exception {
        ProcessBuilder java = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                jvmOption, "-cp", System.getProperty("java.class.path"), "dewstage.Main", "serve");
        java.environment().putAll(Map.of("NODE_CONFIG", folder.resolve("config.json").toString(),
                "NODE_DISCOVERY", discovery.hostPort()));
        return java.start();
    }

    private static void signal(Process process, String name) throws Exception {
        assertEquals(0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor());
    }

    /** Reads the log up to a line that contains the text, and returns the line. */
    private static String awaitLogLine(BufferedReader log, String text) throws Exception {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertTrue(line != null, "the process ended without logging: " + text);
        return line;
    }

    @Test
    void sighupMovesTheWatchAnInvalidConfigurationIsIgnoredAndSigtermDrains() throws Exception {
        try (Peer first = new Peer(); Peer second = new Peer(); Peer third = new Peer();
                Peer backend = new Peer()) {
            writeConfig(first, backend);
            Process process = serve(first, "-Xlog:disable");
            try (BufferedReader log = process.errorReader()) {
                assertTrue(first.accept().read().contains("index=41 "));
                writeConfig(second, backend);
                signal(process, "HUP");
                Peer.Wire watch = second.accept(); // the file overrides NODE_DISCOVERY
                assertTrue(watch.read().contains("index=41 "));
                writeConfig("{\"listen\":");
                signal(process, "HUP");
                awaitLogLine(log, "is not used");
                writeConfig(third, backend);
                signal(process, "HUP");
                assertTrue(third.accept().read().contains("index=41 "));
                assertTrue(watch.awaitClose());
                signal(process, "TERM");
                awaitLogLine(log, "drained");
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void sigtermDuringStartDrainsTheProxy() throws Exception {
        try (Peer discovery = new Peer(); Peer backend = new Peer()) {
            writeConfig(discovery, backend);
            ProcessBuilder java = new ProcessBuilder(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp", System.getProperty("java.class.path"), ProxyBlockedAtStart.class.getName());
            java.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
            Process process = java.start();
            try (BufferedReader log = process.errorReader()) {
                awaitLogLine(log, "blocked");
                signal(process, "TERM");
                process.getOutputStream().write('\n');
                process.getOutputStream().flush();
                awaitLogLine(log, "drained");
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** The program, blocked in its start after the rehearsal until it reads a line. */
    static final class ProxyBlockedAtStart {
        private ProxyBlockedAtStart() { }

        public static void main(String[] args) throws Exception {
            AtomicInteger balancersCreated = new AtomicInteger();
            Proxy.run(System.getenv(), (settings, seed, now, actions) -> {
                if (balancersCreated.incrementAndGet() == 2) {
                    System.err.println("blocked");
                    try {
                        System.in.read();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                }
                return new Policy(settings, seed, now, actions);
            });
        }
    }

    /** Loading each of these classes prolongs the start by a tenth of a second or more on half a core. */
    @Test
    void startDoesNotLoadUnneededClasses() throws Exception {
        Path loaded = folder.resolve("loaded.txt");
        try (Peer discovery = new Peer(); Peer backend = new Peer()) {
            writeConfig(discovery, backend);
            Process process = serve(discovery, "-Xlog:class+load:file=" + loaded);
            try (BufferedReader log = process.errorReader()) {
                discovery.accept(); // the rehearsal is over
                String served = awaitLogLine(log, "requests of a rehearsal").split(" ")[2];
                assertTrue(Integer.parseInt(served) <= 150, "more requests than a start needs: " + served);
            } finally {
                process.destroyForcibly().waitFor();
            }
            String classes = Files.readString(loaded);
            assertTrue(classes.contains(" dewstage.proxy.Rehearsal "), "nothing was rehearsed");
            for (String name : List.of(".AllocateChunkEvent ", ".HttpServerCodec ",
                    ".ObjectMapper ", ".SimpleDateFormat ")) {
                assertFalse(classes.contains(name), name);
            }
        }
    }

    /** Loading time zones opens a file, and the process may have no descriptor left when a library logs. */
    @Test
    void libraryLogDoesNotLoadTimeZones() throws Exception {
        Path loaded = folder.resolve("loaded.txt");
        Process process = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:file=" + loaded, "-cp", System.getProperty("java.class.path"),
                LibraryWarning.class.getName()).start();
        try (BufferedReader log = process.errorReader()) {
            assertTrue(log.readLine().contains(" WARNING message: java.lang.IllegalStateException: why at "));
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
        assertFalse(Files.readString(loaded).contains("java.time.zone.TzdbZoneRulesProvider "));
    }

    /** A program that logs a warning as a library does. */
    static final class LibraryWarning {
        private LibraryWarning() { }

        public static void main(String[] args) {
            LibraryLog.install();
            Logger.getLogger("library").log(Level.WARNING, "message", new IllegalStateException("why"));
        }
    }

    @Test
    void reloadKeepsTheListAndAnUnchangedAddressKeepsTheWatch() throws Exception {
        try (Peer discovery = new Peer(); Peer newDiscovery = new Peer(); Peer backend = new Peer();
                Setup setup = new Setup().start(Setup.config(discovery, backend))) {
            setup.backendId();
            discovery.accept().read();
            setup.runOnLoop(() -> reload(setup, discovery, backend));
            setup.runOnLoop(() -> reload(setup, newDiscovery, backend));
            assertTrue(newDiscovery.accept().read().contains("index=41 "));
            assertTrue(discovery.hasNoPendingConnection());
            assertTrue(setup.events.stream().noneMatch(t -> t.kind().equals("members")));
        }
    }

    /** With discovery on request only the module starts calls, except after a change of the address. */
    @Test
    void newDiscoveryAddressIsCalledImmediatelyWithoutAnOpenWatch() throws Exception {
        try (Peer discovery = new Peer(); Peer newDiscovery = new Peer(); Peer backend = new Peer()) {
            JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
            Setup.requestLists(root, 10_000);
            try (Setup setup = new Setup().start(Config.parse(root, Map.of()))) {
                setup.backendId();
                setup.runOnLoop(() -> setup.actions.subscribe(true));
                discovery.accept().close();
                while (setup.awaitEvent("kind", ListKind.class) != ListKind.FAILED) {
                    continue; // until the watch is lost and the module waits before the next call
                }
                setup.runOnLoop(() -> reload(setup, newDiscovery, backend));
                Peer.Wire watch = newDiscovery.accept();
                assertTrue(watch.read().contains("index=41 "));
                setup.runOnLoop(() -> setup.actions.subscribe(true)); // keeps the open call
                watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2d\r\n{\"generation\":42,\"reset\":true,\"instances\":[]}\r\n");
                List<?> changes = setup.awaitEvent("members", List.class);
                assertEquals(1, changes.size(), "an empty list: the known member is gone");
                assertEquals(State.GONE, ((Member) changes.get(0)).state());
                assertTrue(newDiscovery.hasNoPendingConnection());
            }
        }
    }

    private static void reload(Setup setup, Peer discovery, Peer backend) {
        try {
            setup.proxy.reload(Setup.config(discovery, backend));
        } catch (ConfigException e) {
            throw new AssertionError(e);
        }
    }
}
