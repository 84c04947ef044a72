package dewstage.proxy;

import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.State;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The backends listed by discovery, one entry for each. An incoming list is compared entry by entry; what
 * differs is staged and applied at once when the list is complete. So an incomplete list changes at most the
 * servers that it names as leaving, a repeated list costs no memory, and listeners receive only differences.
 */
final class Membership {
    /** A listed backend with its id. */
    static final class Entry extends ListedBackend {
        final String id;
        /** Number of the last list that contained this entry. */
        private int listNumber;

        Entry(String id, Member member, InetSocketAddress address, int listNumber) {
            super(member, address);
            this.id = id;
            this.listNumber = listNumber;
        }

        int number() {
            return member().id();
        }

        private boolean isGone() {
            return member().state() == State.GONE;
        }
    }

    /**
     * Memory of the decision module for each backend besides its member, rounded up: a server of Policy and
     * its slots in maps and sorted orders.
     */
    private static final int MODULE_BYTES = 300;

    /** Memory of an entry that a later one of the same list replaces, besides the characters of its id. */
    private static final int REPLACED_ENTRY_BYTES = 136;

    private final long maxBytes;
    private Entries entries = new Entries();
    private int listCount;
    private boolean isFullListDelivered;

    /**
     * Creates an empty membership.
     *
     * @param maxBytes limit of the memory for all entries, including what the module keeps for each
     */
    Membership(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the entry with this number, or null. */
    Entry get(int number) {
        return entries.get(number);
    }

    int size() {
        return entries.size();
    }

    /** Starts a list. Staged entries of an unfinished list are not applied. */
    Update begin() {
        listCount++;
        return new Update(listCount);
    }

    /** The staged differences of one list. Whether the list is a full one may be known only at its end. */
    final class Update {
        private final int listNumber;
        private final Entries staged = new Entries();
        /** All entries ever staged, in order; of several with the same id the last one counts. */
        private final List<ListedBackend> ordered = new ArrayList<>();
        /** Number of staged entries whose id is not in the membership. */
        private int addedCount;

        private Update(int listNumber) {
            this.listNumber = listNumber;
        }

        /**
         * Stages one entry if it differs from the current one.
         *
         * @param member without a number; it is assigned here
         * @param address null only if the backend is gone
         */
        void add(String id, Member member, InetSocketAddress address) {
            Entry current = entries.find(id);
            Entry previous = staged.find(id);
            if (previous != null) {
                staged.remove(previous);
                addedCount -= current == null ? 1 : 0;
            }
            boolean isGone = member.state() == State.GONE;
            if (current == null && isGone) {
                return; // unknown to the listeners as well
            }
            int number = current != null ? current.number()
                    : previous != null ? previous.number() : freeNumber(id);
            Entry entry = new Entry(current == null ? id : current.id, new Member(number, member.kind(),
                    member.state(), member.bootNs(), member.cell(), member.zone(), member.units()), address,
                    listNumber);
            if (current != null) {
                current.listNumber = listNumber;
                if (current.isSameAs(entry)) {
                    return;
                }
            }
            staged.put(entry);
            ordered.add(entry);
            addedCount += current == null ? 1 : 0;
            long repeatedBytes =
                    (long) (ordered.size() - staged.size()) * (REPLACED_ENTRY_BYTES + id.length());
            if (entries.bytes() + staged.bytes() + repeatedBytes
                    + (long) (entries.size() + addedCount) * MODULE_BYTES > maxBytes) {
                throw new TooLargeException("more than " + maxBytes / 1_000_000 + " MB with entry "
                        + (entries.size() + addedCount));
            }
        }

        /**
         * Returns an unused number, so that two ids with the same hash remain two backends and a new backend
         * does not inherit the number of one that is leaving.
         */
        private int freeNumber(String id) {
            int candidate = Entries.preferredNumber(id);
            while (entries.get(candidate) != null || staged.get(candidate) != null) {
                candidate++;
            }
            return candidate;
        }

        /**
         * Ends a list that was cut off. Servers that it named as leaving are applied nevertheless: the change
         * may count as delivered, and receiving it again may take longer than the drain grace. All other
         * entries are discarded, since discovery sends them again.
         *
         * @return the changes applied; null if there are none
         */
        ListUpdate endTruncated(long version) {
            List<ListedBackend> leaving = new ArrayList<>();
            staged.each(e -> {
                if (e.member().state() != State.READY && entries.get(e.number()) != null) {
                    leaving.add(e);
                }
            });
            for (ListedBackend backend : leaving) {
                Entry entry = (Entry) backend;
                if (entry.isGone()) {
                    entries.remove(entry);
                } else {
                    entries.put(entry);
                }
            }
            return leaving.isEmpty() ? null : new ListUpdate(ListKind.DELTA, version, leaving);
        }

        /** Applies the complete list and returns the changes. */
        ListUpdate end(long version, boolean isFullList) {
            if (ordered.size() > staged.size()) {
                ordered.removeIf(b -> staged.get(b.member().id()) != b);
            }
            List<Entry> leaving = new ArrayList<>();
            if (isFullList) {
                entries.each(e -> {
                    if (e.listNumber < listNumber) { // a later list of another watch may contain the entry
                        leaving.add(e);
                    }
                });
            }
            for (Entry entry : leaving) {
                Member m = entry.member();
                ordered.add(new ListedBackend(new Member(m.id(), m.kind(), State.GONE, m.bootNs(),
                        m.cell(), m.zone(), m.units()), null));
            }
            if (entries.size() == 0) {
                entries = staged; // avoids copying the first list
            } else {
                staged.each(e -> {
                    if (e.isGone()) {
                        leaving.add(e);
                    } else {
                        entries.put(e);
                    }
                });
                leaving.forEach(entries::remove);
            }
            ListKind kind = isFullList && !isFullListDelivered ? ListKind.FULL : ListKind.DELTA;
            isFullListDelivered = true;
            return new ListUpdate(kind, version, ordered);
        }
    }
}
