package dewstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.ListKind;
import dewstage.Balancer.Profile;
import dewstage.Balancer.State;
import dewstage.Balancer.Status;
import org.junit.jupiter.api.Test;

/**
 * Tests the optional guarantees: requests of a sequential class run in order of their key, and FULL does not
 * prove that an attempt never ran.
 */
class OrderTest {
    private static Rig newStrictRig(Profile... profiles) {
        return new Rig(Rig.strictSettings(profiles)).updateMembers(ListKind.FULL, Rig.readyMembers(6));
    }

    // ---- FULL does not prove that an attempt never ran ----

    @Test
    void atMostOnceRequestIsFailedAfterFullWhereFullIsNoProof() {
        Rig rig = newStrictRig(Rig.AT_MOST_ONCE_PROFILE);
        int ticket = rig.request();
        rig.advance(5).complete(ticket, 0, Status.FULL, 5, null);
        assertEquals(1, rig.attemptCount(ticket));
        assertEquals("failed", rig.answers.get(ticket));
    }

    @Test
    void deduplicatedRequestStaysInItsZoneAfterFullWhereFullIsNoProof() {
        Rig rig = new Rig(Rig.strictSettings(Rig.ZONE_DEDUPLICATED_PROFILE))
                .updateMembers(ListKind.FULL, Rig.member(1, 0, State.READY),
                        Rig.member(2, 1, State.READY), Rig.member(3, 1, State.READY));
        int ticket = rig.request();
        assertEquals(1, rig.server(ticket, 0));
        rig.advance(5).complete(ticket, 0, Status.FULL, 5, null);
        assertEquals(1, rig.attemptCount(ticket), "no other server of its zone");
        assertEquals("failed", rig.answers.get(ticket));
    }

    @Test
    void atMostOnceRequestIsRetriedAfterAConnectFailureWhereFullIsNoProof() {
        Rig rig = newStrictRig(Rig.AT_MOST_ONCE_PROFILE);
        int ticket = rig.request();
        rig.advance(5).complete(ticket, 0, Status.CONNECT_FAILED, 5, null);
        assertEquals(2, rig.attemptCount(ticket));
    }

    @Test
    void atMostOnceRequestIsRetriedAfterFullWhereFullIsProof() {
        Rig rig = new Rig(Rig.settings(false, Rig.AT_MOST_ONCE_PROFILE))
                .updateMembers(ListKind.FULL, Rig.readyMembers(6));
        int ticket = rig.request();
        rig.advance(5).complete(ticket, 0, Status.FULL, 5, null);
        assertEquals(2, rig.attemptCount(ticket));
    }

    // ---- order of the requests of a key ----

    @Test
    void requestsOfOneKeyRunOneAtATimeAcrossSequentialClasses() {
        Rig rig = newStrictRig(Rig.SEQUENTIAL_AT_MOST_ONCE_PROFILE, Rig.SEQUENTIAL_IDEMPOTENT_PROFILE,
                Rig.IDEMPOTENT_PROFILE);
        int first = rig.request(0, 1000, 42);
        int second = rig.request(1, 1000, 42);
        int third = rig.request(0, 1000, 42);
        int notSequential = rig.request(2, 1000, 42);
        assertEquals(1, rig.attemptCount(first));
        assertEquals(0, rig.attemptCount(second) + rig.attemptCount(third));
        assertEquals(1, rig.attemptCount(notSequential), "a class that is not sequential");
        rig.advance(20).completeOk(first, 20);
        assertEquals(1, rig.attemptCount(second));
        assertEquals(0, rig.attemptCount(third));
        rig.advance(20).completeOk(second, 20);
        assertEquals(1, rig.attemptCount(third));
    }

    @Test
    void requestsOfOtherKeysAndWithoutAKeyRunConcurrently() {
        Rig rig = newStrictRig(Rig.SEQUENTIAL_AT_MOST_ONCE_PROFILE);
        int[] tickets = {rig.request(0, 1000, 1), rig.request(0, 1000, 2), rig.request(), rig.request()};
        for (int ticket : tickets) {
            assertEquals(1, rig.attemptCount(ticket));
        }
    }

