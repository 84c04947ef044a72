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
 * The module alone: what requests, changes and lists cost it at each size, with no socket in between, and
 * beside it the same of an older build. Each repetition of each size is a process of its own, the builds in
 * turns.
 */
@Command(name = "module", description = "the decision module alone: work per request, change and list")
final class ModuleExperiment extends Experiment {
    private static final int REPEAT = 3;
    private static final List<Integer> SIZES = List.of(50, 200, 1000, 4000, 17_000, 68_000);
    /** A child's heap: four times that of a proxy, so that collections do not count as the module's work. */
    private static final int HEAP_MB = 256;
    private static final long MB = 1 << 20, OWN_HEAP = 32 * MB;
    private static final double THOUSAND = 1000;
    private static final String TO_BASELINE = ", this to baseline";
    /** Ratios that the module must keep to, and the sizes that they are between. */
    private static final double REQUEST_MOST = 1.5, CHANGE_MOST = 3, LIST_MOST = 5;
    private static final int SMALL = 200, CHANGE_SMALL = 1000, LIST_SMALL = 17_000,
            LARGE = ModuleShape.TARGET_ENTRIES;
    /** In a trial of one build beside itself, medians of two repetitions differed by as much. */
    private static final double NOISE = 1.15;

    /** How smaller fleets are cut from the target. */
    private record Series(String title, IntFunction<ModuleShape> cut) { }

    private static final List<Series> SERIES = List.of(
            new Series("as many entries to a zone", ModuleShape::scaled),
            new Series("as many zones", ModuleShape::sameZones));

    @Mixin
    private BaselineOption baseline;

    private final ModuleCosts costs = new ModuleCosts();
    private final List<Build> builds = new ArrayList<>();

    @Override
    void check() {
        options.entriesUnlessGiven(spec, SIZES);
        options.repeatUnlessGiven(spec, REPEAT);
        baseline.check(spec);
    }

    @Override
    Need need() {
        return new Need(OWN_HEAP, 1, 2 * HEAP_MB * MB);
    }

    @Override
    boolean measure(Run run) throws IOException, InterruptedException {
        builds.add(Build.own());
        baseline.build().ifPresent(builds::add);
        Set<ModuleShape> shapes = new LinkedHashSet<>(); // at the target the series have one shape
        SERIES.forEach(s -> options.entries.forEach(n -> shapes.add(s.cut().apply(n))));
        boolean whole = true;
        try (Processes processes = new Processes()) {
            for (int i = 0; i < options.repeat && whole; i++) {
                for (ModuleShape shape : shapes) {
                    for (Build build : builds) {
                        whole &= child(run, processes, build, shape);
                    }
                    Collections.reverse(builds); // none is always the first
                }
                run.progress().log("repetition " + (i + 1) + " of " + options.repeat);
            }
        }
        report(run.report());
        return whole;
    }

    /** One process; false if the time was out before its end. */
    private boolean child(Run run, Processes processes, Build build, ModuleShape shape)
            throws IOException, InterruptedException {
        long left = run.deadline().leftNs();
        if (left <= 0) {
            return false;
        }
        Path said = Files.createTempFile("module", ".txt");
        try {
            Process p = processes.start(new ProcessBuilder(command(build, shape))
                    .redirectError(ProcessBuilder.Redirect.INHERIT).redirectOutput(said.toFile()));
            if (!p.waitFor(left, TimeUnit.NANOSECONDS)) {
                return false;
            }
            if (p.exitValue() != 0 || !costs.take(build.name(), shape, Files.readAllLines(said))) {
                throw new IOException(build.name() + " ended with " + p.exitValue() + " at " + shape);
            }
            return true;
        } finally {
            Files.delete(said);
        }
    }

