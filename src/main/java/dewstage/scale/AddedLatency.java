package dewstage.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.stat.descriptive.rank.Median;

/**
 * The latency that proxies add to requests: at each percentile, the difference in ms between requests through
 * the proxies and requests directly to the same backends in the same repetition. Also records the processor
 * time of the proxies in cores, which is less sensitive to other load on the machine.
 */
final class AddedLatency {
    static final double[] PERCENTILES = {50, 99, 99.9};

    private record Key(String build, int entries, double percentile) { }

    /** Key of the processor time among the percentiles. */
    private static final double CPU_KEY = -1;

    private final Map<Key, List<Double>> values = new HashMap<>();

    void add(String build, int entries, Latencies proxied, Latencies direct, double cores) {
        for (double p : PERCENTILES) {
            add(new Key(build, entries, p), proxied.percentileMs(p) - direct.percentileMs(p));
        }
        add(new Key(build, entries, CPU_KEY), cores);
    }

    private void add(Key key, double value) {
        values.computeIfAbsent(key, k -> new ArrayList<>()).add(value);
    }

    /** Returns the median added latency over the repetitions in ms; NaN if there was none. */
    double medianMs(String build, int entries, double percentile) {
        return new Median().evaluate(values.getOrDefault(new Key(build, entries, percentile), List.of())
                .stream().mapToDouble(Double::doubleValue).toArray());
    }

    /** Returns the median processor time over the repetitions in cores; NaN if there was none. */
    double cores(String build, int entries) {
        return medianMs(build, entries, CPU_KEY);
    }

    /** Returns a ratio of added latencies; NaN unless both are positive, which noise may prevent. */
    static double ratio(double dividend, double divisor) {
        return divisor > 0 && dividend > 0 ? dividend / divisor : Double.NaN;
    }
}
