package dewstage;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How long a member list is relied on, by what discovery did last. */
class ListFreshnessTest {
    private static final long GRACE_NS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long ASK_WITHIN_NS = TimeUnit.SECONDS.toNanos(10);
    private static final long RELIABLE_NS = ListFreshness.NOTIFIED_NS + GRACE_NS - ListFreshness.MARGIN_NS;
    private static final long RELIABLE_AFTER_ADDRESS_CHANGE_NS =
            ListFreshness.ADDRESS_CHANGE_NOTIFIED_NS + GRACE_NS - ListFreshness.MARGIN_NS;
    private static final long RETRY_NS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long OUTAGE_NS = TimeUnit.SECONDS.toNanos(60);

    private final ListFreshness pushed = new ListFreshness(GRACE_NS, 0);
    private final ListFreshness requested = new ListFreshness(GRACE_NS, ASK_WITHIN_NS);
    private long now = -TimeUnit.SECONDS.toNanos(5); // the origin of the clock is arbitrary

    private void repeatUntil(long endNs, Runnable event) {
        while (now < endNs) {
            event.run();
            now += RETRY_NS;
        }
    }

    /** Guards against sends to a draining server by a process that began in an outage (pushed lists). */
    @Test
    void unreachableDiscoveryDoesNotConfirmAPushedListOfANewProcess() {
        repeatUntil(now + OUTAGE_NS, () -> {
            pushed.onConnectionRefused(now);
            assertFalse(pushed.isReliable(now));
        });
    }

    @Test
    void requestedListOfANewProcessIsReliableWhileDiscoveryIsUnreachable() {
        assertFalse(requested.isReliable(now));
        repeatUntil(now + OUTAGE_NS, () -> {
            requested.onConnectionRefused(now);
            assertTrue(requested.isReliable(now));
        });
    }

    /** Guards against a list that counted as confirmed since a watch had ended without a list. */
    @Test
    void watchThatEndedWithoutAListIsNoReasonToAssumeAnOutage() {
        for (ListFreshness freshness : new ListFreshness[] {pushed, requested}) {
            freshness.onWatchEnded(now);
            freshness.onCallRefused(now);
            assertFalse(freshness.isReliable(now));
        }
    }

    /** Guards against the end of the watch at the old address being taken for an outage of the new one. */
    @Test
    void endOfTheOldWatchAfterAnAddressChangeDoesNotExtendReliability() {
        for (ListFreshness freshness : new ListFreshness[] {pushed, requested}) {
            freshness.onConfirmed(now);
            freshness.onAddressChanged(now);
            freshness.onWatchEnded(now);
            repeatUntil(now + RELIABLE_AFTER_ADDRESS_CHANGE_NS, () -> {
                assertTrue(freshness.isReliable(now));
                freshness.onCallRefused(now);
            });
            assertFalse(freshness.isReliable(now));
        }
    }

    /** Guards against failed connections to a new address counting as a confirmation of a pushed list. */
    @Test
    void unreachableNewAddressDoesNotConfirmAPushedList() {
        pushed.onConfirmed(now);
        pushed.onAddressChanged(now);
        repeatUntil(now + RELIABLE_AFTER_ADDRESS_CHANGE_NS, () -> pushed.onConnectionRefused(now));
        assertFalse(pushed.isReliable(now));
        pushed.onConfirmed(now);
        assertTrue(pushed.isReliable(now));
    }

    @Test
    void requestedListIsReliableWhileTheNewAddressIsUnreachable() {
        requested.onConfirmed(now);
        requested.onAddressChanged(now);
        repeatUntil(now + OUTAGE_NS, () -> {
            requested.onConnectionRefused(now);
            assertTrue(requested.isReliable(now));
        });
    }

    @Test
    void confirmedListIsReliableThroughAnOutage() {
        for (ListFreshness freshness : new ListFreshness[] {pushed, requested}) {
            freshness.onConfirmed(now);
            freshness.onWatchEnded(now);
            repeatUntil(now + OUTAGE_NS, () -> {
                freshness.onConnectionRefused(now);
                assertTrue(freshness.isReliable(now));
            });
        }
    }

