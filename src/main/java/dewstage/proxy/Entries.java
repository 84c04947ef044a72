package dewstage.proxy;

import dewstage.IntMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Entries by their number, found by their id. The number follows from the id, so that most need no map of
 * ids; the few whose number was another's already are kept beside.
 */
final class Entries {
    /**
     * What one takes beside the letters of its id, on a heap with compressed references: the entry 40, its
     * member 48, the id's string 24 and its array 16, and up to four places of 8 in the map.
     */
    private static final int BYTES = 160;

    private final IntMap<Membership.Entry> byNumber = new IntMap<>();
    private final Map<String, Membership.Entry> displaced = new HashMap<>();
    /** The length of all ids. */
    private long letters;

    Membership.Entry get(int number) {
        return byNumber.get(number);
    }

    /** The entry of this id; null if there is none. */
    Membership.Entry find(String id) {
        Membership.Entry e = byNumber.get(number(id));
        return e != null && e.id.equals(id) ? e : displaced.get(id);
    }

    /** Puts it in the place of what has its number. */
    void put(Membership.Entry e) {
        letters += byNumber.get(e.number()) == null ? e.id.length() : 0;
        byNumber.put(e.number(), e);
        if (e.number() != number(e.id)) {
            displaced.put(e.id, e);
        }
    }

    void remove(Membership.Entry e) {
        letters -= byNumber.get(e.number()) == null ? 0 : e.id.length();
        byNumber.remove(e.number());
        displaced.remove(e.id);
    }

    int size() {
        return byNumber.size();
    }

    long bytes() {
        return (long) size() * BYTES + letters;
    }

    void each(Consumer<Membership.Entry> to) {
        byNumber.forEach(to);
    }

    /**
     * The number that an id wishes for. The module orders backends by it to spread the proxies' subsets, so
     * it comes from the id alone, the same at every proxy.
     */
    static int number(String id) {
        return (int) (Discovery.hash(id) >>> 32);
    }
}
