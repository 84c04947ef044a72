package dewstage.scale;

import java.util.List;
import java.util.function.Predicate;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/**
 * Measures the changes of a typical day: one by one, in a burst, and at a rate. A configuration change is one
 * entry; a replaced backend is two, the terminated one and the new one.
 */
@Command(name = "changes",
        description = "changes of entries: one by one, in a burst (--changes), at a rate (--rates); "
                + "load on replaced backends while cold")
final class ChangesExperiment extends FleetExperiment {
    /** Name of the step that publishes changes one by one. */
    private static final String ONE = "one change";
    /** Name of the step that publishes all changes at once. */
    private static final String BURST = "burst";
    /** Changes published one by one in a sample. */
    private static final int SINGLE_CHANGES = 20;
    /** Upper bound of --rates, in changes per second. */
    private static final int MAX_RATE = 1000;
    /** Replaced backends in thousands per day: 24,000. */
    private static final int REPLACEMENTS = 24;
    /** Configuration changes in thousands per day: 29,000. */
    private static final int RECONFIGURATIONS = 29;
    private static final double NS_PER_S = 1e9;
    private static final double PERCENT = 100;
    /** Number and interval of the replacements while sends to cold backends are counted. */
    private static final int COLD_REPLACEMENTS = 8;
    private static final double COLD_INTERVAL_S = 1;

    @Option(names = "--rates", defaultValue = "0.9,9,18,36", split = ",", paramLabel = "R",
            description = "changed entries per second; the first is that of a typical day (${DEFAULT-VALUE})")
    List<Double> rates;

    @Option(names = "--steady", defaultValue = "20", paramLabel = "S",
            description = "seconds to run each rate (${DEFAULT-VALUE})")
    int steadyS;

    @Mixin
    ColdOptions cold;

    @Override
    void check() {
        super.check();
        cold.check(spec);
        Options.checkSizes(spec, "--steady", List.of(steadyS));
        if (!rates.stream().allMatch(r -> r > 0 && r <= MAX_RATE)) {
            throw new ParameterException(spec.commandLine(),
                    "--rates: must be more than 0 and at most " + MAX_RATE);
        }
    }

    @Override
    ResourceNeeds needs() {
        return cold.needs(super.needs());
    }

    @Override
    void measure(Run run, Point point, int round, Samples samples) throws Exception {
        try (TestBed testBed = new TestBed(run, point, round, options.seed)) {
            testBed.start("start");
            samples.add(testBed.publishSequentially(ONE, SINGLE_CHANGES,
                    () -> testBed.fleet.changeWeights(1)));
            samples.add(testBed.publish(BURST,
                    testBed.fleet.replace(point.changes() / 2, System.currentTimeMillis())));
        }
    }

    @Override
    void conclude(Run run, Samples samples) throws Exception {
        run.report().parameter("rates", rates).parameter("steady", steadyS);
        reportRatios(run, samples);
        measureRates(run);
        new ColdBackendLoad(run, cold, options).measure("backends replaced one by one",
                new ColdBackendLoad.Event() {
            @Override
            public void prepare(TestBed testBed) { }

            @Override
            public void startBackends(TestBed testBed) throws Exception {
                for (int i = 0; i < COLD_REPLACEMENTS; i++) {
                    testBed.publish("replaced", testBed.fleet.replace(1, System.currentTimeMillis()));
                    testBed.pause(COLD_INTERVAL_S);
                }
            }
        });
    }

    private void reportRatios(Run run, Samples samples) {
        int smallest = options.entries.get(0);
        Table table = run.report().table(ONE + ": cost by size, means of all rounds", "entries",
                "cpu ms/proxy", "against " + smallest, "median ms");
        double baseCpuMs = cpuMsPerChange(samples, smallest);
        for (int entries : options.entries) {
            double medianLatencyMs = samples.mean(ONE, withFewestProxies(entries),
                    s -> s.latencies().medianMs());
            table.row(entries, cpuMsPerChange(samples, entries),
                    cpuMsPerChange(samples, entries) / baseCpuMs, medianLatencyMs);
        }
    }

    private double cpuMsPerChange(Samples samples, int entries) {
        return samples.mean(ONE, withFewestProxies(entries), s -> s.cpuMsPerProxy() / SINGLE_CHANGES);
    }

    private Predicate<Point> withFewestProxies(int entries) {
        return p -> p.entries() == entries && p.proxies() == options.proxies.get(0);
    }

    /** Measures the control cost at each rate of changes; fits lines for no changes and the first rate. */
    private void measureRates(Run run) throws Exception {
        int entries = Point.largest(options.entries);
        int proxies = options.proxies.get(0);
        Table table = run.report().table("control at a rate of changes, " + entries + " entries, " + proxies
                + " proxies; each proxy", "round", "changes/s", "sent/s", "calls", "bytes/s",
                "% of a core", "median ms", "p99 ms", "last ms", "missing");
        double[][] corePercent = new double[options.repeat * rates.size()][];
        double[][] bytesPerS = new double[corePercent.length][];
        int measured = 0;
        for (int round = 1; round <= options.repeat; round++) {
            try (TestBed testBed = new TestBed(run, new Point(entries, proxies, 1), round, options.seed)) {
                testBed.start("start");
                for (double rate : rates) {
                    if (run.deadline().hasPassed()) {
                        return;
                    }
                    run.progress().log("round " + round + ": " + rate + " changes per second");
                    long startNs = System.nanoTime();
                    Sample sample = publishSteadily(testBed, rate);
                    double seconds = (System.nanoTime() - startNs) / NS_PER_S;
                    double sentPerS = sample.changed() / seconds;
                    corePercent[measured] = new double[] {sentPerS,
                        PERCENT * sample.cpuNs() / NS_PER_S / seconds / proxies};
                    bytesPerS[measured] = new double[] {sentPerS,
                        sample.counts().bytes() / seconds / proxies};
                    table.row(round, rate, sentPerS, sample.counts().calls(), bytesPerS[measured][1],
                            corePercent[measured][1],
                            sample.latencies().medianMs(), sample.latencies().percentileMs(99),
                            sample.latencies().maxMs(), sample.missing());
                    measured++;
                }
            }
        }
        run.report().table("control by the line through these", "changes/s", "% of a core", "bytes/s")
                .row(0.0, Slope.of(corePercent).base(), Slope.of(bytesPerS).base())
                .row(rates.get(0), Slope.of(corePercent).at(rates.get(0)),
                        Slope.of(bytesPerS).at(rates.get(0)));
    }

    private Sample publishSteadily(TestBed testBed, double rate) throws Exception {
        TestBed.SteadyChanges changes = testBed.new SteadyChanges("rate");
        double intervalS = (2.0 * REPLACEMENTS + RECONFIGURATIONS) / (REPLACEMENTS + RECONFIGURATIONS) / rate;
        int events = (int) Math.max(1, this.steadyS / intervalS);
        for (int i = 0; i < events; i++) {
            boolean isReplacement = replacements(i + 1) > replacements(i);
            changes.publish(isReplacement ? testBed.fleet.replace(1, System.currentTimeMillis())
                    : testBed.fleet.changeWeights(1));
            changes.sleepUntil((i + 1) * intervalS);
        }
        return changes.finish();
    }

    /** Returns how many of the first events are replacements, which are spread evenly. */
    private static int replacements(int events) {
        return events * REPLACEMENTS / (REPLACEMENTS + RECONFIGURATIONS);
    }
}
