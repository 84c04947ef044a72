package dewstage.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** The resource usage of real proxies; reports it as a table, as slopes and against bounds. */
final class RealSamples {
    private static final double BYTES_PER_MB = 1 << 20;

    /**
     * One proxy with a list of one size.
     *
     * @param readyS from the start until the proxy reported ready; NaN if never
     * @param calls calls to discovery until then
     * @param bytes bytes sent by discovery until then
     * @param startCpuS processor time until then
     * @param corePercent processor time at the rate of changes, in percent of a core
     * @param bytesPerS bytes sent by discovery at the rate of changes
     * @param steadyCalls further calls to discovery at the rate of changes
     * @param burstMs time until the last hollow proxy had applied the burst
     * @param burstCpuS processor time of the real proxy for the burst
     * @param resendMs time until the last hollow proxy had applied the full list sent again
     * @param resendCpuS processor time of the real proxy for the full list sent again
     * @param rssMb memory of the process at the end
     * @param peakMb maximum memory of the process
     * @param liveMb live heap of the process at the end
     */
    record Sample(String build, int entries, int round, double readyS, long calls, long bytes,
            double startCpuS, double corePercent, double bytesPerS, long steadyCalls, double burstMs,
            double burstCpuS, double resendMs, double resendCpuS, double rssMb, double peakMb,
            double liveMb, boolean isAlive, boolean isOutOfMemory) { }

    private final List<Sample> all = new ArrayList<>();

    void add(Sample sample) {
        all.add(sample);
    }

    /** Reports the samples; the bounds are MB of the process, MB of live heap and percent of a core. */
    void report(Report report, double maxRssMb, double maxLiveMb, double maxCorePercent) {
        Table table = report.table("a real proxy; burst and list again: last hollow proxy beside it, own cpu",
                "build", "entries", "round", "ready s", "calls", "MB", "start cpu s", "% of a core",
                "bytes/s", "more calls", "burst ms", "burst cpu s", "again ms", "again cpu s", "VmRSS MB",
                "VmHWM MB", "live heap MB", "alive", "out of memory");
        for (Sample s : all) {
            table.row(s.build, s.entries, s.round, s.readyS, s.calls, s.bytes / BYTES_PER_MB, s.startCpuS,
                    s.corePercent, s.bytesPerS, s.steadyCalls, s.burstMs, s.burstCpuS, s.resendMs,
                    s.resendCpuS, s.rssMb, s.peakMb, s.liveMb, s.isAlive, s.isOutOfMemory);
        }
        Table slopes = report.table("slopes by least squares, per entry", "build", "of", "points", "slope",
                "base", "R2");
        for (String build : all.stream().map(Sample::build).distinct().toList()) {
            slope(slopes, build, "ready s", s -> s.readyS);
            slope(slopes, build, "bytes", s -> s.bytes);
            slope(slopes, build, "start cpu s", s -> s.startCpuS);
            slope(slopes, build, "again cpu s", s -> s.resendCpuS);
            slope(slopes, build, "VmHWM MB", s -> s.peakMb);
            slope(slopes, build, "live heap MB", s -> s.liveMb);
        }
        verdicts(report, maxRssMb, maxLiveMb, maxCorePercent);
    }

    private void slope(Table slopes, String build, String figureName, ToDoubleFunction<Sample> figure) {
        double[][] points = all.stream().filter(s -> s.build.equals(build) && !Double.isNaN(s.readyS))
                .map(s -> new double[] {s.entries, figure.applyAsDouble(s)}).toArray(double[][]::new);
        Slope slope = Slope.of(points);
        slopes.row(build, figureName, points.length, slope.perUnit(), slope.base(), slope.fit());
    }

    /** Checks the bounds for this build at the longest list, with the worst of all rounds. */
    private void verdicts(Report report, double maxRssMb, double maxLiveMb, double maxCorePercent) {
        String ownBuild = all.isEmpty() ? "" : all.get(all.size() - 1).build;
        int maxEntries = all.stream().mapToInt(Sample::entries).max().orElse(0);
        Verdicts verdicts = new Verdicts(report);
        Predicate<Sample> longest = s -> s.build.equals(ownBuild) && s.entries == maxEntries;
        verdicts.add("calls until ready, " + maxEntries + " entries", 1,
                worst(longest, s -> s.readyS > 0 ? s.calls : Double.POSITIVE_INFINITY));
        verdicts.add("out of memory, times", 0, worst(longest, s -> s.isOutOfMemory || !s.isAlive ? 1 : 0));
        verdicts.add("VmHWM MB", maxRssMb, worst(longest, s -> s.peakMb));
        verdicts.add("live heap MB", maxLiveMb, worst(longest, s -> s.liveMb));
        verdicts.add("% of a core at the rate of changes", maxCorePercent,
                worst(longest, s -> s.corePercent));
    }

    private double worst(Predicate<Sample> where, ToDoubleFunction<Sample> figure) {
        return all.stream().filter(where).mapToDouble(figure).max().orElse(Double.NaN);
    }
}
