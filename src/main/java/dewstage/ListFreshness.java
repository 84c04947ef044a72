package dewstage;

import java.util.concurrent.TimeUnit;

/**
 * Decides how long a proxy may rely on its member list. A proxy counts as notified of a change NOTIFIED_NS
 * after discovery had the change and could be reached, whether or not the notification arrived. A list that
 * was not confirmed for that time plus the drain grace may thus contain servers that must not be sent to.
 * Times are in ns on any monotonic clock.
 */
public final class ListFreshness {
    /** After this time a proxy counts as notified of a change, if discovery could be reached. */
    static final long NOTIFIED_NS = TimeUnit.SECONDS.toNanos(6);
    /** After this time a proxy counts as notified of what discovery has at a new address. */
    static final long ADDRESS_CHANGE_NOTIFIED_NS = TimeUnit.SECONDS.toNanos(4);
    /** Covers a process that pauses between reading the clock and sending, and a confirmation read late. */
    static final long MARGIN_NS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Longest time that counts as an outage of discovery; the fleet must keep serving through one. */
    static final long MAX_OUTAGE_NS = TimeUnit.SECONDS.toNanos(30);

    /** How long the list is reliable after a confirmation, in ns. */
    private final long reliableNs;
    /** How long the list stays reliable after the address of discovery has changed, in ns. */
    private final long reliableAfterAddressChangeNs;
    private boolean wasEverReliable;
    private long reliableUntilNs;
    private boolean isOutage;
    private long outageSinceNs;

    /**
     * Begins with a list that nothing has confirmed.
     *
     * @param drainGraceNs how long after its notification a proxy may still send to a draining server
     * @param askWithinNs where lists are requested by calls, the time after which a proxy counts as notified
     *     of later changes; otherwise 0
     */
    public ListFreshness(long drainGraceNs, long askWithinNs) {
        long notifiedNs = askWithinNs > 0 ? Math.min(NOTIFIED_NS, askWithinNs) : NOTIFIED_NS;
        this.reliableNs = notifiedNs + drainGraceNs - MARGIN_NS;
        this.reliableAfterAddressChangeNs = ADDRESS_CHANGE_NOTIFIED_NS + drainGraceNs - MARGIN_NS;
    }

    /** Records that discovery has confirmed the current list. */
    public void onConfirmed(long now) {
        isOutage = false;
        extend(now);
    }

    /** Records that discovery has ended a watch that it had answered, as it does when it goes down. */
    public void onWatchEnded(long now) {
        isOutage = true;
        outageSinceNs = now;
    }

    /**
     * Records that discovery has refused or ended a call that it had not answered. After the end of a watch
     * this indicates an outage, during which no change counts as notified. A proxy that never had an answer
     * from discovery, or whose watch stalled, has no reason to assume an outage.
     */
    public void onCallRefused(long now) {
        if (isOutage && now - outageSinceNs < MAX_OUTAGE_NS) {
            extend(now);
        }
    }

    /** Records that discovery could not be reached; until it can, no change counts as notified. */
    public void onUnreachable(long now) {
        extend(now);
    }

    /** Records that discovery is at another address, from which the list has to be fetched. */
    public void onAddressChanged(long now) {
        if (wasEverReliable) {
            reliableUntilNs = Math.min(reliableUntilNs, now + reliableAfterAddressChangeNs);
        }
    }

    /** Returns whether a request may be sent to a server because the list contains it. */
    public boolean isReliable(long now) {
        return wasEverReliable && now < reliableUntilNs;
    }

    private void extend(long now) {
        reliableUntilNs = wasEverReliable ? Math.max(reliableUntilNs, now + reliableNs) : now + reliableNs;
        wasEverReliable = true;
    }
}
