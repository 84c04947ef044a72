package dewstage.proxy;

import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.util.HashSet;
import java.util.Set;

/**
 * The ids of open and of recently closed requests. Every request has a unique id, including a client's
 * retries: a repeated id belongs to another client and would create a duplicate at the backends. Of a closed
 * request only a hash of 64 bits is kept, and only as many as the memory allows: half of it is for requests
 * that may have run, so that others in great numbers do not displace their ids.
 */
final class RequestIds {
    /** Memory of a hash: a slot of 8 and one of 4 bytes, up to four of each for an entry. */
    private static final int CLOSED_ID_BYTES = 48;
    /** Both generations of closed ids, the second of which grows while the first one is kept. */
    private static final int GENERATIONS = 2;

    /** Recently closed ids, at least one generation of them. */
    private static final class ClosedIds {
        private final int maxPerGeneration;
        private LongObjectMap<Boolean> recent = new LongObjectHashMap<>();
        private LongObjectMap<Boolean> earlier = new LongObjectHashMap<>();

        private ClosedIds(long maxBytes) {
            this.maxPerGeneration = (int) Math.min(Integer.MAX_VALUE,
                    Math.max(1, maxBytes / GENERATIONS / CLOSED_ID_BYTES));
        }

        boolean contains(long hash) {
            return recent.containsKey(hash) || earlier.containsKey(hash);
        }

        void add(long hash) {
            recent.put(hash, Boolean.TRUE);
            if (recent.size() >= maxPerGeneration) {
                expire();
            }
        }

        void expire() {
            earlier = recent;
            recent = new LongObjectHashMap<>();
        }
    }

    private final Set<String> open = new HashSet<>();
    private final ClosedIds forwarded;
    private final ClosedIds notForwarded;

    /** Creates an empty set that uses at most this much memory for closed ids. */
    RequestIds(long maxClosedBytes) {
        this.forwarded = new ClosedIds(maxClosedBytes / 2);
        this.notForwarded = new ClosedIds(maxClosedBytes / 2);
    }

    /** Marks the id as open; returns false if it is open already or was closed recently. */
    boolean tryOpen(String id) {
        long hash = Discovery.hash(id);
        return !forwarded.contains(hash) && !notForwarded.contains(hash) && open.add(id);
    }

    /**
     * Marks the id as closed.
     *
     * @param isForwarded whether an attempt of the request was started, so that it may have run
     */
    void close(String id, boolean isForwarded) {
        if (open.remove(id)) {
            (isForwarded ? forwarded : notForwarded).add(Discovery.hash(id));
        }
    }

    /** Forgets the ids closed before the previous call. Called periodically, to bound the memory used. */
    void expireClosed() {
        forwarded.expire();
        notForwarded.expire();
    }
}
