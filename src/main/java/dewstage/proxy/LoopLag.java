package dewstage.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Detects stalls of the event loop, as when the process is suspended or short of CPU time. Data read right
 * after a stall may have arrived at any time since the stall began, so a request whose timeout ran from the
 * read would be answered too late by the length of the stall. Requests that did arrive only after it are
 * given less time than their clients allow.
 */
final class LoopLag {
    /** Interval between heartbeats of the loop; a gap of more than twice this is a stall. */
    static final long HEARTBEAT_INTERVAL_NS = 50_000_000L;
    /** Time in which a past stall decays to 1/e, about a third; its cause seldom leads to only one stall. */
    static final long STALL_DECAY_NS = 10_000_000_000L;

    private long heartbeatAt;
    private long stallStartedAt;
    private long stallEffectEndsAt;
    private long longestStallNs;
    private long longestStallAt;

    void heartbeat(long now) {
        if (isStalled(now)) {
            stallStartedAt = heartbeatAt;
            // New connections are accepted first and read later; all that waited is read within an interval.
            stallEffectEndsAt = now + HEARTBEAT_INTERVAL_NS;
            longestStallNs = expectedStallNs(now);
            longestStallAt = now;
            Log.line("event loop stalled for " + TimeUnit.NANOSECONDS.toMillis(now - heartbeatAt) + " ms");
        }
        heartbeatAt = now;
    }

    /** Returns the earliest time at which data that is read now may have arrived. */
    long earliestArrival(long now) {
        if (isStalled(now)) {
            return heartbeatAt;
        }
        return now < stallEffectEndsAt ? stallStartedAt : now;
    }

    /** Returns the stall to allow for: the longest recent one, decayed by its age; 0 if there was none. */
    long expectedStallNs(long now) {
        long decayedNs = (long) (longestStallNs * Math.exp((longestStallAt - now) / (double) STALL_DECAY_NS));
        return isStalled(now) ? Math.max(decayedNs, now - heartbeatAt) : decayedNs;
    }

    private boolean isStalled(long now) {
        return heartbeatAt != 0 && now - heartbeatAt > 2 * HEARTBEAT_INTERVAL_NS;
    }
}
