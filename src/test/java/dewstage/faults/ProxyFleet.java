package dewstage.faults;

import dewstage.Main;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Real processes of the program, each with a configuration and a log of its own. All end with the fleet. */
final class ProxyFleet implements AutoCloseable {
    private static final long END_S = 10;

    private final Path folder;
    private final boolean serveScript;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private boolean hangupIgnored;
    private final Thread atExit = new Thread(this::kill, "end of proxies");

    /**
     * No process is started yet.
     *
     * @param serveScript started by deploy/serve.sh from what was built, else by the class path of this process
     */
    ProxyFleet(Path folder, boolean serveScript) {
        this.folder = folder;
        this.serveScript = serveScript;
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    /** From now on processes start as under nohup. */
    void ignoreHangup() {
        hangupIgnored = true;
    }

    /** Starts one more; its number is in the settings. */
    void start(ProxySettings settings) throws IOException {
        int proxy = processes.size();
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        configure(proxy, settings);
        ProcessBuilder builder = new ProcessBuilder(command())
                .redirectErrorStream(true)
                .redirectOutput(log(proxy).toFile());
        builder.environment().remove("NODE_DISCOVERY");
        builder.environment().put("NODE_CONFIG", config(proxy).toString());
        builder.environment().put("NODE_LISTEN", "127.0.0.1:" + address.getPort());
        builder.environment().put("NODE_LOG_ATTEMPTS", "1");
        addresses.add(address);
        processes.add(builder.start());
    }

    /** Replaces the configuration file of one; it takes effect with a signal. */
    void configure(int proxy, ProxySettings settings) throws IOException {
        Files.writeString(config(proxy), settings.json());
    }

    /** Sends a signal by its name, as kill does. */
    void signal(int proxy, String name) throws IOException, InterruptedException {
        new ProcessBuilder(
                        "kill", "-" + name, String.valueOf(processes.get(proxy).pid()))
                .start()
                .waitFor();
    }

    InetSocketAddress address(int proxy) {
        return addresses.get(proxy);
    }

    boolean alive(int proxy) {
        return processes.get(proxy).isAlive();
    }

    int size() {
        return processes.size();
    }

    Path log(int proxy) {
        return folder.resolve("proxy-" + proxy + ".log");
    }

    /** Waits until a line with such a text is in the log; false if none comes in time. */
    boolean awaitLog(int proxy, String text, Duration patience) throws IOException, InterruptedException {
        long limit = System.nanoTime() + patience.toNanos();
        while (System.nanoTime() < limit) {
            if (Files.readString(log(proxy)).contains(text)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    private Path config(int proxy) {
        return folder.resolve("proxy-" + proxy + ".json");
    }

    private List<String> command() {
        List<String> command = new ArrayList<>();
        if (hangupIgnored) {
            command.addAll(List.of("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\""));
        }
        command.addAll(program());
        return command;
    }

    private List<String> program() {
        if (serveScript) {
            return List.of("sh", "deploy/serve.sh");
        }
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void kill() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() {
        kill();
        try {
            for (Process process : processes) {
                process.waitFor(END_S, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // they have been told to end
        }
        Runtime.getRuntime().removeShutdownHook(atExit);
    }
}