    /** The runtime's flags of service, but for the heap. The older build's module comes before this one's. */
    private List<String> command(Build build, ModuleShape shape) throws IOException {
        String own = Build.ownClasses().toString();
        String path = build.name().equals(Build.OWN) ? own : build.jar() + File.pathSeparator + own;
        return List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms" + HEAP_MB + "m", "-Xmx" + HEAP_MB + "m",
                "-cp", path, ModuleChild.class.getName(), String.valueOf(options.seed),
                String.valueOf(shape.entries()), String.valueOf(shape.zones()),
                String.valueOf(shape.balancers()));
    }

    private void report(Report report) {
        builds.sort((a, b) -> a.name().compareTo(b.name()));
        for (Series s : SERIES) {
            Table table = report.table("us in the module, " + s.title(), "what", "build", "entries", "zones",
                    "balancers", "median", "least", "most", "to smallest", "to baseline");
            for (Measure m : Measure.values()) {
                for (Build b : builds) {
                    options.entries.forEach(n -> row(table, m, b.name(), s, n));
                }
            }
        }
        slopes(report.table("us for each 1,000 entries, a line through the medians", "what", "build",
                "series", "us", "fit"));
        verdicts(new Verdicts(report));
        for (Build b : builds) {
            report.remark(b.name() + ": " + costs.served(b.name()) + " requests served, "
                    + costs.ended(b.name()) + " refused or failed");
        }
        for (Series s : SERIES) {
            for (int n : options.entries) {
                if (!costs.alike(s.cut().apply(n))) {
                    report.remark("NOT THE SAME DECISIONS on the same events at " + s.cut().apply(n));
                }
            }
        }
    }

    private void row(Table table, Measure m, String build, Series s, int entries) {
        ModuleShape shape = s.cut().apply(entries);
        table.row(m.title, build, entries, shape.zones(), shape.balancers(), costs.median(build, shape, m),
                costs.least(build, shape, m), costs.most(build, shape, m),
                costs.ratio(build, m, shape, s.cut().apply(options.entries.get(0))),
                build.equals(Build.OWN) ? toBaseline(m, shape) : null);
    }

    private void slopes(Table table) {
        for (Measure m : Measure.values()) {
            for (Series s : SERIES) {
                for (Build b : builds) {
                    Slope slope = Slope.of(options.entries.stream().map(n -> new double[] {n / THOUSAND,
                            costs.median(b.name(), s.cut().apply(n), m)}).toArray(double[][]::new));
                    table.row(m.title, b.name(), s.title(), slope.perUnit(), slope.fit());
                }
            }
        }
    }

    private double toBaseline(Measure m, ModuleShape shape) {
        return costs.median(Build.OWN, shape, m) / costs.median(Build.BASELINE, shape, m);
    }

    private void verdicts(Verdicts verdicts) {
        for (Build b : builds) {
            for (Series s : SERIES) {
                String which = b.name() + ", " + s.title() + ": ";
                ModuleShape large = s.cut().apply(LARGE);
                verdicts.add(which + "request and answer, 68,000 to 200", REQUEST_MOST,
                        costs.ratio(b.name(), Measure.SERVED, large, s.cut().apply(SMALL)));
                for (Measure m : List.of(Measure.CHANGE, Measure.CHANGE_AND_NEXT)) {
                    verdicts.add(which + m.title + ", 68,000 to 1,000", CHANGE_MOST,
                            costs.ratio(b.name(), m, large, s.cut().apply(CHANGE_SMALL)));
                }
                verdicts.add(which + "whole list again, 68,000 to 17,000", LIST_MOST,
                        costs.ratio(b.name(), Measure.LIST_AGAIN, large, s.cut().apply(LIST_SMALL)));
            }
        }
        if (baseline.given()) {
            for (Series s : SERIES) {
                for (int n : options.entries.stream().filter(n -> n <= SMALL).toList()) {
                    verdicts.add("request and answer at " + n + ", " + s.title() + TO_BASELINE, NOISE,
                            toBaseline(Measure.SERVED, s.cut().apply(n)));
                }
            }
        }
    }
}
