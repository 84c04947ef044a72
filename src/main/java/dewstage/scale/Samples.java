package dewstage.scale;

import java.util.ArrayList;
import java.util.IntSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/** The samples of an experiment in the order of measurement; reports them as tables, slopes and means. */
final class Samples {
    private static final Map<String, ToDoubleFunction<Sample>> FIGURES = new LinkedHashMap<>();

    static {
        FIGURES.put("calls", s -> s.counts().calls());
        FIGURES.put("bytes", s -> s.counts().bytes());
        FIGURES.put("cpu ms", s -> s.cpuNs() / 1e6);
        FIGURES.put("median ms", s -> s.latencies().medianMs());
        FIGURES.put("last ms", s -> s.latencies().maxMs());
    }

    private final List<Sample> all = new ArrayList<>();

    void add(Sample sample) {
        all.add(sample);
    }

    List<Sample> of(String step) {
        return all.stream().filter(s -> s.step().equals(step)).toList();
    }

    private Set<String> steps() {
        return all.stream().map(Sample::step).collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /** Adds a table with a row for each sample to the report, then the slopes. */
    void report(Report report) {
        Table table = report.table(
                "all proxies together; times from the sending until a proxy had all in force",
                "step", "entries", "proxies", "round", "changed", "calls", "refused", "wholes", "bytes",
                "cpu ms", "cpu ms/proxy", "median ms", "p99 ms", "last ms", "missing");
        for (Sample s : all) {
            table.row(s.step(), s.point().entries(), s.point().proxies(), s.round(), s.changed(),
                    s.counts().calls(), s.counts().refused(), s.counts().fullLists(), s.counts().bytes(),
                    s.cpuNs() / 1e6, s.cpuMsPerProxy(), s.latencies().medianMs(),
                    s.latencies().percentileMs(99), s.latencies().maxMs(), s.missing());
        }
        slopes(report);
    }

    /** Adds the slopes over samples that differ in one size only; excludes samples with missing proxies. */
    private void slopes(Report report) {
        Table table = report.table(
                "slopes by least squares, all proxies together; samples with missing ones are left out",
                "step", "of", "per", "from", "to", "points", "slope", "base", "R2");
        for (String step : steps()) {
            List<Sample> samples = of(step).stream().filter(Sample::isComplete).toList();
            Point smallest = extremePoint(samples, false);
            Point largest = extremePoint(samples, true);
            addSlopes(table, step, "entry", samples, s -> s.point().proxies() == smallest.proxies()
                    && s.point().changes() == smallest.changes(), s -> s.point().entries());
            addSlopes(table, step, "change", samples, s -> s.point().proxies() == smallest.proxies()
                    && s.point().entries() == largest.entries(), Sample::changed);
            addSlopes(table, step, "proxy", samples, s -> s.point().entries() == largest.entries()
                    && s.point().changes() == largest.changes(), s -> s.point().proxies());
        }
    }

    private static Point extremePoint(List<Sample> samples, boolean largest) {
        return new Point(extreme(samples, Point::entries, largest), extreme(samples, Point::proxies, largest),
                extreme(samples, Point::changes, largest));
    }

    private static int extreme(List<Sample> samples, ToIntFunction<Point> size, boolean largest) {
        IntSummaryStatistics sizes = samples.stream().map(Sample::point).mapToInt(size).summaryStatistics();
        return largest ? sizes.getMax() : sizes.getMin();
    }

    private static void addSlopes(Table table, String step, String per, List<Sample> samples,
            Predicate<Sample> where, ToDoubleFunction<Sample> size) {
        List<Sample> matching = samples.stream().filter(where).toList();
        TreeSet<Double> sizes = matching.stream().map(s -> size.applyAsDouble(s))
                .collect(Collectors.toCollection(TreeSet::new));
        if (sizes.size() < 2) {
            return;
        }
        FIGURES.forEach((name, figure) -> {
            Slope slope = Slope.of(matching.stream()
                    .map(s -> new double[] {size.applyAsDouble(s), figure.applyAsDouble(s)})
                    .toArray(double[][]::new));
            table.row(step, name, per, sizes.first().longValue(), sizes.last().longValue(), matching.size(),
                    slope.perUnit(), slope.base(), slope.fit());
        });
    }

    /** Returns the mean of a figure over the complete samples of a step; NaN if there are none. */
    double mean(String step, Predicate<Point> where, ToDoubleFunction<Sample> figure) {
        return of(step).stream().filter(s -> s.isComplete() && where.test(s.point())).mapToDouble(figure)
                .average().orElse(Double.NaN);
    }
}
