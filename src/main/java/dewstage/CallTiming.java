package dewstage;

import java.util.concurrent.TimeUnit;

/**
 * Decides the timeout of a call to discovery, and the back-off after a refused call while the proxy cannot
 * rely on its list. Discovery processes calls in order and spends as much on a call that was abandoned or
 * refused, so a fleet that retries at once keeps the queue filled with its own calls. The timeout is
 * therefore far longer than any queueing time seen so far. Only if discovery is known to refuse calls after a
 * certain time is it shorter: a call that is not refused by then is lost.
 */
public final class CallTiming {
    /**
     * Timeout before the first answer or refusal: longer than the queue that one call of each proxy makes.
     */
    static final long INITIAL_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(20);
    /** Lower limit of a timeout that follows from a refusal. */
    static final long MIN_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(2200);
    static final long MAX_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(80);
    /** A call refused sooner was not queued, so it does not show how long discovery lets calls wait. */
    static final long MIN_QUEUED_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Timeout as a multiple of the longest wait that ended in a refusal. */
    private static final long REFUSED_MULTIPLE = 2;
    /** Timeout as a multiple of the longest wait that ended in an answer. */
    private static final long ANSWERED_MULTIPLE = 3;

    /**
     * Lower limit of the back-off: the queue was longer than the timeout of discovery. A random part is added
     * from a range that grows with each refusal in a row, until the fleet sends fewer calls than discovery
     * can process.
     */
    static final long MIN_BACKOFF_NS = TimeUnit.SECONDS.toNanos(2);
    /** Range of the random part after the first refusal. */
    static final long INITIAL_BACKOFF_RANGE_NS = TimeUnit.SECONDS.toNanos(6);
    /** Range of the back-off, without a lower limit, while the proxy still relies on its list. */
    static final long RELYING_BACKOFF_RANGE_NS = TimeUnit.SECONDS.toNanos(2);
    static final long MAX_BACKOFF_RANGE_NS = TimeUnit.SECONDS.toNanos(16);
    /** Factor by which the range grows with each refusal. */
    private static final double BACKOFF_RANGE_GROWTH = 1.4;

    private double backoffRangeNs = INITIAL_BACKOFF_RANGE_NS;
    private long longestRefusedNs;
    private long longestAnsweredNs;
    /** Number of timeouts since the last answer. */
    private int timeouts;

    /** Returns the timeout of the next call; it doubles with each of the first two timeouts in a row. */
    public long timeoutNs() {
        long baseNs = longestRefusedNs > 0
                ? Math.max(MIN_TIMEOUT_NS, REFUSED_MULTIPLE * longestRefusedNs)
                : Math.max(INITIAL_TIMEOUT_NS, ANSWERED_MULTIPLE * longestAnsweredNs);
        return Math.min(MAX_TIMEOUT_NS, baseNs << Math.min(timeouts, 2));
    }

    /** Records a call that was answered after a given wait. */
    public void onAnswered(long waitedNs) {
        longestAnsweredNs = Math.max(longestAnsweredNs, waitedNs);
        timeouts = 0;
        backoffRangeNs = INITIAL_BACKOFF_RANGE_NS;
        if (waitedNs > REFUSED_MULTIPLE * longestRefusedNs) {
            longestRefusedNs = 0; // discovery no longer refuses calls after that time
        }
    }

    /** Records a call that discovery refused after a given wait. */
    public void onRefused(long waitedNs) {
        if (wasQueued(waitedNs)) {
            longestRefusedNs = Math.max(longestRefusedNs, waitedNs);
        }
    }

    /**
     * Returns the minimum delay before the call that follows a queued and refused one.
     *
     * @param isRelying whether requests are still sent according to the list, which then has to be confirmed
     *     within seconds
     * @param fraction position within the range of the back-off, from 0 to 1
     */
    public long retryDelayNs(boolean isRelying, double fraction) {
        if (isRelying) {
            return (long) (RELYING_BACKOFF_RANGE_NS * fraction);
        }
        long delayNs = MIN_BACKOFF_NS + (long) (backoffRangeNs * fraction);
        backoffRangeNs = Math.min(MAX_BACKOFF_RANGE_NS, backoffRangeNs * BACKOFF_RANGE_GROWTH);
        return delayNs;
    }

    /** Returns whether a call that ended after a given wait was queued, rather than rejected at once. */
    public static boolean wasQueued(long waitedNs) {
        return waitedNs >= MIN_QUEUED_NS;
    }

    /** Records a call that reached its timeout. */
    public void onTimedOut() {
        timeouts++;
    }
}
