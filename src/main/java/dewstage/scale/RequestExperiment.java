package dewstage.scale;

import dewstage.scale.ProxyProcess.Launch;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/**
 * Measures the latency that real proxies add to requests, and the resources they use, with lists of several
 * sizes that refer to the same few real backends. The groups of proxies are loaded one at a time, in turn;
 * all proxies of a group receive the request rate of service at once.
 */
@Command(name = "request", description = "latency added by real proxies with small and large lists, in turn")
final class RequestExperiment extends Experiment {
    /** Numbers of entries that are measured by default. */
    private static final List<Integer> SIZES = List.of(200, 68_000);
    /** Numbers of proxies that are measured by default. */
    private static final List<Integer> PROXIES = List.of(2);
    /** List size that the growth is measured from. */
    private static final int SMALL_ENTRIES = 200;
    /** List size that the growth is measured to. */
    private static final int LARGE_ENTRIES = ModuleShape.TARGET_ENTRIES;
    /** Upper bound for the planned fleet: added latency at the 99th percentile. */
    private static final double MAX_ADDED_MS = 2.3;
    /** Upper bound for the planned fleet: growth of the added latency with the list. */
    private static final double MAX_GROWTH = 1.2;
    /** Percentile of the latencies that are compared. */
    private static final double PERCENTILE = 99;
    private static final double PERCENT = 100;
    /** Length of a turn; the groups alternate so that other load on the machine affects all of them. */
    private static final int SLICE_S = 2;
    /** Ratio by which the latencies of two groups of the same build can differ on a busy machine. */
    private static final double MAX_LATENCY_NOISE = 1.5;
    /** Ratio by which the CPU times of two groups of the same build can differ on a busy machine. */
    private static final double MAX_CPU_NOISE = 1.1;
    /** Ratio by which the memory of two groups of the same build can differ on a busy machine. */
    private static final double MAX_MEMORY_NOISE = 1.02;
    /** Ports of the backends, and their service time. */
    private static final int PORTS = 8;
    private static final long SERVICE_NS = 2_000_000;
    /** Heap of this program per entry of its lists. */
    private static final long ENTRY_BYTES = 1500;
    /** Heap of this program apart from the lists. */
    private static final long BASE_BYTES = 64L << 20;
    private static final long BYTES_PER_MB = 1 << 20;

    @Mixin
    private BaselineOption baseline;

    @Option(names = "--load-seconds", defaultValue = "10", paramLabel = "S",
            description = "seconds of load on each side in each repetition (${DEFAULT-VALUE})")
    private int loadS;

    @Option(names = "--ready-seconds", defaultValue = "30", paramLabel = "S",
            description = "seconds after which a side that is not ready is left out (${DEFAULT-VALUE})")
    private int readyTimeoutS;

    private final List<ProxyGroup> groups = new ArrayList<>();
    private final AddedLatency addedLatency = new AddedLatency();

    @Override
    void check() {
        options.setDefaultEntries(spec, SIZES);
        options.setDefaultProxies(spec, PROXIES);
        Options.checkSizes(spec, "--load-seconds", List.of(loadS));
        Options.checkSizes(spec, "--ready-seconds", List.of(readyTimeoutS));
        if (options.proxies.size() != 1) {
            throw new ParameterException(spec.commandLine(),
                    "--proxies: must be a single number of real proxies");
        }
        baseline.check(spec);
    }

    @Override
    ResourceNeeds needs() {
        int processes = options.proxies.get(0) * options.entries.size() * (baseline.isGiven() ? 2 : 1);
        long entries = options.entries.stream().mapToLong(Integer::longValue).sum();
        return new ResourceNeeds(BASE_BYTES + entries * ENTRY_BYTES, processes,
                processes * ProxyGroup.MEMORY_MB * BYTES_PER_MB);
    }

