package dewstage.scale;

import java.util.List;
import java.util.Set;
import picocli.CommandLine.Option;

/** An experiment over sizes of the list, numbers of hollow proxies and numbers of changed entries. */
abstract class FleetExperiment extends Experiment {
    /**
     * Heap per entry in one hollow proxy: the maps of discovery and the record of the module. Rounded up from
     * the heap growth in `start`; parsing a list takes more for a while.
     */
    private static final long ENTRY_BYTES = 900;
    /** Heap per entry in the fleet and the discovery stand-in, with three copies of the encoded list. */
    private static final long LISTED_ENTRY_BYTES = 1200;
    private static final List<Integer> CHANGES = List.of(60, 240, 950, 3800);

    @Option(names = "--changes", split = ",", paramLabel = "N",
            description = "numbers of entries that change at once, smallest first")
    List<Integer> changes = changes();

    @Option(names = "--warm-up", defaultValue = "8", paramLabel = "S",
            description = "seconds to run the smallest size before the measurements (${DEFAULT-VALUE})")
    int warmUpS;

    /** Returns the default numbers of changed entries: up to the backends of a zone. */
    List<Integer> changes() {
        return CHANGES;
    }

    @Override
    void check() {
        Options.checkSizes(spec, "--changes", changes);
    }

    @Override
    ResourceNeeds needs() {
        return new ResourceNeeds(requiredHeapBytes(Point.largest(options.entries),
                Point.largest(options.proxies)), 0, 0);
    }

    /** Returns the heap in bytes that this process needs for the given numbers of entries and proxies. */
    static long requiredHeapBytes(long entries, long proxies) {
        return entries * (proxies * ENTRY_BYTES + LISTED_ENTRY_BYTES);
    }

    /** Measures one size once. */
    abstract void measure(Run run, Point point, int round, Samples samples) throws Exception;

    /** Evaluates all samples after the measurements. */
    abstract void conclude(Run run, Samples samples) throws Exception;

    @Override
    final boolean measure(Run run) throws Exception {
        try (LoggedLines loggedLines = new LoggedLines()) {
            boolean isComplete = measureAll(run);
            loggedLines.report(run.report());
            return isComplete;
        }
    }

    private boolean measureAll(Run run) throws Exception {
        run.report().parameter("changes", changes);
        run.progress().log("warming up");
        Point smallest = new Point(options.entries.get(0), options.proxies.get(0), changes.get(0));
        for (Deadline warmUpEnd = new Deadline(warmUpS); !warmUpEnd.hasPassed();) {
            measure(run, smallest, 0, new Samples()); // code that is not compiled yet is slower
        }
        Samples samples = new Samples();
        boolean isComplete = true;
        for (int round = 1; round <= options.repeat; round++) {
            Set<Point> points = Point.of(options.entries, options.proxies, changes);
            for (Point point : points) {
                if (run.deadline().hasPassed()) {
                    isComplete = false;
                    break;
                }
                run.progress().log("round " + round + ": " + point);
                measure(run, point, round, samples);
            }
        }
        samples.report(run.report());
        conclude(run, samples);
        return isComplete;
    }
}
