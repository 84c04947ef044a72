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
 * The control side of a real proxy in a process of its own, started as in service: alone with its list, alone
 * with the day's changes, then with hollow proxies beside it that watch the same list.
 */
@Command(name = "real", description = "a real proxy beside hollow ones: ready, calls, memory, processor time")
final class RealExperiment extends Experiment {
    private static final long MB = 1 << 20;
    private static final double NS_PER_S = 1e9, PERCENT = 100;
    /** A proxy that is not ready by then is taken never to be; it is watched for so long all the same. */
    private static final double READY_S = 25, LOOK_S = 0.02;
    /** The process's work on what was sent is over by then: it is not seen from outside. */
    private static final double SETTLED_S = 3;
    private static final int BURST = 3800, SOCKETS = 1024;
    /** What control may take: MB that are alive on the heap, percent of a core. */
    private static final double CONTROL_MB = 128, CONTROL_CORE = 5;

    @Option(names = "--beside", defaultValue = "4", paramLabel = "N",
            description = "hollow proxies that watch the same list (${DEFAULT-VALUE})")
    int beside;

    @Option(names = "--memory", defaultValue = "192", paramLabel = "MB",
            description = "the limit on the real proxy's memory (${DEFAULT-VALUE})")
    int memoryMb;

    @Option(names = "--rate", defaultValue = "0.9", paramLabel = "R",
            description = "entries that change in a second (${DEFAULT-VALUE})")
    double rate;

    @Option(names = "--hold", defaultValue = "20", paramLabel = "S",
            description = "they do so for so many seconds (${DEFAULT-VALUE})")
    int hold;

    @Mixin
    private BaselineOption baseline;

    @Override
    void check() {
        Options.sizes(spec, "--beside", List.of(beside));
        Options.sizes(spec, "--memory", List.of(memoryMb));
        Options.sizes(spec, "--hold", List.of(hold));
        if (!(rate > 0)) {
            throw new ParameterException(spec.commandLine(), "--rate: more than 0 a second");
        }
        baseline.check(spec);
    }

    @Override
    Need need() {
        return new Need(FleetExperiment.heap(Point.last(options.entries), beside), 1, memoryMb * MB);
    }

    @Override
    boolean measure(Run run) throws Exception {
        run.report().given("beside", beside).given("memory", memoryMb).given("rate", rate).given("hold", hold)
                .given("baseline", baseline.folder());
        List<Build> builds = new ArrayList<>();
        baseline.build().ifPresent(builds::add);
        builds.add(Build.own());
        RealSamples samples = new RealSamples();
        boolean whole = true;
        Path folder = Files.createTempDirectory("real");
        try (LoggedLines loggedLines = new LoggedLines()) {
            for (int round = 1; round <= options.repeat; round++) {
                for (int entries : options.entries) {
                    for (Build build : builds) {
                        whole &= !run.deadline().over();
                        if (whole) {
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
        samples.report(run.report(), memoryMb, CONTROL_MB, CONTROL_CORE);
        return whole;
    }

    private RealSamples.Sample measure(Run run, Build build, int entries, int round, Path log)
            throws Exception {
        Path config = Path.of(log + ".json");
        try (Processes processes = new Processes();
                Stage stage = new Stage(run, new Point(entries, beside, BURST), round, options.seed)) {
            // The one place of a fleet as large as the list asks for; the hollow ones are its neighbours.
            Files.writeString(config, new ProxyConfig(options.seed, beside, beside + 1, "127.0.0.1:0",
                    stage.discovery.hostPort(), memoryMb, SOCKETS).json());
            long from = System.nanoTime();
            ProxyProcess proxy = new ProxyProcess(processes, Launch.of(build), config, log);
            double readyS = ready(run, stage, proxy, from);
            Duration started = proxy.processorTime();
            DiscoveryStandIn.Counts start = stage.discovery.counts();
            from = System.nanoTime();
            steady(stage);
            double seconds = (System.nanoTime() - from) / NS_PER_S;
            Duration held = proxy.processorTime();
            DiscoveryStandIn.Counts holding = stage.discovery.counts().since(start);

            stage.start("start");
            stage.pass(SETTLED_S);
            Duration before = proxy.processorTime();
            Sample burst = stage.publish("burst",
                    stage.fleet.replace(BURST / 2, System.currentTimeMillis()));
            stage.pass(SETTLED_S);
            Duration afterBurst = proxy.processorTime();
            Sample again = stage.repeatWhole("again");
            stage.pass(SETTLED_S);
            return new RealSamples.Sample(build.name(), entries, round, readyS, start.calls(), start.bytes(),
                    seconds(started), PERCENT * seconds(held.minus(started)) / seconds,
                    holding.bytes() / seconds, holding.calls(), burst.times().lastMs(),
                    seconds(afterBurst.minus(before)), again.times().lastMs(),
                    seconds(proxy.processorTime().minus(afterBurst)), proxy.memoryMb("VmRSS"),
                    proxy.memoryMb("VmHWM"), LiveHeap.mb(processes, proxy.pid()), proxy.alive(),
                    outOfMemory(log));
        }
    }

    /** Seconds until it says that it is ready; NaN if it is not, after the time in which it should be. */
    private static double ready(Run run, Stage stage, ProxyProcess proxy, long from) throws Exception {
        while ((System.nanoTime() - from) / NS_PER_S < READY_S && !run.deadline().over() && proxy.alive()) {
            if (proxy.ready()) {
                return (System.nanoTime() - from) / NS_PER_S;
            }
            stage.pass(LOOK_S);
        }
        return Double.NaN;
    }

    private void steady(Stage stage) throws Exception {
        int events = (int) Math.max(1, hold * rate);
        for (int i = 0; i < events; i++) {
            stage.discovery.publish(stage.fleet.reweigh(1));
            stage.pass(1 / rate);
        }
    }

    private static double seconds(Duration d) {
        return d.toNanos() / NS_PER_S;
    }

    private static boolean outOfMemory(Path log) throws IOException {
        return Files.readString(log).contains("OutOfMemoryError");
    }
}
