package dewstage.faults;

import dewstage.Main;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Proxy processes, each with a configuration and a log of its own. All are killed when the fleet is closed. */
final class ProxyFleet implements AutoCloseable {
    private static final long EXIT_TIMEOUT_S = 10;

    private final Path folder;
    private final boolean useServeScript;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private boolean isHangupIgnored;
    private final Thread shutdownHook = new Thread(this::killAll, "kill proxies");

    /**
     * Creates a fleet without processes.
     *
     * @param useServeScript whether to start the built program with deploy/serve.sh or the class path of this process
     */
    ProxyFleet(Path folder, boolean useServeScript) {
        this.folder = folder;
        this.useServeScript = useServeScript;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Makes later processes start with SIGHUP ignored, as under nohup. */
    void ignoreHangup() {
        isHangupIgnored = true;
    }

    /** Starts the next process; its number must be the one in the settings. */
    void start(ProxySettings settings) throws IOException {
        int proxy = processes.size();
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), HarnessPorts.next());
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

    /** Replaces the configuration file of a process, which takes effect with a signal. */
    void configure(int proxy, ProxySettings settings) throws IOException {
        Files.writeString(config(proxy), settings.json());
    }

    /** Sends a signal by name. */
    void signal(int proxy, String name) throws IOException, InterruptedException {
        new ProcessBuilder(
                        "kill", "-" + name, String.valueOf(processes.get(proxy).pid()))
                .start()
                .waitFor();
    }

    InetSocketAddress address(int proxy) {
        return addresses.get(proxy);
    }

    boolean isRunning(int proxy) {
        return processes.get(proxy).isAlive();
    }

    /** The most resident memory that a process has had, in KB. */
    long peakResidentKb(int proxy) throws IOException {
        try (Stream<String> status =
                Files.lines(Path.of("/proc/" + processes.get(proxy).pid() + "/status"))) {
            return status.filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        }
    }

    Path log(int proxy) {
        return folder.resolve("proxy-" + proxy + ".log");
    }

    /** Waits until the log contains a text; returns false if it does not in time. */
    boolean awaitLog(int proxy, String text, Duration timeout) throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() < deadlineNs) {
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
        if (isHangupIgnored) {
            command.addAll(List.of("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\""));
        }
        command.addAll(programCommand());
        return command;
    }

    private List<String> programCommand() {
        if (useServeScript) {
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

    private void killAll() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() {
        killAll();
        try {
            for (Process process : processes) {
                process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the processes have been killed already
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
