package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a request counts as come, and which stall is to be reckoned with. */
class LoopLagTest {
    private static final long START = 1_000_000_000_000L, STALL = 600_000_000L;
    private final LoopLag lag = new LoopLag();

    @Test
    void whatIsReadInTimeCountsFromItsReading() {
        assertEquals(START, lag.earliestArrival(START)); // no beat yet: nothing is known of a stall
        lag.heartbeat(START);
        long late = START + 2 * LoopLag.HEARTBEAT_INTERVAL_NS;
        assertEquals(late, lag.earliestArrival(late));
        lag.heartbeat(late);
        assertEquals(late + 1, lag.earliestArrival(late + 1));
    }

    @Test
    void whatIsReadAfterAStallCountsFromItsStart() {
        lag.heartbeat(START);
        assertEquals(START, lag.earliestArrival(START + STALL)); // read before the beat that is due
        lag.heartbeat(START + STALL);
        // accepted first, read after
        assertEquals(START, lag.earliestArrival(START + STALL + LoopLag.HEARTBEAT_INTERVAL_NS - 1));
        long over = START + STALL + LoopLag.HEARTBEAT_INTERVAL_NS;
        assertEquals(over, lag.earliestArrival(over));
    }

    @Test
    void aStallBehindAnotherCountsFromItsOwnStart() {
        lag.heartbeat(START);
        lag.heartbeat(START + STALL);
        assertEquals(START + STALL, lag.earliestArrival(START + 2 * STALL));
    }

    @Test
    void withNoStallThereIsNoneToReckonWith() {
        lag.heartbeat(START);
        lag.heartbeat(START + LoopLag.HEARTBEAT_INTERVAL_NS);
        assertEquals(0, lag.expectedStallNs(START + 2 * LoopLag.HEARTBEAT_INTERVAL_NS));
    }

    @Test
    void theLongestStallIsReckonedWithAndForgottenOverTime() {
        lag.heartbeat(START);
        long end = START + STALL;
        assertEquals(STALL, lag.expectedStallNs(end)); // also before the beat that is due
        lag.heartbeat(end);
        assertEquals(STALL, lag.expectedStallNs(end));
        long next = end + STALL / 2;
        lag.heartbeat(next); // a shorter one does not hide the longer one
        assertTrue(lag.expectedStallNs(next) > 0.9 * STALL, lag.expectedStallNs(next) + " ns");

        for (long beat = next; beat <= end + LoopLag.STALL_DECAY_NS; beat += LoopLag.HEARTBEAT_INTERVAL_NS) {
            lag.heartbeat(beat);
        }
        assertEquals(STALL / Math.E, lag.expectedStallNs(end + LoopLag.STALL_DECAY_NS), 0.05 * STALL);
    }
}
