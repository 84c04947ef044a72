import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One play of a case: the record, a temporary folder, and the proxies that it starts and ends. */
final class Stage implements Closeable {
    /** Whether the disruption is played; TROUBLE=0 leaves it out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** A proxy as a process of its own, started by the command of the deploy file. */
    final class Proxy {
        final int port;
        private final Process process;
        private final Path config;
        private final Path log;

        private Proxy(int port, Process process, Path config, Path log) {
            this.port = port;
            this.process = process;
            this.config = config;
            this.log = log;
        }

        /** Sends a signal by its name, such as STOP. */
        void signal(String signal) throws IOException, InterruptedException {
            if (!process.isAlive()) {
                record("the proxy is not there to get SIG" + signal);
                return;
            }
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
            record("the proxy got SIG" + signal);
        }

        /**
         * Prepares a process that stops the proxy as soon as a line is written to it, and lets it go on after a time.
         */
        Process prepareStop(int ms) throws IOException {
            Process stop = new ProcessBuilder("/bin/sh", "-c", "read line || exit 0; kill -STOP " + process.pid()
                    + "; sleep " + ms / 1000.0 + "; kill -CONT " + process.pid()).start();
            stops.add(stop);
            return stop;
        }

        void replaceConfig(String json) throws IOException {
            Path next = config.resolveSibling(config.getFileName() + ".next");
            Files.writeString(next, json);
            Files.move(next, config, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Returns the exit status, or -1 if the process does not end in time. */
        int awaitEnd(long ms) throws InterruptedException {
            return process.waitFor(ms, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
        }

        String log() throws IOException {
            return Files.readString(log);
        }
    }

    private final PrintWriter record;
    private final Path folder;
    private final List<Proxy> proxies = new CopyOnWriteArrayList<>();
    private final List<Process> stops = new CopyOnWriteArrayList<>();
    private final List<Closeable> stands = new ArrayList<>();
    private final long beganNs = System.nanoTime();

    Stage(String recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        folder = Files.createTempDirectory("review-2-");
        record("TROUBLE=" + (TROUBLE ? 1 : 0));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses)); // also when a signal ends the script
    }

    private void endProcesses() {
        for (Process stop : stops) {
            List<ProcessHandle> sleeping = stop.descendants().toList();
            stop.destroyForcibly(); // first, so that it starts nothing more
            sleeping.forEach(ProcessHandle::destroyForcibly);
        }
        for (Proxy proxy : proxies) {
            proxy.process.destroyForcibly();
        }
    }

    <T extends Closeable> T add(T stand) {
        stands.add(stand);
        return stand;
    }

    static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static String shorten(String text) {
        String line = text.strip().replace("\r", "\\r").replace("\n", "\\n");
        return line.length() > 90 ? line.substring(0, 90) + "... (" + text.length() + " bytes)" : line;
    }

    double seconds() {
        return (System.nanoTime() - beganNs) / 1e9;
    }

    synchronized void record(String line) {
        record.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), line));
    }

    /** Returns a free port below those that the system gives to outgoing connections, which could take it at once. */
    static int freePort() throws IOException {
        IOException last = null;
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                last = e; // in use
            }
        }
        throw last;
    }

    /** Starts a proxy and waits until it is ready. */
    Proxy start(Settings settings) throws IOException, InterruptedException {
        return start(settings, freePort());
    }

    /** As above, at a given port: a proxy that begins again keeps its address. */
    Proxy start(Settings settings, int port) throws IOException, InterruptedException {
        Path config = folder.resolve("config-" + proxies.size() + ".json");
        Path log = folder.resolve("log-" + proxies.size() + ".txt");
        Files.writeString(config, settings.json("127.0.0.1:" + port));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/serve.sh");
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("NODE_DISCOVERY", settings.discovery);
        builder.environment().put("NODE_NAME", "n0");
        builder.environment().put("NODE_LOG_ATTEMPTS", "1");
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.redirectInput(new File("/dev/null"));
        Proxy proxy = new Proxy(port, builder.start(), config, log);
        proxies.add(proxy);
        record("a proxy starts on port " + port);
        for (int i = 0; i < 300; i++) {
            Thread.sleep(100);
            if (!proxy.isAlive()) {
                throw new IOException("the proxy did not start: " + proxy.log());
            }
            try (Client client = new Client(this, port)) {
                client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
                if (client.read("-", System.nanoTime(), 2).status() == 200) {
                    record("the proxy is ready");
                    return proxy;
                }
            } catch (IOException e) {
                // not listening yet
            }
        }
        throw new IOException("the proxy is not ready after 30 s");
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Proxy proxy : proxies) {
            try {
                proxy.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            record("---- log of the proxy on port " + proxy.port);
            Files.readAllLines(proxy.log).forEach(record::println);
        }
        for (Closeable stand : stands) {
            stand.close();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        record.close();
    }

    /** One case. Returns whether the rule held. */
    interface Play {
        boolean run(Stage stage) throws Exception;
    }

    // Not 0 and 1: a Java runtime that fails by itself ends with 1. The script translates them.
    private static final int HELD = 10;
    private static final int BROKEN = 11;
    private static final int NOT_PLAYED = 2;

    /** Plays a case and exits with one of the statuses above. */
    static void main(String[] args, Play play) throws IOException {
        int status = NOT_PLAYED;
        try (Stage stage = new Stage(args[0])) {
            thread(() -> {
                try {
                    Thread.sleep(110_000);
                } catch (InterruptedException e) {
                    return;
                }
                stage.record("not played: it took too long");
                System.exit(NOT_PLAYED);
            });
            try {
                status = play.run(stage) ? HELD : BROKEN;
            } catch (Exception e) {
                stage.record("could not be played: " + e);
                e.printStackTrace();
            }
            String result = status == HELD ? "the rule held" : status == BROKEN ? "the rule was BROKEN" : "not played";
            stage.record(result);
            System.out.println(result);
        }
        System.exit(status);
    }
}
