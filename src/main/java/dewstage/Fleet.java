package dewstage;

import dewstage.Balancer.Member;
import dewstage.Balancer.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * The listed servers, found by what a decision asks for: by id, by place in a zone, by cell, those in use,
 * those that are cold. Counts are kept as they change. So a change costs what changed and a look what it
 * looks at, however many servers there are. State only, no decision.
 */
final class Fleet {
    private static final Comparator<Server> BY_ID = Comparator.comparingInt(s -> s.id);

    private final IntMap<Server> byId = new IntMap<>();
    /** All zones that a server was ever listed in. */
    private final Map<Integer, Zone> zones = new TreeMap<>();
    /** The ready ones by zone and cell; only where some class is bound to a cell. */
    private final Map<Long, RankedServers> cells;
    /** Those with an attempt out, or ejected, in the order of their ids. */
    private final List<Server> inUse = new ArrayList<>();
    /** Those that have not been found warm yet. */
    private final List<Server> cold = new ArrayList<>();
    /** No longer listed, but perhaps with an attempt out. */
    private final Set<Server> leaving = new LinkedHashSet<>();
    /** Where this proxy begins in each zone's order, as a share of it. */
    private final double phase;
    private final long startedAt;
    private double warmUnits;
    private int ejected;
    private int lists;

    Fleet(double phase, boolean boundToCells, long now) {
        this.phase = phase - Math.floor(phase);
        this.startedAt = now;
        this.cells = boundToCells ? new HashMap<>() : null;
    }

    /** The zone of a number: the same one as long as the proxy lives. */
    Zone zone(int id) {
        return zones.computeIfAbsent(id, z -> new Zone(z, startedAt));
    }

    Collection<Zone> zones() {
        return zones.values();
    }

    Server get(int id) {
        return byId.get(id);
    }

    /** All that are listed, and those still kept for an attempt. */
    int size() {
        return byId.size();
    }

    int ready() {
        return zones.values().stream().mapToInt(z -> z.ready.size()).sum();
    }

    /** How many of the ready ones are ejected. */
    int ejected() {
        return ejected;
    }

    // ---- changes ----

    /** A server that is new or has started anew takes the place of its old process. */
    void start(Server s, boolean warm) {
        Server old = byId.get(s.id);
        if (old != null) { detach(old); }
        byId.put(s.id, s);
        s.zone = zone(s.listed.zone());
        s.attached = true;
        s.named = true;
        s.warm = warm;
        if (!warm) { cold.add(s); }
        if (s.ready()) { enter(s); }
    }

    /** Begins a list; of a whole one, what it does not name is gone at its end. */
    void begin() {
        lists++;
    }

    /** What the list says of a server now. */
    void list(Server s, Member m) {
        boolean was = s.ready();
        boolean stays = was && m.state() == State.READY && m.zone() == s.listed.zone()
                && m.cell() == s.listed.cell() && m.units() == s.listed.units();
        if (was && !stays) { leave(s); }
        s.listed = m;
        if (s.zone.id != m.zone()) { s.zone = zone(m.zone()); }
        s.named = true;
        s.namedIn = lists;
        if (s.ready()) {
            if (!stays) { enter(s); }
        } else if (m.state() == State.GONE) {
            leaving.add(s);
        }
    }

    /** The list has ended: those gone are forgotten once none of their attempts is out. */
    void end(boolean whole) {
        if (whole) { byId.forEach(this::unname); }
        leaving.removeIf(s -> {
            boolean gone = s.attached && (!s.named || s.listed.state() == State.GONE);
            if (gone && s.out == 0) {
                detach(s);
                byId.remove(s.id);
            }
            return !gone || !s.attached;
        });
    }

    private void unname(Server s) {
        if (s.namedIn != lists) {
            if (s.ready()) { leave(s); }
            s.named = false;
            leaving.add(s);
        }
    }

    private void detach(Server s) {
        if (s.ready()) { leave(s); }
        s.attached = false;
        used(s);
    }

