package dewstage.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Notices when the event loop stood still, stopped by the system or short of a core, and remembers how long.
 * What is read right after a stall may have come at any time since its start: a request counted from its
 * reading would be answered by so much too late. Hurts only what has just come then: it has less time than
 * its client gave it.
 */
final class LoopLag {
    /** The loop's own heartbeat; with none for twice as long it stood still. */
    static final long BEAT_NS = 50_000_000L;
    /** A stall is forgotten to a third within so long: whatever causes one seldom causes one only. */
    static final long MEMORY_NS = 10_000_000_000L;

    private long beatAt;
    private long since;
    private long until;
    private long longest;
    private long longestAt;

    void beat(long now) {
        if (stalled(now)) {
            since = beatAt;
            // New connections are accepted first and read after: all that waited is taken in within a beat.
            until = now + BEAT_NS;
            longest = longest(now);
            longestAt = now;
            Log.line("stood still for " + TimeUnit.NANOSECONDS.toMillis(now - beatAt) + " ms");
        }
        beatAt = now;
    }

    /** The earliest time at which what is read now may have come. */
    long earliestArrival(long now) {
        if (stalled(now)) {
            return beatAt;
        }
        return now < until ? since : now;
    }

    /** The stall to reckon with, in ns: the longest seen lately, less the longer it is ago; 0 if none was. */
    long longest(long now) {
        long seen = (long) (longest * Math.exp((longestAt - now) / (double) MEMORY_NS));
        return stalled(now) ? Math.max(seen, now - beatAt) : seen;
    }

    private boolean stalled(long now) {
        return beatAt != 0 && now - beatAt > 2 * BEAT_NS;
    }
}
