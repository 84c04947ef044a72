package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The assumed arrival time of a request, and the stall to allow for. */
class LoopLagTest {
    /** Start of the virtual clock in nanoseconds. */
    private static final long START = 1_000_000_000_000L;
    private static final long STALL_NS = 600_000_000L;
    private final LoopLag lag = new LoopLag();

    @Test
    void withoutAStallTheArrivalIsTheTimeOfTheRead() {
        assertEquals(START, lag.earliestArrival(START)); // no heartbeat yet, so no stall is known
        lag.heartbeat(START);
        long laterHeartbeatAt = START + 2 * LoopLag.HEARTBEAT_INTERVAL_NS;
        assertEquals(laterHeartbeatAt, lag.earliestArrival(laterHeartbeatAt));
        lag.heartbeat(laterHeartbeatAt);
        assertEquals(laterHeartbeatAt + 1, lag.earliestArrival(laterHeartbeatAt + 1));
    }

    @Test
    void afterAStallTheArrivalIsTheStartOfTheStall() {
        lag.heartbeat(START);
        assertEquals(START, lag.earliestArrival(START + STALL_NS)); // read before the overdue heartbeat
        lag.heartbeat(START + STALL_NS);
        // connections are accepted first and read later
        assertEquals(START, lag.earliestArrival(START + STALL_NS + LoopLag.HEARTBEAT_INTERVAL_NS - 1));
        long stallEffectEndsAt = START + STALL_NS + LoopLag.HEARTBEAT_INTERVAL_NS;
        assertEquals(stallEffectEndsAt, lag.earliestArrival(stallEffectEndsAt));
    }

    @Test
    void secondStallCountsFromItsOwnStart() {
        lag.heartbeat(START);
        lag.heartbeat(START + STALL_NS);
        assertEquals(START + STALL_NS, lag.earliestArrival(START + 2 * STALL_NS));
    }

    @Test
    void withoutAStallNoneIsExpected() {
        lag.heartbeat(START);
        lag.heartbeat(START + LoopLag.HEARTBEAT_INTERVAL_NS);
        assertEquals(0, lag.expectedStallNs(START + 2 * LoopLag.HEARTBEAT_INTERVAL_NS));
    }

    @Test
    void longestStallIsExpectedAndDecaysOverTime() {
        lag.heartbeat(START);
        long stallEndsAt = START + STALL_NS;
        assertEquals(STALL_NS, lag.expectedStallNs(stallEndsAt)); // also before the overdue heartbeat
        lag.heartbeat(stallEndsAt);
        assertEquals(STALL_NS, lag.expectedStallNs(stallEndsAt));
        long nextEnd = stallEndsAt + STALL_NS / 2;
        lag.heartbeat(nextEnd); // a shorter stall does not replace a longer one
        assertTrue(lag.expectedStallNs(nextEnd) > 0.9 * STALL_NS, lag.expectedStallNs(nextEnd) + " ns");

        for (long heartbeatAt = nextEnd; heartbeatAt <= stallEndsAt + LoopLag.STALL_DECAY_NS;
                heartbeatAt += LoopLag.HEARTBEAT_INTERVAL_NS) {
            lag.heartbeat(heartbeatAt);
        }
        assertEquals(STALL_NS / Math.E, lag.expectedStallNs(stallEndsAt + LoopLag.STALL_DECAY_NS),
                0.05 * STALL_NS);
    }
}