    @Override
    boolean measure(Run run) throws Exception {
        Path directory = Files.createTempDirectory("scale-request");
        EventLoopGroup backendLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        EventLoopGroup clientLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        List<DiscoveryStandIn> discoveries = new ArrayList<>();
        try (Processes processes = new Processes();
                BackendStandIn backends = new BackendStandIn(backendLoops, timer, PORTS, SERVICE_NS)) {
            List<InetSocketAddress> addresses = backends.addresses();
            for (int entries : options.entries) {
                discoveries.add(new DiscoveryStandIn(new Fleet(entries, options.seed,
                        n -> "127.0.0.1:" + addresses.get(n % PORTS).getPort()).backends()));
            }
            start(run, processes, discoveries, directory);
            List<LoadedGroup> turns = new ArrayList<>();
            groups.forEach(g -> turns.add(
                    new LoadedGroup(g, new OpenLoop(clientLoops.next(), g.addresses()))));
            LoadedGroup direct = new LoadedGroup(null, new OpenLoop(clientLoops.next(),
                    Collections.nCopies(options.proxies.get(0), addresses)));
            boolean isComplete = load(run, direct, turns);
            report(run.report());
            return isComplete;
        } finally {
            for (DiscoveryStandIn discovery : discoveries) {
                discovery.close();
            }
            timer.shutdownNow();
            backendLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            clientLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            delete(directory);
        }
    }

