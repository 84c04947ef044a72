package dewstage.scale;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.math3.stat.descriptive.rank.Max;
import org.apache.commons.math3.stat.descriptive.rank.Median;
import org.apache.commons.math3.stat.descriptive.rank.Min;

/** The results of the child processes: for each build, shape and measure one value per repetition, in us. */
final class ModuleCosts {
    private static final double NS_PER_US = 1e3;

    private record Key(String build, ModuleShape shape, Measure measure) { }

    private final Map<Key, List<Double>> values = new HashMap<>();
    private final Map<ModuleShape, Set<String>> digests = new HashMap<>();
    private final Map<String, Long> served = new HashMap<>();
    private final Map<String, Long> rejected = new HashMap<>();

    /** Adds the output of one child process; returns false if it is incomplete. */
    boolean addOutput(String build, ModuleShape shape, List<String> lines) {
        Map<Measure, List<Double>> blocks = new EnumMap<>(Measure.class);
        for (String line : lines) {
            String[] words = line.split(" ");
            if (words[0].equals(ModuleChild.DONE)) {
                digests.computeIfAbsent(shape, s -> new HashSet<>()).add(words[1]);
                served.merge(build, Long.valueOf(words[2]), Long::sum);
                rejected.merge(build, Long.valueOf(words[3]), Long::sum);
                blocks.forEach((m, costs) -> values.computeIfAbsent(new Key(build, shape, m),
                        k -> new ArrayList<>()).add(new Median().evaluate(array(costs)) / NS_PER_US));
                return true;
            }
            blocks.computeIfAbsent(Measure.valueOf(words[0]), m -> new ArrayList<>())
                    .add(Double.valueOf(words[1]));
        }
        return false;
    }

    private static double[] array(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).toArray();
    }

    private double[] costsUs(String build, ModuleShape shape, Measure measure) {
        return array(values.getOrDefault(new Key(build, shape, measure), List.of()));
    }

    /** Returns the median over the repetitions of the median block of each; NaN if there is none. */
    double median(String build, ModuleShape shape, Measure measure) {
        return new Median().evaluate(costsUs(build, shape, measure));
    }

    double min(String build, ModuleShape shape, Measure measure) {
        return new Min().evaluate(costsUs(build, shape, measure));
    }

    double max(String build, ModuleShape shape, Measure measure) {
        return new Max().evaluate(costsUs(build, shape, measure));
    }

    double ratio(String build, Measure measure, ModuleShape large, ModuleShape small) {
        return median(build, large, measure) / median(build, small, measure);
    }

    /** Returns whether all builds made the same decisions in all repetitions: the same sends and results. */
    boolean hasSameDecisions(ModuleShape shape) {
        return digests.getOrDefault(shape, Set.of()).size() <= 1;
    }

    /** Returns the number of requests that a build's module served. */
    long served(String build) {
        return served.getOrDefault(build, 0L);
    }

    /** Returns the number of requests that a build's module refused or failed. */
    long rejected(String build) {
        return rejected.getOrDefault(build, 0L);
    }
}
