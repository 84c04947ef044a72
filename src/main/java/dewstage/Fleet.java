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
 * The servers of the member list, indexed by everything that a decision asks for: by id, by rank in a zone or
 * a cell, those in use and those that are cold. Counts are maintained incrementally, so the cost of an update
 * depends on the number of changed servers, and the cost of a query on the number of servers that it returns,
 * not on the size of the fleet. The decisions are in {@link Policy}.
 */
final class Fleet {
    private static final Comparator<Server> BY_ID = Comparator.comparingInt(server -> server.id);

    private final IntMap<Server> byId = new IntMap<>();
    /** Every zone in which a server has ever been listed, by its id. */
    private final Map<Integer, Zone> zones = new TreeMap<>();
    /** The ready servers by zone and cell; null unless some class is bound to a cell. */
    private final Map<Long, RankedServers> readyByCell;
    /** The servers that have an attempt in flight or are ejected, in order of ids. */
    private final List<Server> inUse = new ArrayList<>();
    /** The servers that were not warm when last checked. */
    private final List<Server> cold = new ArrayList<>();
    /** The servers that are gone from the list; each stays until its attempts in flight have completed. */
    private final Set<Server> leaving = new LinkedHashSet<>();
    /** This proxy's window of a zone begins at the fraction 1 - phase of its ready servers. */
    private final double phase;
    private final long startedAtNs;
    /** Sum of the capacity units of the ready servers that are warm. */
    private double warmUnits;
    private int ejectedCount;
    /** Number of the current member list. */
    private int listNumber;

    Fleet(double phase, boolean indexCells, long now) {
        this.phase = phase - Math.floor(phase);
        this.startedAtNs = now;
        this.readyByCell = indexCells ? new HashMap<>() : null;
    }

    /** Returns the zone with an id; always the same instance for the same id. */
    Zone zone(int id) {
        return zones.computeIfAbsent(id, key -> new Zone(key, startedAtNs));
    }

    Collection<Zone> zones() {
        return zones.values();
    }

    /** Returns the server with an id, or null. */
    Server get(int id) {
        return byId.get(id);
    }

    /** Returns the number of servers, including unlisted ones that still have an attempt in flight. */
    int size() {
        return byId.size();
    }

    int readyCount() {
        return zones.values().stream().mapToInt(zone -> zone.readyServers.size()).sum();
    }

    /** Returns the number of ready servers that are ejected. */
    int ejectedCount() {
        return ejectedCount;
    }

    // ---- updates ----

    /**
     * Adds a server that is new or has restarted; it replaces the server with the same id, if there is one.
     */
    void addStarted(Server server, boolean isWarm) {
        Server previous = byId.get(server.id);
        if (previous != null) { detach(previous); }
        byId.put(server.id, server);
        server.zone = zone(server.listEntry.zone());
        server.isInFleet = true;
        server.isListed = true;
        server.isWarm = isWarm;
        if (!isWarm) { cold.add(server); }
        if (server.isReady()) { addToIndexes(server); }
    }

    /** Begins a member list. */
    void beginList() {
        listNumber++;
    }

    /** Updates a server to its entry in the current member list. */
    void applyEntry(Server server, Member entry) {
        boolean wasReady = server.isReady();
        boolean keepsIndexes = wasReady && entry.state() == State.READY
                && entry.zone() == server.listEntry.zone()
                && entry.cell() == server.listEntry.cell() && entry.units() == server.listEntry.units();
        if (wasReady && !keepsIndexes) { removeFromIndexes(server); }
        server.listEntry = entry;
        if (server.zone.id != entry.zone()) { server.zone = zone(entry.zone()); }
        server.isListed = true;
        server.lastListNumber = listNumber;
        if (server.isReady()) {
            if (!keepsIndexes) { addToIndexes(server); }
        } else if (entry.state() == State.GONE) {
            leaving.add(server);
        }
    }

    /**
     * Ends a member list and removes the servers that are gone and have no attempt in flight.
     *
     * @param isComplete whether servers that the list does not contain are gone
     */
    void endList(boolean isComplete) {
        if (isComplete) { byId.forEach(this::unlistIfAbsent); }
        leaving.removeIf(server -> {
            boolean isGone = server.isInFleet
                    && (!server.isListed || server.listEntry.state() == State.GONE);
            if (isGone && server.inFlight == 0) {
                detach(server);
                byId.remove(server.id);
            }
            return !isGone || !server.isInFleet;
        });
    }

    private void unlistIfAbsent(Server server) {
        if (server.lastListNumber != listNumber) {
            if (server.isReady()) { removeFromIndexes(server); }
            server.isListed = false;
            leaving.add(server);
        }
    }

    private void detach(Server server) {
        if (server.isReady()) { removeFromIndexes(server); }
        server.isInFleet = false;
        updateInUse(server);
    }

