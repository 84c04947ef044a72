package dewstage.proxy;

import dewstage.IntMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Entries by number and by id. The number is a hash of the id, so most entries need no second map; only those
 * with a colliding hash are kept in a map by id as well.
 */
final class Entries {
    /**
     * Memory of an entry besides the characters of its id, on a heap with compressed references: the entry
     * 40, its member 48, the id's string 24 and its array 16, and up to four slots of 8 in the map.
     */
    private static final int ENTRY_BYTES = 160;

    private final IntMap<Membership.Entry> byNumber = new IntMap<>();
    /** Entries whose preferred number was in use. */
    private final Map<String, Membership.Entry> displaced = new HashMap<>();
    /** The total length of all ids. */
    private long idChars;

    Membership.Entry get(int number) {
        return byNumber.get(number);
    }

    /** Returns the entry with this id, or null. */
    Membership.Entry find(String id) {
        Membership.Entry entry = byNumber.get(preferredNumber(id));
        return entry != null && entry.id.equals(id) ? entry : displaced.get(id);
    }

    /** Adds an entry, or replaces the one with the same number. */
    void put(Membership.Entry entry) {
        idChars += byNumber.get(entry.number()) == null ? entry.id.length() : 0;
        byNumber.put(entry.number(), entry);
        if (entry.number() != preferredNumber(entry.id)) {
            displaced.put(entry.id, entry);
        }
    }

    void remove(Membership.Entry entry) {
        idChars -= byNumber.get(entry.number()) == null ? 0 : entry.id.length();
        byNumber.remove(entry.number());
        displaced.remove(entry.id);
    }

    int size() {
        return byNumber.size();
    }

    /** Estimated memory of all entries. */
    long bytes() {
        return (long) size() * ENTRY_BYTES + idChars;
    }

    void each(Consumer<Membership.Entry> action) {
        byNumber.forEach(action);
    }

    /**
     * The number of an id unless it collides. The module orders backends by number to spread the subsets of
     * the proxies, so it depends on the id alone and is the same at every proxy.
     */
    static int preferredNumber(String id) {
        return (int) (Discovery.hash(id) >>> 32);
    }
}
