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
 * Real proxies in processes of their own, before lists of several sizes that lead to the same few real
 * backends: what they add to a request's time against those backends directly, and what they use. One side
 * at a time is under load, in turns; all its proxies get the pace of service at once.
 */
@Command(name = "request", description = "time added by real proxies, small and large list, in turns")
final class RequestExperiment extends Experiment {
    private static final List<Integer> SIZES = List.of(200, 68_000), PROXIES = List.of(2);
    private static final int SMALL = 200, LARGE = ModuleShape.TARGET_ENTRIES;
    /** What the fleet ahead allows: the added time at the 99th percentile, and its growth with the list. */
    private static final double ADDED_MOST_MS = 2.3, GROWTH_MOST = 1.2, PERCENTILE = 99;
    private static final double PERCENT = 100;
    /** Sides take turns after so long, so that what else the machine does meets all of them. */
    private static final int SLICE_S = 2;
    /** In a trial of one build beside itself on a busy machine they differed by as much, or less. */
    private static final double TIME_NOISE = 1.5, CPU_NOISE = 1.1, MEMORY_NOISE = 1.02;
    /** Real backends: so many ports, each answering after so long. */
    private static final int PORTS = 8;
    private static final long SERVICE_NS = 2_000_000;
    /** What this program takes, for each entry of its lists and beside them. */
    private static final long ENTRY_BYTES = 1500, BASE_BYTES = 64L << 20;
    private static final long MB = 1 << 20;

    @Mixin
    private BaselineOption baseline;

    @Option(names = "--load-seconds", defaultValue = "10", paramLabel = "S",
            description = "how long each side is under load in each repetition (${DEFAULT-VALUE})")
    private int loadSeconds;

    @Option(names = "--ready-seconds", defaultValue = "30", paramLabel = "S",
            description = "a side that is not ready so long after its start is given up (${DEFAULT-VALUE})")
    private int readySeconds;

    private final List<Side> sides = new ArrayList<>();
    private final AddedTime added = new AddedTime();

    @Override
    void check() {
        options.entriesUnlessGiven(spec, SIZES);
        options.proxiesUnlessGiven(spec, PROXIES);
        Options.sizes(spec, "--load-seconds", List.of(loadSeconds));
        Options.sizes(spec, "--ready-seconds", List.of(readySeconds));
        if (options.proxies.size() != 1) {
            throw new ParameterException(spec.commandLine(), "--proxies: one number here, of real proxies");
        }
        baseline.check(spec);
    }

    @Override
    Need need() {
        int processes = options.proxies.get(0) * options.entries.size() * (baseline.given() ? 2 : 1);
        long entries = options.entries.stream().mapToLong(Integer::longValue).sum();
        return new Need(BASE_BYTES + entries * ENTRY_BYTES, processes, processes * Side.MEMORY_MB * MB);
    }

    @Override
    boolean measure(Run run) throws Exception {
        Path folder = Files.createTempDirectory("scale-request");
        EventLoopGroup serving = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        EventLoopGroup asking = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        List<DiscoveryStandIn> lists = new ArrayList<>();
        try (Processes processes = new Processes();
                SmallBackend backends = new SmallBackend(serving, timer, PORTS, SERVICE_NS)) {
            List<InetSocketAddress> addresses = backends.addresses();
            for (int entries : options.entries) {
                lists.add(new DiscoveryStandIn(new Fleet(entries, options.seed,
                        n -> "127.0.0.1:" + addresses.get(n % PORTS).getPort()).backends()));
            }
            start(run, processes, lists, folder);
            List<LoadedSide> turns = new ArrayList<>();
            sides.forEach(s -> turns.add(new LoadedSide(s, new OpenLoop(asking.next(), s.addresses()))));
            LoadedSide direct = new LoadedSide(null, new OpenLoop(asking.next(),
                    Collections.nCopies(options.proxies.get(0), addresses)));
            boolean whole = load(run, direct, turns);
            report(run.report());
            return whole;
        } finally {
            for (DiscoveryStandIn d : lists) {
                d.close();
            }
            timer.shutdownNow();
            serving.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            asking.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            delete(folder);
        }
    }

