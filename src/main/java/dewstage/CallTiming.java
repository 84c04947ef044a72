package dewstage;

import java.util.concurrent.TimeUnit;

/**
 * Decides how long a call to discovery waits for its answer, and how long a proxy that cannot rely on its
 * list pauses behind a refusal. Discovery works through calls in turn, and spends as much on one that was
 * given up or refused: a fleet that calls again at once fills the queue with calls of its own for ever. So a
 * call waits far longer than any queue that is known, unless discovery is known to refuse calls that waited
 * for long: then one that is not refused in that time is lost.
 */
public final class CallTiming {
    /** With nothing known: over the longest queue that is expected of one call of each proxy. */
    static final long FIRST_NS = TimeUnit.SECONDS.toNanos(20);
    /** The shortest and the longest wait. */
    static final long LEAST_NS = TimeUnit.MILLISECONDS.toNanos(2200);
    static final long MOST_NS = TimeUnit.SECONDS.toNanos(80);
    /** A refusal that came sooner is no sign of how long discovery lets calls wait. */
    static final long WAITED_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** So many times the wait that ended in a refusal or, at the longest, in an answer. */
    private static final long REFUSED_TIMES = 2, ANSWERED_TIMES = 3;

    /**
     * The pause behind a refused call: the line was longer than the wait, so it is at least so long, and the
     * rest is drawn from a range that grows with each refusal in a row, until the fleet calls less than
     * discovery does.
     */
    static final long PAUSE_LEAST_NS = TimeUnit.SECONDS.toNanos(2);
    static final long PAUSE_FIRST_NS = TimeUnit.SECONDS.toNanos(6);
    static final long PAUSE_RELYING_NS = TimeUnit.SECONDS.toNanos(2);
    static final long PAUSE_MOST_NS = TimeUnit.SECONDS.toNanos(16);
    private static final double PAUSE_GROWTH = 1.4;

    private double pauseRangeNs = PAUSE_FIRST_NS;
    private long longestRefused;
    private long longestAnswered;
    private int givenUp;

    /** How long the next call waits. */
    public long waitNs() {
        long usual = longestRefused > 0
                ? Math.max(LEAST_NS, REFUSED_TIMES * longestRefused)
                : Math.max(FIRST_NS, ANSWERED_TIMES * longestAnswered);
        return Math.min(MOST_NS, usual << Math.min(givenUp, 2));
    }

    /** A call was answered after so long. */
    public void answered(long waitedNs) {
        longestAnswered = Math.max(longestAnswered, waitedNs);
        givenUp = 0;
        pauseRangeNs = PAUSE_FIRST_NS;
        if (waitedNs > REFUSED_TIMES * longestRefused) {
            longestRefused = 0; // no such limit holds any more
        }
    }

    /** Discovery refused a call after so long. */
    public void refused(long waitedNs) {
        if (waited(waitedNs)) {
            longestRefused = Math.max(longestRefused, waitedNs);
        }
    }

    /**
     * The least pause behind a refused call that had waited.
     *
     * @param relying whether requests are still sent by the list: then it has to be confirmed within seconds
     * @param share from 0 to 1, places the pause within its range
     */
    public long pauseNs(boolean relying, double share) {
        if (relying) {
            return (long) (PAUSE_RELYING_NS * share);
        }
        long pause = PAUSE_LEAST_NS + (long) (pauseRangeNs * share);
        pauseRangeNs = Math.min(PAUSE_MOST_NS, pauseRangeNs * PAUSE_GROWTH);
        return pause;
    }

    /** Did a call that ended after so long wait in line, and was not turned away at once? */
    public static boolean waited(long waitedNs) {
        return waitedNs >= WAITED_NS;
    }

    /** A call was given up at the end of its wait. */
    public void givenUp() {
        givenUp++;
    }
}
