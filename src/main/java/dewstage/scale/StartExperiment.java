package dewstage.scale;

import java.util.List;
import picocli.CommandLine.Command;

/** Measures a simultaneous start of all proxies with their first list, then the full list sent again. */
@Command(name = "start", description = "the full list: from the start until ready, and sent again")
final class StartExperiment extends FleetExperiment {
    /** Name of the step that starts all proxies. */
    private static final String FIRST = "first list";
    /** Name of the step that sends the full list again. */
    private static final String AGAIN = "list again";
    private static final double BYTES_PER_MB = 1 << 20;

    private Table memory;

    @Override
    List<Integer> changes() {
        return List.of(1); // nothing changes here
    }

    @Override
    void measure(Run run, Point point, int round, Samples samples) throws Exception {
        try (TestBed testBed = new TestBed(run, point, round, options.seed)) {
            long heapBeforeBytes = TestBed.usedHeapBytes();
            Sample first = testBed.start(FIRST);
            samples.add(first);
            long retainedBytes = TestBed.usedHeapBytes() - heapBeforeBytes;
            if (memory == null) {
                memory = run.report().table("heap after a collection, less that before the start", "entries",
                        "proxies", "round", "MB", "MB/proxy", "bytes/entry/proxy");
            }
            if (round > 0 && first.isComplete()) {
                double bytesPerProxy = (double) retainedBytes / point.proxies();
                memory.row(point.entries(), point.proxies(), round, retainedBytes / BYTES_PER_MB,
                        bytesPerProxy / BYTES_PER_MB, bytesPerProxy / point.entries());
            }
            if (first.isComplete()) {
                samples.add(testBed.resendFullList(AGAIN));
            }
        }
    }

    @Override
    void conclude(Run run, Samples samples) {
        int maxEntries = Point.largest(options.entries);
        int secondLargest = options.entries.get(Math.max(0, options.entries.size() - 2));
        int proxies = options.proxies.get(0);
        Table table = run.report().table("a list heard again: cost by size, means of all rounds", "entries",
                "cpu ms/proxy", "against " + secondLargest, "first list ms/proxy");
        double baseCpuMs = samples.mean(AGAIN, p -> p.entries() == secondLargest && p.proxies() == proxies,
                Sample::cpuMsPerProxy);
        for (int entries : options.entries) {
            double cpuMs = samples.mean(AGAIN, p -> p.entries() == entries && p.proxies() == proxies,
                    Sample::cpuMsPerProxy);
            table.row(entries, cpuMs, cpuMs / baseCpuMs, samples.mean(FIRST, p -> p.entries() == entries
                    && p.proxies() == proxies, Sample::cpuMsPerProxy));
        }
    }
}
