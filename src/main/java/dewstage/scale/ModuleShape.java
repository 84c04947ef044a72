package dewstage.scale;

import dewstage.Balancer.Effect;
import dewstage.Balancer.Member;
import dewstage.Balancer.Profile;
import dewstage.Balancer.Scope;
import dewstage.Balancer.Settings;
import dewstage.Balancer.State;
import java.util.ArrayList;
import java.util.List;

/** The size of a fleet as one module sees it: the numbers of entries, zones and balancers. */
record ModuleShape(int entries, int zones, int balancers) {
    /** Entries of the target fleet, from which smaller fleets are scaled down. */
    static final int TARGET_ENTRIES = 68_000;
    /** Zones of the target fleet. */
    static final int TARGET_ZONES = 18;
    /** Balancers of the target fleet. */
    static final int TARGET_BALANCERS = 5300;
    /** The zone of the module, which exists in each shape. */
    static final int OWN_ZONE = 0;
    private static final long MS = 1_000_000;
    /** Bits of the golden ratio: an odd multiplier that scatters consecutive indices without collisions. */
    private static final int GOLDEN_RATIO = 0x9e3779b9;
    /** Machine types of a fleet. */
    private static final int KINDS = 3;
    private static final int CELLS = 4;

    /** Returns a shape with as many entries per zone and per balancer as the target. */
    static ModuleShape scaled(int entries) {
        return new ModuleShape(entries, scaleDown(TARGET_ZONES, entries), balancers(entries));
    }

    /** Returns a shape with as many zones and as many entries per balancer as the target. */
    static ModuleShape sameZones(int entries) {
        return new ModuleShape(entries, Math.min(TARGET_ZONES, entries), balancers(entries));
    }

    /** Keeps the entries per balancer of the target; at least 2, since a single balancer has no subset. */
    private static int balancers(int entries) {
        return Math.max(2, scaleDown(TARGET_BALANCERS, entries));
    }

    private static int scaleDown(int targetCount, int entries) {
        return (int) Math.max(1, Math.round((double) targetCount * entries / TARGET_ENTRIES));
    }

    /** Returns the limits and rules of a typical deployment, with pushed lists. */
    Settings settings() {
        List<Profile> profiles = List.of(
                new Profile(Effect.IDEMPOTENT, Scope.ALL, 0, 250 * MS, 600 * MS, 5, 0, false, false),
                new Profile(Effect.DEDUPLICATED, Scope.ZONE, 1200 * MS, 400 * MS, 1200 * MS, 10, 0, false,
                        false),
                new Profile(Effect.AT_MOST_ONCE, Scope.ALL, 0, 400 * MS, 1200 * MS, 1, 0, false, false));
        return new Settings(balancers / 2, balancers, OWN_ZONE, profiles, false, true, 5, 1200 * MS, 0.31,
                8800 * MS, 3, 1500 * MS, 0, 5 * MS, 0.1, false, 0, 120 * MS);
    }

    /** Returns all entries in service, assigned to the zones in turn. */
    List<Member> members() {
        List<Member> members = new ArrayList<>(entries);
        for (int i = 0; i < entries; i++) {
            members.add(member(i, State.READY, 0));
        }
        return members;
    }

    Member member(int index, State state, long bootNs) {
        return new Member(index * GOLDEN_RATIO, index % KINDS, state, bootNs, index % CELLS, index % zones,
                1);
    }

    /** Returns the entries of the own zone, started at the given time, as after the recovery of the zone. */
    List<Member> ownZone(long bootNs) {
        List<Member> members = new ArrayList<>();
        for (int i = OWN_ZONE; i < entries; i += zones) {
            members.add(member(i, State.READY, bootNs));
        }
        return members;
    }
}
