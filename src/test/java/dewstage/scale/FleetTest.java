package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The synthetic fleet, the sizes that are measured, and the counting of sends. */
class FleetTest {
    private final Fleet fleet = new Fleet(720, 3);

    private static Set<String> ids(List<Backend> backends) {
        return backends.stream().map(Backend::id).collect(Collectors.toSet());
    }

    @Test
    void theSameSeedYieldsTheSameFleetWithEvenZones() {
        assertEquals(fleet.backends(), new Fleet(720, 3).backends());
        assertNotEquals(fleet.backends(), new Fleet(720, 4).backends());
        assertEquals(720, ids(fleet.backends()).size());
        assertTrue(fleet.backends().stream().collect(Collectors.groupingBy(Backend::zone)).values().stream()
                .allMatch(zoneMembers -> zoneMembers.size() == 40));
    }

    @Test
    void aRackConsistsOfTwentyBackendsOfOneZone() {
        fleet.backends().stream().collect(Collectors.groupingBy(Backend::cell)).values().forEach(rack -> {
            assertEquals(20, rack.size());
            assertEquals(1, rack.stream().map(Backend::zone).distinct().count());
        });
        List<Backend> failed = fleet.failRacks(20);
        assertEquals(1, failed.stream().map(Backend::cell).distinct().count());
        assertTrue(failed.stream().allMatch(Backend::isTerminated));
        assertEquals(700, fleet.backends().size());
        assertEquals(20, fleet.restart(failed, 77).stream().filter(b -> b.startedAtMs() == 77).count());
        assertEquals(720, ids(fleet.backends()).size());
    }

    @Test
    void aReplacedBackendIsTerminatedAndANewOneStarts() {
        Set<String> before = ids(fleet.backends());
        List<Backend> changes = fleet.replace(3, 99);
        assertEquals(6, changes.size());
        Set<String> after = new HashSet<>(ids(fleet.backends()));
        assertEquals(720, after.size());
        after.removeAll(before);
        assertEquals(after, changes.stream().filter(b -> !b.isTerminated()).map(Backend::id)
                .collect(Collectors.toSet()));
    }

    @Test
    void pointsVaryOneSizeAtATimeAndIncludeTheLargest() {
        Set<Point> points = Point.of(List.of(10, 20, 30, 40), List.of(1, 2), List.of(5, 6));
        assertEquals(List.of(new Point(10, 1, 5), new Point(20, 1, 5), new Point(30, 1, 5),
                new Point(40, 1, 5), new Point(40, 1, 6), new Point(40, 2, 6)), List.copyOf(points));
    }

    @Test
    void theMaximumWithinASpanIsThatOfTheDensestSpan() {
        assertEquals(0, SendCounts.maxWithin(new long[0], 10));
        assertEquals(3, SendCounts.maxWithin(new long[] {0, 20, 25, 30, 45}, 10));
        assertEquals(50, ColdBackendLoad.bound(36), 1e-9);
    }
}
