package dewstage.scale;

import dewstage.scale.ProxyProcess.Launch;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The real proxies of one build that use a list of one size: one side of a comparison. */
final class ProxyGroup {
    /** Limits of a real proxy in the target deployment. */
    static final int MEMORY_MB = 192;
    static final int SOCKETS = 1024;
    /** Field of /proc/PID/status with the resident memory. */
    static final String MEMORY_NOW = "VmRSS";
    /** Field of /proc/PID/status with the peak of the resident memory. */
    static final String MEMORY_PEAK = "VmHWM";
    private static final long POLL_MS = 50;

    private final String build;
    private final int entries;
    private final List<ProxyProcess> proxies = new ArrayList<>();
    private double readyS = Double.NaN;

    /** Starts the proxies, with their logs and configurations in the given folder. */
    ProxyGroup(Processes processes, String build, Launch launch, DiscoveryStandIn discovery, int entries,
            int count, long seed, Path folder) throws IOException {
        this.build = build;
        this.entries = entries;
        int balancers = Math.max(count, ModuleShape.scaled(entries).balancers());
        for (int i = 0; i < count; i++) {
            Path config = folder.resolve(build + '-' + entries + '-' + i + ".json");
            Files.writeString(config, new ProxyConfig(seed, i, balancers, "127.0.0.1:0",
                    discovery.hostPort(), MEMORY_MB, SOCKETS).json());
            proxies.add(new ProxyProcess(processes, launch, config, Path.of(config + ".log")));
        }
    }

    String build() {
        return build;
    }

    int entries() {
        return entries;
    }

    /** Waits until all proxies are ready; returns false on a timeout or if one has exited. */
    boolean awaitReady(long timeoutNs) throws InterruptedException {
        long startNs = System.nanoTime();
        List<ProxyProcess> notReady = new ArrayList<>(proxies);
        while (!notReady.isEmpty()) {
            if (System.nanoTime() - startNs > timeoutNs || runningCount() < proxies.size()) {
                return false;
            }
            Thread.sleep(POLL_MS);
            notReady.removeIf(ProxyProcess::isReady);
        }
        readyS = (System.nanoTime() - startNs) / 1e9;
        return true;
    }

    /** Returns the seconds from the start of the last proxy until all were ready; NaN if they never were. */
    double readyS() {
        return readyS;
    }

    /** Returns the number of proxies that are running. */
    int runningCount() {
        return (int) proxies.stream().filter(ProxyProcess::isRunning).count();
    }

    void destroy() {
        proxies.forEach(ProxyProcess::destroy);
    }

    List<List<InetSocketAddress>> addresses() {
        return proxies.stream().map(p -> List.of(p.address())).toList();
    }

    /** Returns the processor time of all proxies since their start. */
    Duration processorTime() {
        return proxies.stream().map(ProxyProcess::processorTime).reduce(Duration.ZERO, Duration::plus);
    }

    /** Returns the largest memory of a proxy in MB, by a field of its process status. */
    double memoryMb(String field) throws IOException {
        double maxMb = 0;
        for (ProxyProcess p : proxies) {
            maxMb = Math.max(maxMb, p.memoryMb(field));
        }
        return maxMb;
    }
}
