package dewstage.scale;

import java.util.List;
import java.util.function.Predicate;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/**
 * The changes of an ordinary day: one by one, all at once, and at a rate. A change of configuration is one
 * entry, a backend replaced is two: the one gone and the new one.
 */
@Command(name = "changes",
        description = "entries change: one by one, in a burst (--changes), at a rate (--rates); "
                + "what replaced backends get while cold")
final class ChangesExperiment extends FleetExperiment {
    private static final String ONE = "one change", BURST = "burst";
    private static final int SINGLES = 20, MOST_RATE = 1000;
    /** Of the day's 24,000 backends replaced and 29,000 changes of configuration, by the thousand. */
    private static final int REPLACED = 24, CONFIGURED = 29;
    private static final double NS_PER_S = 1e9, PERCENT = 100;
    /** While cold backends are counted one is replaced so often. */
    private static final int REPLACED_COLD = 8;
    private static final double BETWEEN_S = 1;

    @Option(names = "--rates", defaultValue = "0.9,9,18,36", split = ",", paramLabel = "R",
            description = "entries that change in a second; the first is that of the day (${DEFAULT-VALUE})")
    List<Double> rates;

    @Option(names = "--steady", defaultValue = "20", paramLabel = "S",
            description = "each rate is held for so many seconds (${DEFAULT-VALUE})")
    int steady;

    @Mixin
    ColdOptions cold;

    @Override
    void check() {
        super.check();
        cold.check(spec);
        Options.sizes(spec, "--steady", List.of(steady));
        if (!rates.stream().allMatch(r -> r > 0 && r <= MOST_RATE)) {
            throw new ParameterException(spec.commandLine(), "--rates: more than 0, at most " + MOST_RATE);
        }
    }

    @Override
    Need need() {
        return cold.need(super.need());
    }

    @Override
    void measure(Run run, Point point, int round, Samples samples) throws Exception {
        try (Stage stage = new Stage(run, point, round, options.seed)) {
            stage.start("start");
            samples.add(stage.publishEach(ONE, SINGLES, () -> stage.fleet.reweigh(1)));
            samples.add(stage.publish(BURST,
                    stage.fleet.replace(point.changes() / 2, System.currentTimeMillis())));
        }
    }

    @Override
    void conclude(Run run, Samples samples) throws Exception {
        run.report().given("rates", rates).given("steady", steady);
        ratios(run, samples);
        rates(run);
        new ColdSums(run, cold, options).measure("backends replaced one by one", new ColdSums.Event() {
            @Override
            public void before(Stage stage) { }

            @Override
            public void starts(Stage stage) throws Exception {
                for (int i = 0; i < REPLACED_COLD; i++) {
                    stage.publish("replaced", stage.fleet.replace(1, System.currentTimeMillis()));
                    stage.pass(BETWEEN_S);
                }
            }
        });
    }

    private void ratios(Run run, Samples samples) {
        int least = options.entries.get(0);
        Table table = run.report().table(ONE + ": cost by size, means of all rounds", "entries",
                "cpu ms/proxy", "against " + least, "median ms");
        double base = one(samples, least);
        for (int entries : options.entries) {
            double median = samples.mean(ONE, smallest(entries), s -> s.times().medianMs());
            table.row(entries, one(samples, entries), one(samples, entries) / base, median);
        }
    }

    private double one(Samples samples, int entries) {
        return samples.mean(ONE, smallest(entries), s -> s.cpuMsPerProxy() / SINGLES);
    }

    private Predicate<Point> smallest(int entries) {
        return p -> p.entries() == entries && p.proxies() == options.proxies.get(0);
    }

    /** Control at a rate of changes, and by the line through all rates at the first. */
    private void rates(Run run) throws Exception {
        int entries = Point.last(options.entries);
        int proxies = options.proxies.get(0);
        Table table = run.report().table("control at a rate of changes, " + entries + " entries, " + proxies
                + " proxies; each proxy", "round", "changes/s", "sent/s", "calls", "bytes/s",
                "% of a core", "median ms", "p99 ms", "last ms", "missing");
        double[][] core = new double[options.repeat * rates.size()][];
        double[][] bytes = new double[core.length][];
        int n = 0;
        for (int round = 1; round <= options.repeat; round++) {
            try (Stage stage = new Stage(run, new Point(entries, proxies, 1), round, options.seed)) {
                stage.start("start");
                for (double rate : rates) {
                    if (run.deadline().over()) {
                        return;
                    }
                    run.progress().log("round " + round + ": " + rate + " changes a second");
                    long from = System.nanoTime();
                    Sample s = steady(stage, rate);
                    double seconds = (System.nanoTime() - from) / NS_PER_S;
                    double sent = s.changed() / seconds;
                    core[n] = new double[] {sent, PERCENT * s.cpuNs() / NS_PER_S / seconds / proxies};
                    bytes[n] = new double[] {sent, s.counts().bytes() / seconds / proxies};
                    table.row(round, rate, sent, s.counts().calls(), bytes[n][1], core[n][1],
                            s.times().medianMs(), s.times().ms(99), s.times().lastMs(), s.missing());
                    n++;
                }
            }
        }
        run.report().table("control by the line through these", "changes/s", "% of a core", "bytes/s")
                .row(0.0, Slope.of(core).base(), Slope.of(bytes).base())
                .row(rates.get(0), Slope.of(core).at(rates.get(0)), Slope.of(bytes).at(rates.get(0)));
    }

    private Sample steady(Stage stage, double rate) throws Exception {
        Stage.Steady steady = stage.new Steady("rate");
        double gapS = (2.0 * REPLACED + CONFIGURED) / (REPLACED + CONFIGURED) / rate;
        int events = (int) Math.max(1, this.steady / gapS);
        for (int i = 0; i < events; i++) {
            boolean replaced = replaced(i + 1) > replaced(i);
            steady.publish(replaced ? stage.fleet.replace(1, System.currentTimeMillis())
                    : stage.fleet.reweigh(1));
            steady.until((i + 1) * gapS);
        }
        return steady.end();
    }

    /** Of so many events, those that replace a backend, spread evenly among the others. */
    private static int replaced(int events) {
        return events * REPLACED / (REPLACED + CONFIGURED);
    }
}
