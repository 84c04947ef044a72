package dewstage;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Decides how long a proxy may rely on its member list. A proxy counts as notified of a change NOTIFIED_NS
 * after discovery had the change and could be reached, whether or not the notification arrived. A list that
 * was not confirmed for that time plus the drain grace may thus contain servers that must not be sent to.
 *
 * <p>During an outage of discovery no further change counts as notified, so a list that was up to date when
 * the outage began remains reliable. Evidence of an outage says nothing about changes made before it, so it
 * never makes a list reliable that may have been outdated by then. {@code docs/LIST-RELIANCE.md} has the
 * reasons. Times are in ns on any monotonic clock.
 */
public final class ListFreshness {
    /** After this time a proxy counts as notified of a change, if discovery could be reached. */
    static final long NOTIFIED_NS = TimeUnit.SECONDS.toNanos(6);
    /** After this time a proxy counts as notified of what discovery has at a new address. */
    static final long ADDRESS_CHANGE_NOTIFIED_NS = TimeUnit.SECONDS.toNanos(4);
    /** Covers a process that pauses between reading the clock and sending, and a confirmation read late. */
    static final long MARGIN_NS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Longest time that counts as an outage if it shows in refused calls alone, as a full queue does. */
    static final long MAX_OUTAGE_NS = TimeUnit.SECONDS.toNanos(30);

    /** What is known of the list and of discovery. */
    private enum State {
        /** Discovery has not confirmed the list at its present address: the list may lack older changes. */
        UNCONFIRMED,
        /** A watch confirms the list. */
        CONFIRMED,
        /** Discovery has ended the watch, as it does when it goes down; it may be crowded instead. */
        WATCH_ENDED,
        /** Connections have failed since the watch ended, and none has been accepted. */
        UNREACHABLE,
        /** The watch fell silent. It has missed nothing only if discovery has been cut off ever since. */
        WATCH_SILENT,
        /** Discovery could be reached after the list was last confirmed, so the list may lack changes. */
        OUTDATED
    }

    /** Whether lists are requested by calls rather than pushed. */
    private final boolean isOnRequest;
    /** How long the list is reliable after a confirmation, in ns. */
    private final long reliableNs;
    /** How long the list stays reliable after the address of discovery has changed, in ns. */
    private final long reliableAfterAddressChangeNs;
    private State state = State.UNCONFIRMED;
    private boolean wasEverReliable;
    private long reliableUntilNs;
    private long watchEndedAtNs;

    /**
     * Begins with a list that nothing has confirmed.
     *
     * @param drainGraceNs how long after its notification a proxy may still send to a draining server
     * @param askWithinNs where lists are requested by calls, the time after which a proxy counts as notified
     *     of later changes; otherwise 0
     */
    public ListFreshness(long drainGraceNs, long askWithinNs) {
        this.isOnRequest = askWithinNs > 0;
        long notifiedNs = isOnRequest ? Math.min(NOTIFIED_NS, askWithinNs) : NOTIFIED_NS;
        this.reliableNs = notifiedNs + drainGraceNs - MARGIN_NS;
        this.reliableAfterAddressChangeNs = ADDRESS_CHANGE_NOTIFIED_NS + drainGraceNs - MARGIN_NS;
    }

    /** Records that discovery has confirmed the current list. */
    public void onConfirmed(long now) {
        state = State.CONFIRMED;
        extend(now);
    }

    /**
     * Records that discovery has ended a watch that was up to date, as it does when it goes down. Refused
     * calls after that count as an outage for a limited time.
     */
    public void onWatchEnded(long now) {
        if (state == State.CONFIRMED) {
            state = State.WATCH_ENDED;
            watchEndedAtNs = now;
        }
    }

    /**
     * Records that discovery has refused or ended a call that it had not answered. After the end of a watch
     * this indicates an outage, during which no change counts as notified. A proxy that never had an answer
     * from discovery, or whose watch stalled, has no reason to assume an outage.
     */
    public void onCallRefused(long now) {
        if (isOutageAssumed(now)) {
            extend(now);
        }
    }

    private boolean isOutageAssumed(long now) {
        return state == State.WATCH_ENDED && now - watchEndedAtNs < MAX_OUTAGE_NS;
    }

    /** Records that discovery has accepted a connection: after an outage it may have new changes. */
    public void onConnected() {
        if (state == State.UNREACHABLE || state == State.WATCH_SILENT) {
            state = State.OUTDATED;
        }
    }

    /** Records that a watch that was up to date has delivered nothing for too long. */
    public void onWatchSilent() {
        if (state == State.CONFIRMED) {
            state = State.WATCH_SILENT;
        }
    }

    /** Records that a watch has ended before it delivered all that discovery had for it. */
    public void onChangesMissed() {
        if (state != State.UNCONFIRMED) {
            state = State.OUTDATED;
        }
    }

    /** Records that the host of discovery has refused a connection: discovery is down. */
    public void onConnectionRefused(long now) {
        if (state == State.WATCH_SILENT) {
            state = State.OUTDATED; // a host that is not cut off would have ended the watch
        }
        onUnreachable(now);
    }

    /** Records that a connection to discovery did not come up: its host is down or cut off. */
    public void onConnectionTimedOut(long now) {
        onUnreachable(now);
    }

    /**
     * Discovery could not be reached; until it can, no change counts as notified. Pushed changes count as
     * notified to a new process, or after a change of the address, even if discovery had them only before it
     * went down, so a list that this address has not confirmed remains unreliable.
     */
    private void onUnreachable(long now) {
        if (state == State.WATCH_ENDED) {
            state = isOutageAssumed(now) ? State.UNREACHABLE : State.OUTDATED;
        }
        boolean isStillComplete = state == State.UNREACHABLE || state == State.WATCH_SILENT;
        if (isStillComplete || state == State.UNCONFIRMED && isOnRequest) {
            extend(now);
        }
    }

    /**
     * Records that discovery is at another address, which has to confirm the list. The end of the watch at
     * the old address thus says nothing.
     */
    public void onAddressChanged(long now) {
        state = State.UNCONFIRMED;
        if (wasEverReliable) {
            reliableUntilNs = Math.min(reliableUntilNs, now + reliableAfterAddressChangeNs);
        }
    }

    /** Returns whether a request may be sent to a server because the list contains it. */
    public boolean isReliable(long now) {
        return wasEverReliable && now < reliableUntilNs;
    }

    /** Describes what is known of the list, for the log. */
    public String describeState() {
        return state.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private void extend(long now) {
        reliableUntilNs = wasEverReliable ? Math.max(reliableUntilNs, now + reliableNs) : now + reliableNs;
        wasEverReliable = true;
    }
}
