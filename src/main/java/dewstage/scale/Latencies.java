package dewstage.scale;

import org.HdrHistogram.Histogram;

/** A histogram of latencies in ns with three significant digits. Not thread-safe. */
final class Latencies {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NS_PER_MS = 1e6;

    private final Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);

    void add(long ns) {
        histogram.recordValue(Math.max(0, ns));
    }

    void addAll(Latencies other) {
        histogram.add(other.histogram);
    }

    long count() {
        return histogram.getTotalCount();
    }

    /** Returns the latency at a percentile (0 to 100) in ms; NaN if there are none. */
    double percentileMs(double percentile) {
        return count() == 0 ? Double.NaN : histogram.getValueAtPercentile(percentile) / NS_PER_MS;
    }

    double medianMs() {
        return percentileMs(50);
    }

    /** Returns the maximum latency in ms; NaN if there are none. */
    double maxMs() {
        return percentileMs(100);
    }
}
