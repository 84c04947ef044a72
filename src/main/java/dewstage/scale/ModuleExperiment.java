package dewstage.scale;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Measures the module alone: the cost of requests, changes and lists at each size without sockets, optionally
 * compared with an older build. Each repetition of each size runs in a process of its own, alternating
 * between the builds.
 */
@Command(name = "module", description = "the decision module alone: work per request, change and list")
final class ModuleExperiment extends Experiment {
    private static final int REPEAT = 3;
    private static final List<Integer> SIZES = List.of(50, 200, 1000, 4000, 17_000, 68_000);
    /** Heap of a child process: four times that of a proxy, to keep collections out of the measurements. */
    private static final int HEAP_MB = 256;
    private static final long BYTES_PER_MB = 1 << 20;
    /** Heap of this program, without the child processes. */
    private static final long OWN_HEAP_BYTES = 32 * BYTES_PER_MB;
    private static final double THOUSAND = 1000;
    private static final String TO_BASELINE = ", this to baseline";
    /** Upper bound of the cost of a request at LARGE entries, relative to SMALL. */
    private static final double MAX_REQUEST_RATIO = 1.5;
    /** Upper bound of the cost of a change at LARGE entries, relative to SMALL_FOR_CHANGES. */
    private static final double MAX_CHANGE_RATIO = 3;
    /** Upper bound of the cost of a whole list at LARGE entries, relative to SMALL_FOR_LISTS. */
    private static final double MAX_LIST_RATIO = 5;
    /** Entries of the smaller fleet for the comparison of requests. */
    private static final int SMALL = 200;
    /** Entries of the smaller fleet for the comparison of changes. */
    private static final int SMALL_FOR_CHANGES = 1000;
    /** Entries of the smaller fleet for the comparison of lists. */
    private static final int SMALL_FOR_LISTS = 17_000;
    /** Entries of the larger fleet for all comparisons. */
    private static final int LARGE = ModuleShape.TARGET_ENTRIES;
    /** Ratio by which the medians of two repetitions of the same build can differ. */
    private static final double MAX_NOISE_RATIO = 1.15;

    /** A way to scale the target down to smaller fleets. */
    private record Series(String title, IntFunction<ModuleShape> scale) { }

    private static final List<Series> SERIES = List.of(
            new Series("as many entries to a zone", ModuleShape::scaled),
            new Series("as many zones", ModuleShape::sameZones));

    @Mixin
    private BaselineOption baseline;

    private final ModuleCosts costs = new ModuleCosts();
    private final List<Build> builds = new ArrayList<>();

    @Override
    void check() {
        options.setDefaultEntries(spec, SIZES);
        options.setDefaultRepeat(spec, REPEAT);
        baseline.check(spec);
    }

    @Override
    ResourceNeeds needs() {
        return new ResourceNeeds(OWN_HEAP_BYTES, 1, 2 * HEAP_MB * BYTES_PER_MB);
    }

    @Override
    boolean measure(Run run) throws IOException, InterruptedException {
        builds.add(Build.own());
        baseline.build().ifPresent(builds::add);
        Set<ModuleShape> shapes = new LinkedHashSet<>(); // both series have the same shape at the target size
        SERIES.forEach(s -> options.entries.forEach(n -> shapes.add(s.scale().apply(n))));
        boolean isComplete = true;
        try (Processes processes = new Processes()) {
            for (int i = 0; i < options.repeat && isComplete; i++) {
                for (ModuleShape shape : shapes) {
                    for (Build build : builds) {
                        isComplete &= runChild(run, processes, build, shape);
                    }
                    Collections.reverse(builds); // alternates which build runs first
                }
                run.progress().log("repetition " + (i + 1) + " of " + options.repeat);
            }
        }
        report(run.report());
        return isComplete;
    }

    /** Runs one child process; returns false if the deadline passed before it completed. */
    private boolean runChild(Run run, Processes processes, Build build, ModuleShape shape)
            throws IOException, InterruptedException {
        long timeoutNs = run.deadline().remainingNs();
        if (timeoutNs <= 0) {
            return false;
        }
        Path output = Files.createTempFile("module", ".txt");
        try {
            Process process = processes.start(new ProcessBuilder(command(build, shape))
                    .redirectError(ProcessBuilder.Redirect.INHERIT).redirectOutput(output.toFile()));
            if (!process.waitFor(timeoutNs, TimeUnit.NANOSECONDS)) {
                return false;
            }
            if (process.exitValue() != 0
                    || !costs.addOutput(build.name(), shape, Files.readAllLines(output))) {
                throw new IOException(build.name() + " exited with " + process.exitValue() + " at " + shape);
            }
            return true;
        } finally {
            Files.delete(output);
        }
    }

