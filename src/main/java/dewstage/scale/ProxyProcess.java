package dewstage.scale;

import dewstage.Main;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** One real proxy in a process of its own: starts it, checks its readiness and reads its resource usage. */
final class ProxyProcess {
    private static final int HEALTH_TIMEOUT_MS = 1000;
    private static final int KB_PER_MB = 1024;

    /** The command that starts a proxy, and its working directory. */
    record Launch(List<String> command, Path workingDirectory) {
        /** Starts a built checkout as in service; from the class path if this program runs without a jar. */
        static Launch of(Build build) throws IOException {
            boolean usesStartScript = !build.name().equals(Build.OWN)
                    || Files.isRegularFile(Build.ownClasses());
            return new Launch(usesStartScript ? List.of("sh", "deploy/serve.sh")
                    : List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                            System.getProperty("java.class.path"), Main.class.getName(), "serve"),
                    build.folder());
        }
    }

    private final Process process;
    private final InetSocketAddress address;

    /** Starts the proxy on a free port, with its output redirected to the log. */
    ProxyProcess(Processes processes, Launch launch, Path config, Path log) throws IOException {
        this.address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), freePort());
        ProcessBuilder builder = new ProcessBuilder(launch.command())
                .directory(launch.workingDirectory().toFile())
                .redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().remove("NODE_DISCOVERY");
        builder.environment().putAll(Map.of("NODE_CONFIG", config.toString(), "NODE_LISTEN",
                "127.0.0.1:" + address.getPort()));
        this.process = processes.start(builder);
    }

    /** Returns a free port; the system does not assign it again soon after it is closed. */
    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    InetSocketAddress address() {
        return address;
    }

    long pid() {
        return process.pid();
    }

    boolean isRunning() {
        return process.isAlive();
    }

    /** Returns whether the health check reports ready; false also if there is no response within a second. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(address, HEALTH_TIMEOUT_MS);
            socket.setSoTimeout(HEALTH_TIMEOUT_MS);
            OutputStream out = socket.getOutputStream();
            out.write("GET /_health HTTP/1.1\r\nHost: scale\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            String statusLine = new String(in.readNBytes("HTTP/1.1 200".length()), StandardCharsets.US_ASCII);
            return statusLine.endsWith(" 200");
        } catch (IOException e) {
            return false; // not listening yet, or its event loop is blocked
        }
    }

    /** Returns the processor time since its start; zero if unknown. */
    Duration processorTime() {
        return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the current or peak memory in MB (VmRSS, VmHWM); 0 if the system does not report it. */
    double memoryMb(String field) throws IOException {
        Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        return Files.readAllLines(status).stream().filter(l -> l.startsWith(field + ":"))
                .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / KB_PER_MB).findFirst()
                .orElse(0);
    }

    void destroy() {
        process.destroyForcibly();
    }
}