    private static void delete(Path directory) throws IOException {
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    /** Starts the groups one by one to keep them from slowing each other; leaves out those not ready. */
    private void start(Run run, Processes processes, List<DiscoveryStandIn> discoveries, Path directory)
            throws IOException, InterruptedException {
        Table starts = run.report().table("starts", "build", "entries", "proxies", "ready after s",
                "calls to discovery", "MB sent", "CPU s", "highest MB");
        List<Build> builds = new ArrayList<>();
        baseline.build().ifPresent(builds::add);
        builds.add(Build.own());
        for (int i = 0; i < discoveries.size(); i++) {
            for (Build build : builds) {
                DiscoveryStandIn discovery = discoveries.get(i);
                DiscoveryStandIn.Counts before = discovery.counts();
                ProxyGroup group = new ProxyGroup(processes, build.name(), Launch.of(build), discovery,
                        options.entries.get(i), options.proxies.get(0), options.seed, directory);
                boolean isReady = group.awaitReady(Math.min(TimeUnit.SECONDS.toNanos(readyTimeoutS),
                        run.deadline().remainingNs()));
                DiscoveryStandIn.Counts counts = discovery.counts().since(before);
                starts.row(build.name(), group.entries(), group.runningCount(), group.readyS(),
                        counts.calls(),
                        (double) counts.bytes() / BYTES_PER_MB, group.processorTime().toNanos() / 1e9,
                        group.memoryMb(ProxyGroup.MEMORY_PEAK));
                if (isReady) {
                    groups.add(group);
                } else {
                    group.destroy();
                    run.report().remark(build.name() + " before " + group.entries()
                            + " entries is NOT READY after " + readyTimeoutS + " s: not under load");
                }
                run.progress().log(build.name() + " before " + group.entries() + " entries: "
                        + (isReady ? "ready" : "not ready"));
            }
        }
    }

    /** Loads all groups; the first repetition is a warm-up. Returns false if the deadline passed. */
    private boolean load(Run run, LoadedGroup direct, List<LoadedGroup> groups)
            throws IOException, InterruptedException, ExecutionException {
        Table table = run.report().table("under load, " + VirtualHost.REQUESTS_PER_SECOND
                + " requests a second for each proxy", "repetition", "side", "entries", "sent", "not served",
                "ms 50", "ms 99", "ms 99.9", "added 50", "added 99", "added 99.9", "CPU % each", "MB now",
                "MB highest");
        List<LoadedGroup> turns = new ArrayList<>(groups);
        turns.add(direct);
        for (int i = 0; i <= options.repeat; i++) {
            for (int s = 0; s < loadS; s += SLICE_S) {
                if (run.deadline().hasPassed()) {
                    return false;
                }
                for (LoadedGroup group : turns) {
                    group.load(TimeUnit.SECONDS.toNanos(Math.min(SLICE_S, loadS - s)));
                }
                Collections.reverse(turns); // other load on the machine affects all groups alike
            }
            LoadedGroup.LoadResult reference = direct.takeResult();
            for (LoadedGroup group : groups) {
                LoadedGroup.LoadResult load = group.takeResult();
                if (i > 0) {
                    addedLatency.add(group.group().build(), group.group().entries(), load.latencies(),
                            reference.latencies(), load.cores());
                    row(table, i, group.group(), load, reference.latencies());
                }
            }
            if (i > 0 && reference.latencies().percentileMs(PERCENTILE) > SERVICE_NS / 1e6 + MAX_ADDED_MS) {
                run.report().remark("repetition " + i + ": the machine is too busy for the bound, since the "
                        + "99th percentile of the backends alone is "
                        + reference.latencies().percentileMs(PERCENTILE) + " ms");
            }
            if (i > 0) {
                Latencies directLatencies = reference.latencies();
                table.row(i, "direct", null, reference.sent(), reference.notServed(),
                        directLatencies.percentileMs(50), directLatencies.percentileMs(99),
                        directLatencies.percentileMs(99.9), null, null, null, null, null, null);
            }
            run.progress().log("repetition " + i + " of " + options.repeat);
        }
        return true;
    }

    private void row(Table table, int repetition, ProxyGroup group, LoadedGroup.LoadResult load,
            Latencies direct) throws IOException {
        Latencies proxied = load.latencies();
        table.row(repetition, group.build(), group.entries(), load.sent(), load.notServed(),
                proxied.percentileMs(50), proxied.percentileMs(99), proxied.percentileMs(99.9),
                proxied.percentileMs(50) - direct.percentileMs(50),
                proxied.percentileMs(99) - direct.percentileMs(99),
                proxied.percentileMs(99.9) - direct.percentileMs(99.9),
                load.cores() * PERCENT / options.proxies.get(0), group.memoryMb(ProxyGroup.MEMORY_NOW),
                group.memoryMb(ProxyGroup.MEMORY_PEAK));
    }

    private void report(Report report) throws IOException {
        Table medians = report.table("added ms, median of the repetitions", "side", "entries", "50", "99",
                "99.9");
        groups.forEach(g -> medians.row(g.build(), g.entries(),
                addedLatency.medianMs(g.build(), g.entries(), 50),
                addedLatency.medianMs(g.build(), g.entries(), 99),
                addedLatency.medianMs(g.build(), g.entries(), 99.9)));
        Verdicts verdicts = new Verdicts(report);
        double small = addedLatency.medianMs(Build.OWN, SMALL_ENTRIES, PERCENTILE);
        double large = addedLatency.medianMs(Build.OWN, LARGE_ENTRIES, PERCENTILE);
        verdicts.add("added time at the 99th percentile, 68,000 to 200 entries", MAX_GROWTH,
                AddedLatency.ratio(large, small));
        verdicts.add("added ms at the 99th percentile, 68,000 entries", MAX_ADDED_MS, large);
        if (baseline.isGiven()) {
            verdicts.add("added time at the 99th percentile, 200 entries, this to baseline",
                    MAX_LATENCY_NOISE,
                    AddedLatency.ratio(small,
                            addedLatency.medianMs(Build.BASELINE, SMALL_ENTRIES, PERCENTILE)));
            verdicts.add("processor time, 200 entries, this to baseline", MAX_CPU_NOISE,
                    addedLatency.cores(Build.OWN, SMALL_ENTRIES)
                            / addedLatency.cores(Build.BASELINE, SMALL_ENTRIES));
            verdicts.add("highest memory, 200 entries, this to baseline", MAX_MEMORY_NOISE,
                    peakMb(Build.OWN) / peakMb(Build.BASELINE));
        }
    }

    /** Returns the peak memory of a build's proxies with the small list; NaN if there were none. */
    private double peakMb(String build) throws IOException {
        for (ProxyGroup group : groups) {
            if (group.build().equals(build) && group.entries() == SMALL_ENTRIES) {
                return group.memoryMb(ProxyGroup.MEMORY_PEAK);
            }
        }
        return Double.NaN;
    }
}
