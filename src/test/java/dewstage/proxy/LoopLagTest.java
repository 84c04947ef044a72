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
        lag.beat(START);
        long late = START + 2 * LoopLag.BEAT_NS;
        assertEquals(late, lag.earliestArrival(late));
        lag.beat(late);
        assertEquals(late + 1, lag.earliestArrival(late + 1));
    }

    @Test
    void whatIsReadAfterAStallCountsFromItsStart() {
        lag.beat(START);
        assertEquals(START, lag.earliestArrival(START + STALL)); // read before the beat that is due
        lag.beat(START + STALL);
        // accepted first, read after
        assertEquals(START, lag.earliestArrival(START + STALL + LoopLag.BEAT_NS - 1));
        long over = START + STALL + LoopLag.BEAT_NS;
        assertEquals(over, lag.earliestArrival(over));
    }

    @Test
    void aStallBehindAnotherCountsFromItsOwnStart() {
        lag.beat(START);
        lag.beat(START + STALL);
        assertEquals(START + STALL, lag.earliestArrival(START + 2 * STALL));
    }

    @Test
    void withNoStallThereIsNoneToReckonWith() {
        lag.beat(START);
        lag.beat(START + LoopLag.BEAT_NS);
        assertEquals(0, lag.longest(START + 2 * LoopLag.BEAT_NS));
    }

    @Test
    void theLongestStallIsReckonedWithAndForgottenOverTime() {
        lag.beat(START);
        long end = START + STALL;
        assertEquals(STALL, lag.longest(end)); // also before the beat that is due
        lag.beat(end);
        assertEquals(STALL, lag.longest(end));
        long next = end + STALL / 2;
        lag.beat(next); // a shorter one does not hide the longer one
        assertTrue(lag.longest(next) > 0.9 * STALL, lag.longest(next) + " ns");

        for (long beat = next; beat <= end + LoopLag.MEMORY_NS; beat += LoopLag.BEAT_NS) {
            lag.beat(beat);
        }
        assertEquals(STALL / Math.E, lag.longest(end + LoopLag.MEMORY_NS), 0.05 * STALL);
    }
}
