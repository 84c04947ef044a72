package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.ListKind;
import dewstage.Policy;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The costs of the module as the scale tests measure them: counts, and ratios between sizes. */
class ModuleRunTest {
    /** The smaller of the sizes to compare. */
    private static final int SMALL = 1000;
    /** The larger of the sizes to compare. */
    private static final int LARGE = 16_000;
    /** Number of alternating measurements of each size. */
    private static final int REPEATS = 3;
    /** Limit for a scan of all entries: linear growth, with a margin for caches and a busy machine. */
    private static final double MAX_LINEAR_RATIO = 3.0 * LARGE / SMALL;
    /** Limit for a scan of the subset: typically a ratio of 1.2 to 1.6; scans of all entries exceed 20. */
    private static final double MAX_CONSTANT_RATIO = 5;

    private static VirtualHost run(ModuleShape shape, long seed) {
        return new ModuleRun(Policy::new, shape, seed, System::nanoTime, (m, ns) -> { }).runAll();
    }

    /** Returns a host after the warm-up, without failures. */
    private static VirtualHost warmedUp(ModuleShape shape) {
        VirtualHost host = new VirtualHost(Policy::new, shape.settings(), 3, System::nanoTime);
        host.applyMembers(ListKind.FULL, shape.members());
        host.runRequests(ModuleRun.WARM_UP_REQUESTS);
        return host;
    }

    @Test
    void theSameSeedYieldsTheSameDecisionsAndAnotherOneDoesNot() {
        ModuleShape shape = ModuleShape.scaled(200);
        assertEquals(run(shape, 5).digest(), run(shape, 5).digest());
        assertNotEquals(run(shape, 5).digest(), run(shape, 6).digest());
    }

    @Test
    void withoutFailuresAllRequestsAreServedByTheSubset() {
        VirtualHost small = warmedUp(ModuleShape.scaled(1000));
        VirtualHost large = warmedUp(ModuleShape.scaled(17_000));
        for (VirtualHost host : List.of(small, large)) {
            assertEquals(0, host.rejected());
            // A response takes up to 30 ms: the last 8 requests may still be waiting for theirs.
            assertTrue(host.served() >= ModuleRun.WARM_UP_REQUESTS - 8, "served " + host.served());
        }
        assertTrue(small.usedServerCount() >= 20, "used " + small.usedServerCount());
        assertTrue(large.usedServerCount() <= 2 * small.usedServerCount(),
                large.usedServerCount() + " used of 17,000, " + small.usedServerCount() + " of 1,000");
    }

    @Test
    void smallerFleetsAreScaledDownFromTheTarget() {
        assertEquals(new ModuleShape(68_000, 18, 5300), ModuleShape.scaled(68_000));
        assertEquals(ModuleShape.scaled(68_000), ModuleShape.sameZones(68_000));
        assertEquals(new ModuleShape(17_000, 5, 1325), ModuleShape.scaled(17_000));
        assertEquals(new ModuleShape(200, 18, 16), ModuleShape.sameZones(200));
        assertEquals(3778, ModuleShape.scaled(68_000).ownZone(1).size());
        assertEquals(68_000, ModuleShape.scaled(68_000).members().stream().mapToInt(m -> m.id()).distinct()
                .count());
    }

    /** Measures once more in processor time of this thread; keeps the minimum of each measure. */
    private static void measure(ModuleShape shape, Map<Measure, Double> minimumNs) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        ModuleRun run = new ModuleRun(Policy::new, shape, 11, threads::getCurrentThreadCpuTime,
                (m, ns) -> minimumNs.merge(m, ns, Math::min));
        run.warmUp();
        run.measureRequests(Measure.SERVED);
        run.measureChanges();
        run.measureLists();
    }

    /** At 16 times the size, requests and changes cost about the same; a full list grows with its length. */
    @Test
    void requestsAndChangesCostConstantTimeAndAListLinearTime() {
        Map<Measure, Double> small = new EnumMap<>(Measure.class);
        Map<Measure, Double> large = new EnumMap<>(Measure.class);
        for (int i = 0; i < REPEATS; i++) {
            measure(ModuleShape.scaled(SMALL), small);
            measure(ModuleShape.scaled(LARGE), large);
        }
        for (Measure m : List.of(Measure.SERVED, Measure.CHANGE, Measure.CHANGE_AND_NEXT,
                Measure.LIST_AGAIN)) {
            double ratio = large.get(m) / small.get(m);
            assertTrue(ratio <= (m == Measure.LIST_AGAIN ? MAX_LINEAR_RATIO : MAX_CONSTANT_RATIO),
                    m.title + ": " + ratio + " times as much");
        }
    }
}