    @Test
    void keysDoNotDelayRequestsOfAClassThatIsNotSequential() {
        Rig rig = newStrictRig(Rig.AT_MOST_ONCE_PROFILE);
        assertEquals(2, rig.attemptCount(rig.request(0, 1000, 42))
                + rig.attemptCount(rig.request(0, 1000, 42)));
    }

    @Test
    void keyCoolsDownAfterAnAttemptThatMayStillBeRunning() {
        for (Status status : new Status[] {Status.TIMEOUT, Status.RESET, Status.CANCELLED}) {
            Rig rig = newStrictRig(Rig.SEQUENTIAL_AT_MOST_ONCE_PROFILE);
            int first = rig.request(0, 900, 42);
            int second = rig.request(0, 2000, 42);
            rig.advance(10).complete(first, 0, status, 10, null);
            assertEquals("failed", rig.answers.get(first));
            int third = rig.request(0, 2000, 42);
            rig.advance(280);
            assertEquals(0, rig.attemptCount(second) + rig.attemptCount(third),
                    status + ": sent during the cool-down");
        }
    }

    @Test
    void nextRequestOfTheKeyRunsAfterTheCoolDown() {
        Rig rig = newStrictRig(Rig.SEQUENTIAL_AT_MOST_ONCE_PROFILE);
        int first = rig.request(0, 900, 42);
        rig.advance(10).complete(first, 0, Status.RESET, 10, null);
        rig.advance(200);
        int second = rig.request(0, 900, 42);
        assertEquals(0, rig.attemptCount(second));
        rig.advance(125);
        assertEquals(1, rig.attemptCount(second));
    }

    @Test
    void requestAtTheHeadOfItsKeyIsRetriedWithoutACoolDown() {
        Rig rig = newStrictRig(Rig.SEQUENTIAL_IDEMPOTENT_PROFILE);
        int ticket = rig.request(0, 900, 42);
        rig.advance(10).complete(ticket, 0, Status.RESET, 10, null);
        assertEquals(2, rig.attemptCount(ticket));
    }

    @Test
    void attemptInFlightAfterWithdrawalBlocksItsKey() {
        Rig rig = newStrictRig(Rig.SEQUENTIAL_AT_MOST_ONCE_PROFILE);
        int first = rig.request(0, 900, 42);
        int second = rig.request(0, 2000, 42);
        rig.policy.onWithdrawn(rig.now, first);
        rig.answers.put(first, "left");
        rig.advance(40);
        assertEquals(0, rig.attemptCount(second));
        rig.complete(first, 0, Status.OK, 40, null);
        assertEquals(1, rig.attemptCount(second));
    }

    @Test
    void requestThatExpiresBehindItsKeyIsRefusedAndSkipped() {
        Rig rig = newStrictRig(Rig.SEQUENTIAL_AT_MOST_ONCE_PROFILE);
        int first = rig.request(0, 2000, 42);
        int shortDeadline = rig.request(0, 90, 42);
        int third = rig.request(0, 2000, 42);
        rig.advance(90);
        assertEquals("refused", rig.answers.get(shortDeadline));
        rig.completeOk(first, 90);
        assertEquals(0, rig.attemptCount(shortDeadline));
        assertEquals(1, rig.attemptCount(third));
    }

    @Test
    void keysAreRemovedAfterTheirCoolDown() throws ReflectiveOperationException {
        Rig rig = newStrictRig(Rig.SEQUENTIAL_AT_MOST_ONCE_PROFILE);
        for (int key = 1; key <= 500; key++) {
            int ticket = rig.request(0, 900, key);
            if (rig.attemptCount(ticket) > 0) {
                rig.advance(5).complete(ticket, 0, key % 2 == 0 ? Status.OK : Status.RESET, 5, null);
            }
        }
        rig.advance(400).request(0, 900, 1);
        var keyQueuesField = Policy.class.getDeclaredField("keyQueues");
        keyQueuesField.setAccessible(true);
        int size = ((java.util.Map<?, ?>) keyQueuesField.get(rig.policy)).size();
        assertTrue(size <= 60, size + " keys remain");
    }
}