    /** Uses the JVM flags of service except for the heap; an older build comes first in the class path. */
    private List<String> command(Build build, ModuleShape shape) throws IOException {
        String own = Build.ownClasses().toString();
        String classPath = build.name().equals(Build.OWN) ? own : build.jar() + File.pathSeparator + own;
        return List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms" + HEAP_MB + "m", "-Xmx" + HEAP_MB + "m",
                "-cp", classPath, ModuleChild.class.getName(), String.valueOf(options.seed),
                String.valueOf(shape.entries()), String.valueOf(shape.zones()),
                String.valueOf(shape.balancers()));
    }

    private void report(Report report) {
        builds.sort((a, b) -> a.name().compareTo(b.name()));
        for (Series series : SERIES) {
            Table table = report.table("us in the module, " + series.title(), "what", "build", "entries",
                    "zones", "balancers", "median", "least", "most", "to smallest", "to baseline");
            for (Measure measure : Measure.values()) {
                for (Build build : builds) {
                    options.entries.forEach(n -> row(table, measure, build.name(), series, n));
                }
            }
        }
        slopes(report.table("us for each 1,000 entries, a line through the medians", "what", "build",
                "series", "us", "fit"));
        verdicts(new Verdicts(report));
        for (Build build : builds) {
            report.remark(build.name() + ": " + costs.served(build.name()) + " requests served, "
                    + costs.rejected(build.name()) + " refused or failed");
        }
        for (Series series : SERIES) {
            for (int n : options.entries) {
                if (!costs.hasSameDecisions(series.scale().apply(n))) {
                    report.remark("DIFFERENT DECISIONS on the same events at " + series.scale().apply(n));
                }
            }
        }
    }

    private void row(Table table, Measure measure, String build, Series series, int entries) {
        ModuleShape shape = series.scale().apply(entries);
        table.row(measure.title, build, entries, shape.zones(), shape.balancers(),
                costs.median(build, shape, measure),
                costs.min(build, shape, measure), costs.max(build, shape, measure),
                costs.ratio(build, measure, shape, series.scale().apply(options.entries.get(0))),
                build.equals(Build.OWN) ? toBaseline(measure, shape) : null);
    }

    private void slopes(Table table) {
        for (Measure measure : Measure.values()) {
            for (Series series : SERIES) {
                for (Build build : builds) {
                    Slope slope = Slope.of(options.entries.stream().map(n -> new double[] {n / THOUSAND,
                            costs.median(build.name(), series.scale().apply(n), measure)})
                            .toArray(double[][]::new));
                    table.row(measure.title, build.name(), series.title(), slope.perUnit(), slope.fit());
                }
            }
        }
    }

    private double toBaseline(Measure measure, ModuleShape shape) {
        return costs.median(Build.OWN, shape, measure) / costs.median(Build.BASELINE, shape, measure);
    }

    private void verdicts(Verdicts verdicts) {
        for (Build build : builds) {
            for (Series series : SERIES) {
                String prefix = build.name() + ", " + series.title() + ": ";
                ModuleShape large = series.scale().apply(LARGE);
                verdicts.add(prefix + "request and answer, 68,000 to 200", MAX_REQUEST_RATIO,
                        costs.ratio(build.name(), Measure.SERVED, large, series.scale().apply(SMALL)));
                for (Measure measure : List.of(Measure.CHANGE, Measure.CHANGE_AND_NEXT)) {
                    verdicts.add(prefix + measure.title + ", 68,000 to 1,000", MAX_CHANGE_RATIO,
                            costs.ratio(build.name(), measure, large,
                                    series.scale().apply(SMALL_FOR_CHANGES)));
                }
                verdicts.add(prefix + "whole list again, 68,000 to 17,000", MAX_LIST_RATIO,
                        costs.ratio(build.name(), Measure.LIST_AGAIN, large,
                                series.scale().apply(SMALL_FOR_LISTS)));
            }
        }
        if (baseline.isGiven()) {
            for (Series series : SERIES) {
                for (int n : options.entries.stream().filter(n -> n <= SMALL).toList()) {
                    verdicts.add("request and answer at " + n + ", " + series.title() + TO_BASELINE,
                            MAX_NOISE_RATIO, toBaseline(Measure.SERVED, series.scale().apply(n)));
                }
            }
        }
    }
}