    /** Guards against a crowded discovery being taken for down after it had come back from an outage. */
    @Test
    void refusedCallsAfterAnOutageDoNotExtendReliability() {
        for (ListFreshness freshness : new ListFreshness[] {pushed, requested}) {
            freshness.onConfirmed(now);
            freshness.onWatchEnded(now);
            repeatUntil(now + OUTAGE_NS, () -> freshness.onConnectionRefused(now));
            freshness.onConnectionRefused(now);
            long failedAtNs = now;
            freshness.onConnected();
            repeatUntil(failedAtNs + RELIABLE_NS, () -> {
                assertTrue(freshness.isReliable(now));
                freshness.onCallRefused(now);
                freshness.onConnectionRefused(now);
            });
            assertFalse(freshness.isReliable(now));
        }
    }

    @Test
    void refusedCallsAfterTheEndOfAWatchCountAsAnOutageForALimitedTime() {
        for (ListFreshness freshness : new ListFreshness[] {pushed, requested}) {
            freshness.onConfirmed(now);
            freshness.onWatchEnded(now);
            long endedAtNs = now;
            repeatUntil(endedAtNs + ListFreshness.MAX_OUTAGE_NS, () -> {
                freshness.onConnected();
                freshness.onCallRefused(now);
                assertTrue(freshness.isReliable(now));
            });
            repeatUntil(now + RELIABLE_NS, () -> {
                freshness.onCallRefused(now);
                freshness.onConnectionRefused(now);
            });
            assertFalse(freshness.isReliable(now));
        }
    }

    /** Guards against changes that a silent watch missed before discovery went down. */
    @Test
    void outageAfterASilentWatchDoesNotExtendReliability() {
        for (ListFreshness freshness : new ListFreshness[] {pushed, requested}) {
            freshness.onConfirmed(now);
            long confirmedAtNs = now;
            freshness.onWatchSilent();
            repeatUntil(confirmedAtNs + RELIABLE_NS, () -> {
                assertTrue(freshness.isReliable(now));
                freshness.onConnectionRefused(now);
                freshness.onConnectionTimedOut(now);
            });
            assertFalse(freshness.isReliable(now));
        }
    }

    @Test
    void listIsReliableWhileDiscoveryIsCutOff() {
        for (ListFreshness freshness : new ListFreshness[] {pushed, requested}) {
            freshness.onConfirmed(now);
            freshness.onWatchSilent();
            repeatUntil(now + OUTAGE_NS, () -> {
                freshness.onConnectionTimedOut(now);
                assertTrue(freshness.isReliable(now));
            });
            freshness.onConnected();
            repeatUntil(now + RELIABLE_NS, () -> freshness.onConnectionTimedOut(now));
            assertFalse(freshness.isReliable(now));
        }
    }

    /** Guards against an outage that is assumed after a watch has ended within a list. */
    @Test
    void outageAfterMissedChangesDoesNotExtendReliability() {
        for (ListFreshness freshness : new ListFreshness[] {pushed, requested}) {
            freshness.onConfirmed(now);
            long confirmedAtNs = now;
            freshness.onChangesMissed();
            repeatUntil(confirmedAtNs + RELIABLE_NS, () -> {
                assertTrue(freshness.isReliable(now));
                freshness.onWatchEnded(now);
                freshness.onCallRefused(now);
                freshness.onConnectionRefused(now);
            });
            assertFalse(freshness.isReliable(now));
        }
    }

    @Test
    void confirmedListIsReliableForALimitedTime() {
        for (ListFreshness freshness : new ListFreshness[] {pushed, requested}) {
            freshness.onConfirmed(now);
            assertTrue(freshness.isReliable(now + RELIABLE_NS - 1));
            assertFalse(freshness.isReliable(now + RELIABLE_NS));
        }
    }
}
