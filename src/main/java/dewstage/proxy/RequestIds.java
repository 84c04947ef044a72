package dewstage.proxy;

import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.util.HashSet;
import java.util.Set;

/**
 * The ids of open and of recently closed requests. Every request has a unique id, including a client's
 * retries: a repeated id belongs to another client and would create a duplicate at the backends. Of a closed
 * request only a hash of 64 bits is kept, and only as many as the memory allows.
 */
final class RequestIds {
    /** Memory of a hash: a slot of 8 and one of 4 bytes, up to four of each for an entry. */
    private static final int CLOSED_ID_BYTES = 48;
    /** Both generations of closed ids, the second of which grows while the first one is kept. */
    private static final int GENERATIONS = 2;

    private final int maxClosedPerGeneration;
    private final Set<String> open = new HashSet<>();
    private LongObjectMap<Boolean> recentlyClosed = new LongObjectHashMap<>();
    private LongObjectMap<Boolean> closedEarlier = new LongObjectHashMap<>();

    /** Creates an empty set that uses at most this much memory for closed ids. */
    RequestIds(long maxClosedBytes) {
        this.maxClosedPerGeneration = (int) Math.min(Integer.MAX_VALUE,
                Math.max(1, maxClosedBytes / GENERATIONS / CLOSED_ID_BYTES));
    }

    /** Marks the id as open; returns false if it is open already or was closed recently. */
    boolean tryOpen(String id) {
        long hash = Discovery.hash(id);
        return !recentlyClosed.containsKey(hash) && !closedEarlier.containsKey(hash) && open.add(id);
    }

    void close(String id) {
        if (open.remove(id)) {
            recentlyClosed.put(Discovery.hash(id), Boolean.TRUE);
            if (recentlyClosed.size() >= maxClosedPerGeneration) {
                expireClosed();
            }
        }
    }

    /** Forgets the ids closed before the previous call. Called periodically, to bound the memory used. */
    void expireClosed() {
        closedEarlier = recentlyClosed;
        recentlyClosed = new LongObjectHashMap<>();
    }
}
