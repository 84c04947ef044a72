package dewstage;

import java.util.concurrent.TimeUnit;

/**
 * Decides how long the list of servers may be relied on. What discovery has had for TOLD_NS counts as told,
 * whether or not it arrived, unless discovery could not be reached: so a list that nothing has confirmed for
 * that time and the grace of drains may name servers that must not be sent to. Times are in ns on any clock
 * that never goes back.
 */
public final class ListFreshness {
    /** A change counts as told so long after discovery had it and could be reached. */
    static final long TOLD_NS = TimeUnit.SECONDS.toNanos(6);
    /** What a new address of discovery has counts as told so long after the signal. */
    static final long MOVED_NS = TimeUnit.SECONDS.toNanos(4);
    /** A process may be held up between reading its clock and writing, and a confirmation is read late. */
    static final long MARGIN_NS = TimeUnit.MILLISECONDS.toNanos(400);

    /** An outage of discovery is taken for one no longer than this: the fleet must outlast those. */
    static final long OUTAGE_NS = TimeUnit.SECONDS.toNanos(30);

    private final long lastsNs;
    private final long afterMoveNs;
    private boolean everReliable;
    private long reliableUntil;
    private boolean outage;
    private long outageSince;

    /**
     * Begins with a list that nothing has confirmed.
     *
     * @param drainGraceNs how long after it was told a proxy may still send to a server that drains
     * @param askWithinNs where lists are asked for, the time after which one counts as told of what came
     *     later; else 0
     */
    public ListFreshness(long drainGraceNs, long askWithinNs) {
        long told = askWithinNs > 0 ? Math.min(TOLD_NS, askWithinNs) : TOLD_NS;
        this.lastsNs = told + drainGraceNs - MARGIN_NS;
        this.afterMoveNs = MOVED_NS + drainGraceNs - MARGIN_NS;
    }

    /** Discovery has shown that the list in force is its own. */
    public void confirmed(long now) {
        outage = false;
        extend(now);
    }

    /** Discovery has ended a watch that it had answered, as it does when it goes down. */
    public void watchEnded(long now) {
        outage = true;
        outageSince = now;
    }

    /**
     * Discovery has refused or ended a call that it had not answered. Behind the end of a watch that is taken
     * for an outage, in which nothing new counts as told; a process that has never heard from discovery, or
     * whose watch fell silent, has no reason to take it for one.
     */
    public void refused(long now) {
        if (outage && now - outageSince < OUTAGE_NS) {
            extend(now);
        }
    }

    /** Discovery could not be reached: until it can, nothing new counts as told. */
    public void unreachable(long now) {
        extend(now);
    }

    /** Discovery is at another address, and what it has there has to be learnt from there. */
    public void moved(long now) {
        if (everReliable) {
            reliableUntil = Math.min(reliableUntil, now + afterMoveNs);
        }
    }

    /** May a request be sent to a server because the list names it? */
    public boolean reliable(long now) {
        return everReliable && now < reliableUntil;
    }

    private void extend(long now) {
        reliableUntil = everReliable ? Math.max(reliableUntil, now + lastsNs) : now + lastsNs;
        everReliable = true;
    }
}