    private static void delete(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** Starts the sides one by one, so that none slows another's start; one that is not ready is left out. */
    private void start(Run run, Processes processes, List<DiscoveryStandIn> lists, Path folder)
            throws IOException, InterruptedException {
        Table starts = run.report().table("starts", "build", "entries", "proxies", "ready after s",
                "calls to discovery", "MB sent", "CPU s", "highest MB");
        List<Build> builds = new ArrayList<>();
        baseline.build().ifPresent(builds::add);
        builds.add(Build.own());
        for (int i = 0; i < lists.size(); i++) {
            for (Build build : builds) {
                DiscoveryStandIn list = lists.get(i);
                DiscoveryStandIn.Counts before = list.counts();
                Side side = new Side(processes, build.name(), Launch.of(build), list, options.entries.get(i),
                        options.proxies.get(0), options.seed, folder);
                boolean ready = side.awaitReady(Math.min(TimeUnit.SECONDS.toNanos(readySeconds),
                        run.deadline().leftNs()));
                DiscoveryStandIn.Counts counts = list.counts().since(before);
                starts.row(build.name(), side.entries(), side.alive(), side.readyS(), counts.calls(),
                        (double) counts.bytes() / MB, side.processorTime().toNanos() / 1e9,
                        side.memoryMb(Side.MEMORY_HIGHEST));
                if (ready) {
                    sides.add(side);
                } else {
                    side.end();
                    run.report().remark(build.name() + " before " + side.entries()
                            + " entries is NOT READY after " + readySeconds + " s: not under load");
                }
                run.progress().log(build.name() + " before " + side.entries() + " entries: "
                        + (ready ? "ready" : "not ready"));
            }
        }
    }

    /** The first repetition warms the sides and does not count. False if the time was out. */
    private boolean load(Run run, LoadedSide direct, List<LoadedSide> sides)
            throws IOException, InterruptedException, ExecutionException {
        Table table = run.report().table("under load, " + VirtualHost.REQUESTS_PER_SECOND
                + " requests a second for each proxy", "repetition", "side", "entries", "sent", "not served",
                "ms 50", "ms 99", "ms 99.9", "added 50", "added 99", "added 99.9", "CPU % each", "MB now",
                "MB highest");
        List<LoadedSide> turns = new ArrayList<>(sides);
        turns.add(direct);
        for (int i = 0; i <= options.repeat; i++) {
            for (int s = 0; s < loadSeconds; s += SLICE_S) {
                if (run.deadline().over()) {
                    return false;
                }
                for (LoadedSide side : turns) {
                    side.load(TimeUnit.SECONDS.toNanos(Math.min(SLICE_S, loadSeconds - s)));
                }
                Collections.reverse(turns); // what else the machine does meets all sides alike
            }
            LoadedSide.Load reference = direct.take();
            for (LoadedSide side : sides) {
                LoadedSide.Load load = side.take();
                if (i > 0) {
                    added.add(side.side().build(), side.side().entries(), load.times(), reference.times(),
                            load.cpuShare());
                    row(table, i, side.side(), load, reference.times());
                }
            }
            if (i > 0 && reference.times().ms(PERCENTILE) > SERVICE_NS / 1e6 + ADDED_MOST_MS) {
                run.report().remark("repetition " + i + ": the machine is too busy for the bound, since the "
                        + "backends alone took " + reference.times().ms(PERCENTILE) + " ms for 99 in 100");
            }
            if (i > 0) {
                Times t = reference.times();
                table.row(i, "direct", null, reference.sent(), reference.notServed(), t.ms(50), t.ms(99),
                        t.ms(99.9), null, null, null, null, null, null);
            }
            run.progress().log("repetition " + i + " of " + options.repeat);
        }
        return true;
    }

    private void row(Table table, int repetition, Side side, LoadedSide.Load load, Times direct)
            throws IOException {
        Times t = load.times();
        table.row(repetition, side.build(), side.entries(), load.sent(), load.notServed(), t.ms(50), t.ms(99),
                t.ms(99.9), t.ms(50) - direct.ms(50), t.ms(99) - direct.ms(99), t.ms(99.9) - direct.ms(99.9),
                load.cpuShare() * PERCENT / options.proxies.get(0), side.memoryMb(Side.MEMORY_NOW),
                side.memoryMb(Side.MEMORY_HIGHEST));
    }

    private void report(Report report) throws IOException {
        Table medians = report.table("added ms, median of the repetitions", "side", "entries", "50", "99",
                "99.9");
        sides.forEach(s -> medians.row(s.build(), s.entries(), added.ms(s.build(), s.entries(), 50),
                added.ms(s.build(), s.entries(), 99), added.ms(s.build(), s.entries(), 99.9)));
        Verdicts verdicts = new Verdicts(report);
        double small = added.ms(Build.OWN, SMALL, PERCENTILE);
        double large = added.ms(Build.OWN, LARGE, PERCENTILE);
        verdicts.add("added time at the 99th percentile, 68,000 to 200 entries", GROWTH_MOST,
                AddedTime.ratio(large, small));
        verdicts.add("added ms at the 99th percentile, 68,000 entries", ADDED_MOST_MS, large);
        if (baseline.given()) {
            verdicts.add("added time at the 99th percentile, 200 entries, this to baseline", TIME_NOISE,
                    AddedTime.ratio(small, added.ms(Build.BASELINE, SMALL, PERCENTILE)));
            verdicts.add("processor time, 200 entries, this to baseline", CPU_NOISE,
                    added.cores(Build.OWN, SMALL) / added.cores(Build.BASELINE, SMALL));
            verdicts.add("highest memory, 200 entries, this to baseline", MEMORY_NOISE,
                    highestMb(Build.OWN) / highestMb(Build.BASELINE));
        }
    }

    /** Of a build's proxies before the small list; NaN if there were none. */
    private double highestMb(String build) throws IOException {
        for (Side s : sides) {
            if (s.build().equals(build) && s.entries() == SMALL) {
                return s.memoryMb(Side.MEMORY_HIGHEST);
            }
        }
        return Double.NaN;
    }
}
