package dewstage.scale;

import java.util.List;
import java.util.Set;
import picocli.CommandLine.Option;

/** An experiment that goes through sizes of the list, of the bank of hollow proxies and of what changes. */
abstract class FleetExperiment extends Experiment {
    /**
     * An entry in one hollow proxy: discovery's maps, the module's record. Measured as the heap's growth by
     * `start`, rounded up; while a list is taken in as a tree it takes more.
     */
    private static final long ENTRY_BYTES = 900;
    /** An entry in the fleet and in discovery's stand-in, and the list as bytes, thrice while it grows. */
    private static final long LISTED_BYTES = 1200;
    private static final List<Integer> CHANGES = List.of(60, 240, 950, 3800);

    @Option(names = "--changes", split = ",", paramLabel = "N",
            description = "numbers of entries that change at once, smallest first")
    List<Integer> changes = changes();

    @Option(names = "--warm-up", defaultValue = "8", paramLabel = "S",
            description = "the smallest size is run for so long before anything counts (${DEFAULT-VALUE})")
    int warmUp;

    /** The sizes of what changes, unless the command line names others: up to a zone's backends. */
    List<Integer> changes() {
        return CHANGES;
    }

    @Override
    void check() {
        Options.sizes(spec, "--changes", changes);
    }

    @Override
    Need need() {
        return new Need(heap(Point.last(options.entries), Point.last(options.proxies)), 0, 0);
    }

    /** What so many proxies before so many entries take here, in bytes. */
    static long heap(long entries, long proxies) {
        return entries * (proxies * ENTRY_BYTES + LISTED_BYTES);
    }

    /** Measures one size once. */
    abstract void measure(Run run, Point point, int round, Samples samples) throws Exception;

    /** What remains to be said of all samples. */
    abstract void conclude(Run run, Samples samples) throws Exception;

    @Override
    final boolean measure(Run run) throws Exception {
        try (LoggedLines loggedLines = new LoggedLines()) {
            boolean whole = measureAll(run);
            loggedLines.report(run.report());
            return whole;
        }
    }

    private boolean measureAll(Run run) throws Exception {
        run.report().given("changes", changes);
        run.progress().log("warming up");
        Point least = new Point(options.entries.get(0), options.proxies.get(0), changes.get(0));
        for (Deadline warm = new Deadline(warmUp); !warm.over();) {
            measure(run, least, 0, new Samples()); // code that is not compiled yet costs more
        }
        Samples samples = new Samples();
        boolean whole = true;
        for (int round = 1; round <= options.repeat; round++) {
            Set<Point> points = Point.of(options.entries, options.proxies, changes);
            for (Point point : points) {
                if (run.deadline().over()) {
                    whole = false;
                    break;
                }
                run.progress().log("round " + round + ": " + point);
                measure(run, point, round, samples);
            }
        }
        samples.report(run.report());
        conclude(run, samples);
        return whole;
    }
}