    /** Adds a ready server to its zone, its cell and the counts. */
    private void addToIndexes(Server server) {
        server.zone.readyServers.add(server);
        server.rankVersion = 0;
        if (readyByCell != null) {
            readyByCell.computeIfAbsent(cellKey(server), key -> new RankedServers()).add(server);
        }
        ejectedCount += server.isEjected ? 1 : 0;
        warmUnits += server.isWarm ? server.listEntry.units() : 0;
    }

    /** Undoes {@link #addToIndexes}. */
    private void removeFromIndexes(Server server) {
        server.zone.readyServers.remove(server);
        if (readyByCell != null) {
            readyByCell.get(cellKey(server)).remove(server);
            if (readyByCell.get(cellKey(server)).size() == 0) { readyByCell.remove(cellKey(server)); }
        }
        ejectedCount -= server.isEjected ? 1 : 0;
        warmUnits -= server.isWarm ? server.listEntry.units() : 0;
    }

    private static long cellKey(Server server) {
        return (long) server.zone.id << Integer.SIZE | server.listEntry.cell() & 0xffffffffL;
    }

    void setEjected(Server server, boolean eject) {
        if (server.isEjected != eject) {
            server.isEjected = eject;
            ejectedCount += !server.isInFleet || !server.isReady() ? 0 : eject ? 1 : -1;
            updateInUse(server);
        }
    }

    /** Updates the list of servers in use; must be called after each change of a server's inFlight. */
    void updateInUse(Server server) {
        boolean belongsInList = server.isInFleet && (server.inFlight > 0 || server.isEjected);
        if (belongsInList == server.isInUse) { return; }
        server.isInUse = belongsInList;
        int index = Collections.binarySearch(inUse, server, BY_ID);
        if (belongsInList) {
            inUse.add(-1 - index, server);
        } else {
            inUse.remove(index);
        }
    }

    // ---- queries ----

    /** Returns the servers that have an attempt in flight or are ejected, in order of ids. */
    List<Server> inUse() {
        return inUse;
    }

    /**
     * Returns the sum of the capacity units of the ready servers, each multiplied by its warm fraction (1
     * when warm). Scans the cold servers only.
     */
    double effectiveUnits(ToDoubleFunction<Server> warmFraction) {
        double[] coldUnits = {0};
        cold.removeIf(server -> {
            double fraction = server.isInFleet ? warmFraction.applyAsDouble(server) : 0;
            server.isWarm = fraction >= 1;
            boolean counts = server.isInFleet && server.isReady();
            warmUnits += counts && server.isWarm ? server.listEntry.units() : 0;
            coldUnits[0] += counts && !server.isWarm ? server.listEntry.units() * fraction : 0;
            return server.isWarm || !server.isInFleet;
        });
        return coldUnits[0] + warmUnits;
    }

    /**
     * Returns the rank at which this proxy's window begins in a zone or cell of a given size; the window
     * wraps around the end. The proxies share one order of the servers, and each begins at a rank of its own.
     */
    private int windowStart(int size) {
        return (int) Math.ceil(size * (1 - phase)) % size;
    }

    /** Returns the number of servers in a window, which begins up to one rank before its first server. */
    private int windowSize(int size, double width) {
        double start = size * (1 - phase);
        return (int) Math.max(0, Math.min(size, Math.ceil(width - (Math.ceil(start) - start))));
    }

    /** Returns whether a ready server is in this proxy's window of its zone. */
    boolean isInWindow(Server server, double width) {
        RankedServers servers = server.zone.readyServers;
        if (server.rankVersion != servers.version()) {
            server.rank = servers.rank(server);
            server.rankVersion = servers.version();
        }
        return Math.floorMod(server.rank - windowStart(servers.size()), servers.size())
                < windowSize(servers.size(), width);
    }

    /** Appends this proxy's window of a zone or a cell to a list, in order of ids. */
    void addWindow(RankedServers servers, double width, List<Server> target) {
        int size = servers.size();
        if (size == 0) { return; }
        int start = windowStart(size);
        int count = windowSize(size, width);
        servers.copy(0, Math.max(0, start + count - size), target);
        servers.copy(start, Math.min(size, start + count), target);
    }

    /** Appends this proxy's windows of all zones but one to an empty list, in order of ids. */
    void addWindowsOfOtherZones(Zone excluded, double width, List<Server> target) {
        int windows = 0;
        for (Zone zone : zones.values()) {
            if (zone != excluded && zone.readyServers.size() > 0) {
                addWindow(zone.readyServers, width, target);
                windows++;
            }
        }
        if (windows > 1) { target.sort(BY_ID); }
    }

    /** Appends this proxy's window of the cell that a server belongs to, in order of ids. */
    void addWindowOfCell(Server member, double width, List<Server> target) {
        RankedServers cellServers = readyByCell.get(cellKey(member));
        if (cellServers != null) { addWindow(cellServers, width, target); }
    }
}