    private void enter(Server s) {
        s.zone.ready.add(s);
        s.rankedIn = 0;
        if (cells != null) { cells.computeIfAbsent(cell(s), c -> new RankedServers()).add(s); }
        ejected += s.ejected ? 1 : 0;
        warmUnits += s.warm ? s.listed.units() : 0;
    }

    private void leave(Server s) {
        s.zone.ready.remove(s);
        if (cells != null) {
            cells.get(cell(s)).remove(s);
            if (cells.get(cell(s)).size() == 0) { cells.remove(cell(s)); }
        }
        ejected -= s.ejected ? 1 : 0;
        warmUnits -= s.warm ? s.listed.units() : 0;
    }

    private static long cell(Server s) {
        return (long) s.zone.id << Integer.SIZE | s.listed.cell() & 0xffffffffL;
    }

    void eject(Server s, boolean on) {
        if (s.ejected != on) {
            s.ejected = on;
            ejected += !s.attached || !s.ready() ? 0 : on ? 1 : -1;
            used(s);
        }
    }

    /** To be told when a server's attempts out have changed from none or to none. */
    void used(Server s) {
        boolean use = s.attached && (s.out > 0 || s.ejected);
        if (use == s.inUse) { return; }
        s.inUse = use;
        int at = Collections.binarySearch(inUse, s, BY_ID);
        if (use) {
            inUse.add(-1 - at, s);
        } else {
            inUse.remove(at);
        }
    }

    // ---- looks ----

    /** Those with an attempt out, or ejected, in the order of their ids. */
    List<Server> inUse() {
        return inUse;
    }

    /** The units of the ready ones, each times its warmth (1 when warm). The cold ones alone are walked. */
    double units(ToDoubleFunction<Server> warmth) {
        double[] units = {0};
        cold.removeIf(s -> {
            double w = s.attached ? warmth.applyAsDouble(s) : 0;
            s.warm = w >= 1;
            boolean counts = s.attached && s.ready();
            warmUnits += counts && s.warm ? s.listed.units() : 0;
            units[0] += counts && !s.warm ? s.listed.units() * w : 0;
            return s.warm || !s.attached;
        });
        return units[0] + warmUnits;
    }

    /**
     * The rank at which this proxy's order of so many servers begins; it goes on round the end. Each proxy
     * begins elsewhere in the one order.
     */
    private int first(int size) {
        return (int) Math.ceil(size * (1 - phase)) % size;
    }

    /** How many servers lie within a width: the first lies a part of a step behind the beginning. */
    private int count(int size, double width) {
        double beginning = size * (1 - phase);
        return (int) Math.max(0, Math.min(size, Math.ceil(width - (Math.ceil(beginning) - beginning))));
    }

    /** Is a ready server among the first so many of its zone? */
    boolean within(Server s, double width) {
        RankedServers zone = s.zone.ready;
        if (s.rankedIn != zone.changes()) {
            s.rank = zone.rank(s);
            s.rankedIn = zone.changes();
        }
        return Math.floorMod(s.rank - first(zone.size()), zone.size()) < count(zone.size(), width);
    }

    /** The first so many of a zone or a cell, in the order of their ids. */
    void window(RankedServers of, double width, List<Server> into) {
        int size = of.size();
        if (size == 0) { return; }
        int from = first(size);
        int count = count(size, width);
        of.copy(0, Math.max(0, from + count - size), into);
        of.copy(from, Math.min(size, from + count), into);
    }

    /** The first so many of each zone but one, in the order of their ids. */
    void windows(Zone but, double width, List<Server> into) {
        int parts = 0;
        for (Zone zone : zones.values()) {
            if (zone != but && zone.ready.size() > 0) {
                window(zone.ready, width, into);
                parts++;
            }
        }
        if (parts > 1) { into.sort(BY_ID); }
    }

    /** The first so many that share a cell with a server, in the order of their ids. */
    void cell(Server with, double width, List<Server> into) {
        RankedServers cell = cells.get(cell(with));
        if (cell != null) { window(cell, width, into); }
    }
}
