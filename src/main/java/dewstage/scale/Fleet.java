package dewstage.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The backends of a synthetic fleet, reproducible by its seed: assigned to the zones in turn and to racks,
 * with random services and machine types. The methods that change the fleet apply the change and return the
 * changed entries. Not thread-safe.
 */
final class Fleet {
    /** Zones of the planned fleet: 18 in 5 regions. */
    static final int ZONES = 18;
    /** Regions of the planned fleet. */
    static final int REGIONS = 5;
    /** Services of the planned fleet: 4,200. */
    static final int SERVICES = 4200;
    /** Machine types of the fleet. */
    static final int KINDS = 4;
    /** Backends of a rack: about 20 in the planned fleet. */
    static final int RACK_SIZE = 20;
    /** Least weight that a change assigns; the initial weight is 1. */
    private static final double MIN_WEIGHT = 0.5;
    /** Width of the range of the weights that a change assigns. */
    private static final double WEIGHT_RANGE = 1.0;

    private final SplittableRandom random;
    private final IntFunction<String> addresses;
    private final List<Backend> backends = new ArrayList<>();
    private int nextNumber;

    /** Creates a fleet whose addresses nothing listens at, for hollow proxies. */
    Fleet(int entries, long seed) {
        this(entries, seed, Fleet::unusedAddress);
    }

    /** Creates a fleet with the address of each backend given by its number, from 0. */
    Fleet(int entries, long seed, IntFunction<String> addresses) {
        this.random = new SplittableRandom(seed);
        this.addresses = addresses;
        for (int i = 0; i < entries; i++) {
            backends.add(newBackend(rack(i), 0));
        }
    }

    /** Returns a unique private network address; hollow proxies never connect to it. */
    private static String unusedAddress(int number) {
        return "10." + (number >> 16 & 255) + '.' + (number >> 8 & 255) + '.' + (number & 255) + ":9000";
    }

    /**
     * Returns the rack of a backend. Zones are assigned in turn and each fills one rack after the other; the
     * rack modulo ZONES is the zone.
     */
    private static int rack(int number) {
        return number % ZONES + number / ZONES / RACK_SIZE * ZONES;
    }

    private Backend newBackend(int rack, long startedAtMs) {
        int number = nextNumber++;
        int service = random.nextInt(SERVICES);
        String id = "svc" + service + '-' + Long.toHexString(random.nextLong() >>> 16) + '-' + number;
        return new Backend(id, addresses.apply(number), zoneName(rack % ZONES), "k" + random.nextInt(KINDS),
                rack, Backend.IN_SERVICE, 1, startedAtMs);
    }

    /** Returns the name of a zone; zones are assigned to the regions in turn. */
    static String zoneName(int number) {
        return "r" + number % REGIONS + "-z" + number;
    }

    static List<String> zoneNames() {
        List<String> names = new ArrayList<>();
        for (int zone = 0; zone < ZONES; zone++) {
            names.add(zoneName(zone));
        }
        return names;
    }

    static List<String> kindNames() {
        List<String> names = new ArrayList<>();
        for (int kind = 0; kind < KINDS; kind++) {
            names.add("k" + kind);
        }
        return names;
    }

    List<Backend> backends() {
        return Collections.unmodifiableList(backends);
    }

    /** Replaces count backends; returns two entries for each, the terminated backend and the new one. */
    List<Backend> replace(int count, long nowMs) {
        List<Backend> changes = new ArrayList<>();
        for (int index : adjacentIndices(count)) {
            Backend replaced = backends.get(index);
            changes.add(replaced.terminated());
            backends.set(index, newBackend(replaced.cell(), nowMs));
            changes.add(backends.get(index));
        }
        return changes;
    }

    /** Assigns new weights to count backends, a configuration change that the list carries. */
    List<Backend> changeWeights(int count) {
        List<Backend> changes = new ArrayList<>();
        for (int index : adjacentIndices(count)) {
            backends.set(index, backends.get(index)
                    .withWeight(MIN_WEIGHT + random.nextDouble() * WEIGHT_RANGE));
            changes.add(backends.get(index));
        }
        return changes;
    }

    /** Returns count adjacent indices from a random one on, or all if there are fewer backends. */
    private int[] adjacentIndices(int count) {
        int firstIndex = random.nextInt(backends.size());
        return IntStream.range(0, Math.min(count, backends.size()))
                .map(i -> (firstIndex + i) % backends.size()).toArray();
    }

    /** Fails count backends of one zone, rack by rack; returns them as terminated. */
    List<Backend> failRacks(int count) {
        return terminateAll(inZone(0).sorted(Comparator.comparingInt(Backend::cell)).limit(count).toList());
    }

    /** Fails one zone; returns its backends as terminated, for {@link #restart}. */
    List<Backend> failZone() {
        return terminateAll(inZone(0).toList());
    }

    private Stream<Backend> inZone(int number) {
        return backends.stream().filter(b -> b.zone().equals(zoneName(number)));
    }

    private List<Backend> terminateAll(List<Backend> failed) {
        backends.removeAll(new HashSet<>(failed));
        return failed.stream().map(Backend::terminated).toList();
    }

    /** Adds terminated backends again, as started at the given time. */
    List<Backend> restart(List<Backend> terminated, long nowMs) {
        List<Backend> started = terminated.stream().map(b -> b.restartedAt(nowMs)).toList();
        backends.addAll(started);
        return started;
    }
}
