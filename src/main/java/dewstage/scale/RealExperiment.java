package dewstage.scale;

import dewstage.scale.ProxyProcess.Launch;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/**
 * Measures the control side of a real proxy in a process of its own, started as in service: alone with its
 * list, alone with a typical rate of changes, then beside hollow proxies that watch the same list.
 */
@Command(name = "real", description = "a real proxy beside hollow ones: readiness, calls, memory, CPU time")
final class RealExperiment extends Experiment {
    private static final long BYTES_PER_MB = 1 << 20;
    private static final double NS_PER_S = 1e9;
    private static final double PERCENT = 100;
    /** A proxy that is not ready within this time counts as never ready; the measurement continues. */
    private static final double READY_TIMEOUT_S = 25;
    /** Interval of the checks whether the proxy is ready. */
    private static final double POLL_S = 0.02;
    /** Time for the process to apply what was sent, which cannot be observed from outside. */
    private static final double SETTLE_S = 3;
    /** Changed entries of a burst; a replaced backend is two. */
    private static final int BURST = 3800;
    /** Socket limit of the proxy. */
    private static final int SOCKETS = 1024;
    /** Upper bound of the control side: MB of live heap. */
    private static final double MAX_LIVE_MB = 128;
    /** Upper bound of the control side: percent of a core. */
    private static final double MAX_CORE_PERCENT = 5;

    @Option(names = "--beside", defaultValue = "4", paramLabel = "N",
            description = "hollow proxies that watch the same list (${DEFAULT-VALUE})")
    int beside;

    @Option(names = "--memory", defaultValue = "192", paramLabel = "MB",
            description = "memory limit of the real proxy (${DEFAULT-VALUE})")
    int memoryMb;

    @Option(names = "--rate", defaultValue = "0.9", paramLabel = "R",
            description = "changed entries per second (${DEFAULT-VALUE})")
    double rate;

    @Option(names = "--hold", defaultValue = "20", paramLabel = "S",
            description = "seconds for which entries change at this rate (${DEFAULT-VALUE})")
    int holdS;

    @Mixin
    private BaselineOption baseline;

    @Override
    void check() {
        Options.checkSizes(spec, "--beside", List.of(beside));
        Options.checkSizes(spec, "--memory", List.of(memoryMb));
        Options.checkSizes(spec, "--hold", List.of(holdS));
        if (!(rate > 0)) {
            throw new ParameterException(spec.commandLine(), "--rate: must be more than 0");
        }
        baseline.check(spec);
    }

    @Override
    ResourceNeeds needs() {
        return new ResourceNeeds(FleetExperiment.requiredHeapBytes(Point.largest(options.entries), beside), 1,
                memoryMb * BYTES_PER_MB);
    }

    @Override
    boolean measure(Run run) throws Exception {
        run.report().parameter("beside", beside).parameter("memory", memoryMb)
                .parameter("rate", rate).parameter("hold", holdS).parameter("baseline", baseline.folder());
        List<Build> builds = new ArrayList<>();
        baseline.build().ifPresent(builds::add);
        builds.add(Build.own());
        RealSamples samples = new RealSamples();
        boolean isComplete = true;
        Path folder = Files.createTempDirectory("real");
        try (LoggedLines loggedLines = new LoggedLines()) {
            for (int round = 1; round <= options.repeat; round++) {
                for (int entries : options.entries) {
                    for (Build build : builds) {
                        isComplete &= !run.deadline().hasPassed();
                        if (isComplete) {
                            run.progress().log("round " + round + ": " + build.name() + ", " + entries);
                            Path log = folder.resolve(build.name() + '-' + entries + '-' + round + ".log");
                            samples.add(measure(run, build, entries, round, log));
                            for (String line : Files.readAllLines(log)) {
                                loggedLines.count(build.name() + ", " + entries + " entries: ", line);
                            }
                        }
                    }
                }
            }
            loggedLines.report(run.report());
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        samples.report(run.report(), memoryMb, MAX_LIVE_MB, MAX_CORE_PERCENT);
        return isComplete;
    }

    private RealSamples.Sample measure(Run run, Build build, int entries, int round, Path log)
            throws Exception {
        Path config = Path.of(log + ".json");
        try (Processes processes = new Processes();
                TestBed testBed = new TestBed(run, new Point(entries, beside, BURST), round, options.seed)) {
            // the last proxy of a fleet that consists of it and the hollow proxies
            Files.writeString(config, new ProxyConfig(options.seed, beside, beside + 1, "127.0.0.1:0",
                    testBed.discovery.hostPort(), memoryMb, SOCKETS).json());
            long startNs = System.nanoTime();
            ProxyProcess proxy = new ProxyProcess(processes, Launch.of(build), config, log);
            double readyS = awaitReady(run, testBed, proxy, startNs);
            Duration cpuAtReady = proxy.processorTime();
            DiscoveryStandIn.Counts startCounts = testBed.discovery.counts();
            startNs = System.nanoTime();
            publishSteadily(testBed);
            double seconds = (System.nanoTime() - startNs) / NS_PER_S;
            Duration cpuAfterHold = proxy.processorTime();
            DiscoveryStandIn.Counts holdCounts = testBed.discovery.counts().since(startCounts);

            testBed.start("start");
            testBed.pause(SETTLE_S);
            Duration cpuBeforeBurst = proxy.processorTime();
            Sample burst = testBed.publish("burst",
                    testBed.fleet.replace(BURST / 2, System.currentTimeMillis()));
            testBed.pause(SETTLE_S);
            Duration cpuAfterBurst = proxy.processorTime();
            Sample resend = testBed.resendFullList("again");
            testBed.pause(SETTLE_S);
            return new RealSamples.Sample(build.name(), entries, round, readyS, startCounts.calls(),
                    startCounts.bytes(), seconds(cpuAtReady),
                    PERCENT * seconds(cpuAfterHold.minus(cpuAtReady)) / seconds,
                    holdCounts.bytes() / seconds, holdCounts.calls(), burst.latencies().maxMs(),
                    seconds(cpuAfterBurst.minus(cpuBeforeBurst)), resend.latencies().maxMs(),
                    seconds(proxy.processorTime().minus(cpuAfterBurst)), proxy.memoryMb("VmRSS"),
                    proxy.memoryMb("VmHWM"), LiveHeap.mb(processes, proxy.pid()), proxy.isRunning(),
                    isOutOfMemory(log));
        }
    }

    /** Returns the seconds until the proxy reports ready; NaN if it does not within the time limit. */
    private static double awaitReady(Run run, TestBed testBed, ProxyProcess proxy, long startNs)
            throws Exception {
        while ((System.nanoTime() - startNs) / NS_PER_S < READY_TIMEOUT_S
                && !run.deadline().hasPassed() && proxy.isRunning()) {
            if (proxy.isReady()) {
                return (System.nanoTime() - startNs) / NS_PER_S;
            }
            testBed.pause(POLL_S);
        }
        return Double.NaN;
    }

    private void publishSteadily(TestBed testBed) throws Exception {
        int events = (int) Math.max(1, holdS * rate);
        for (int i = 0; i < events; i++) {
            testBed.discovery.publish(testBed.fleet.changeWeights(1));
            testBed.pause(1 / rate);
        }
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NS_PER_S;
    }

    private static boolean isOutOfMemory(Path log) throws IOException {
        return Files.readString(log).contains("OutOfMemoryError");
    }
}
