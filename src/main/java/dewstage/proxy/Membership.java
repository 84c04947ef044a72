package dewstage.proxy;

import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.State;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The backends as discovery lists them, each held once. A list is compared as it comes, entry by entry: what
 * it says anew stands apart until its end, and only then takes effect, all at once. So a list that breaks off
 * changes nothing, one heard again costs no memory, and who listens hears only of what differs.
 */
final class Membership {
    /** A backend as listed, under its id. */
    static final class Entry extends Discovery.Listed {
        final String id;
        /** The last list that named it. */
        private int list;

        Entry(String id, Member member, InetSocketAddress address, int list) {
            super(member, address);
            this.id = id;
            this.list = list;
        }

        int number() {
            return member().id();
        }

        private boolean gone() {
            return member().state() == State.GONE;
        }
    }

    /**
     * What the module keeps of a backend beside its member, rounded up: a server of Policy and its places in
     * maps and orders.
     */
    private static final int MODULE_BYTES = 300;

    /** What a proxy holds beside its list: 3.8 MB with one entry and no request, and as much again. */
    private static final long REST_BYTES = 8 << 20;

    private final long room;
    private Entries held = new Entries();
    private int lists;
    private boolean delivered;

    /** All that is listed, with what the module makes of it, may take so many bytes. */
    Membership(long room) {
        this.room = room;
    }

    /**
     * Two thirds of the heap beyond what the rest holds: deploy/serve.sh keeps two fifths of the heap for
     * what is new, and what lasts must fit into the other three.
     */
    static long usualRoom() {
        return Math.max(0, Runtime.getRuntime().maxMemory() - REST_BYTES) * 2 / 3;
    }

    /** What is listed under a number; null if nothing is. */
    Entry get(int number) {
        return held.get(number);
    }

    /** How many backends are listed. */
    int size() {
        return held.size();
    }

    /** A list begins; what came of one that has not ended is forgotten. */
    Update begin() {
        lists++;
        return new Update(lists);
    }

    /** What one list says anew. Whether it is a whole one may be known only at its end. */
    final class Update {
        private final int list;
        private final Entries staged = new Entries();
        /** All that were ever staged, in order; a later word on an id is the one that counts. */
        private final List<Discovery.Listed> order = new ArrayList<>();
        /** Of those staged, the ones that nobody has heard of before. */
        private int fresh;

        private Update(int list) {
            this.list = list;
        }

        /** One entry; its member bears no number yet, and it has an address unless it is gone. */
        void add(String id, Member member, InetSocketAddress address) {
            Entry old = held.find(id);
            Entry before = staged.find(id);
            if (before != null) {
                staged.remove(before);
                fresh -= old == null ? 1 : 0;
            }
            boolean gone = member.state() == State.GONE;
            if (old == null && gone) {
                return; // nobody has heard of it
            }
            int number = old != null ? old.number() : before != null ? before.number() : free(id);
            Entry e = new Entry(old == null ? id : old.id, new Member(number, member.kind(), member.state(),
                    member.bootNs(), member.cell(), member.zone(), member.units()), address, list);
            if (old != null) {
                old.list = list;
                if (old.same(e)) {
                    return;
                }
            }
            staged.put(e);
            order.add(e);
            fresh += old == null ? 1 : 0;
            if (held.bytes() + staged.bytes() + (long) (held.size() + fresh) * MODULE_BYTES > room) {
                throw new TooLargeException("more than " + room / 1_000_000 + " MB with entry "
                        + (held.size() + fresh));
            }
        }

        /** Two ids of one hash must not become one backend, nor a new one take over from one that leaves. */
        private int free(String id) {
            int n = Entries.number(id);
            while (held.get(n) != null || staged.get(n) != null) {
                n++;
            }
            return n;
        }

        /**
         * The list has broken off. What it said of servers that leave counts all the same: it may count as
         * told, and waiting for it to be said again may outlast the grace; all else comes again.
         *
         * @return what that changes; null if nothing
         */
        Discovery.ListUpdate breakOff(long version) {
            List<Discovery.Listed> leaving = new ArrayList<>();
            staged.each(e -> {
                if (e.member().state() != State.READY && held.get(e.number()) != null) {
                    leaving.add(e);
                }
            });
            for (Discovery.Listed l : leaving) {
                Entry e = (Entry) l;
                if (e.gone()) {
                    held.remove(e);
                } else {
                    held.put(e);
                }
            }
            return leaving.isEmpty() ? null : new Discovery.ListUpdate(ListKind.DELTA, version, leaving);
        }

        /** The list has come to its end and counts from now on; returns what it changes. */
        Discovery.ListUpdate end(long version, boolean whole) {
            if (order.size() > staged.size()) {
                order.removeIf(l -> staged.get(l.member().id()) != l);
            }
            List<Entry> leaving = new ArrayList<>();
            if (whole) {
                held.each(e -> {
                    if (e.list < list) { // another watch may have named it since
                        leaving.add(e);
                    }
                });
            }
            for (Entry e : leaving) {
                Member m = e.member();
                order.add(new Discovery.Listed(new Member(m.id(), m.kind(), State.GONE, m.bootNs(), m.cell(),
                        m.zone(), m.units()), null));
            }
            if (held.size() == 0) {
                held = staged; // a first list need not be copied
            } else {
                staged.each(e -> {
                    if (e.gone()) {
                        leaving.add(e);
                    } else {
                        held.put(e);
                    }
                });
                leaving.forEach(held::remove);
            }
            ListKind kind = whole && !delivered ? ListKind.FULL : ListKind.DELTA;
            delivered = true;
            return new Discovery.ListUpdate(kind, version, order);
        }
    }
}
