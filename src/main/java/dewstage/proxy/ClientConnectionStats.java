package dewstage.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Counts client connections that are rejected or evicted because all slots are taken, and requests that are
 * refused for lack of memory. Without these counts, clients that are disconnected before their first byte is
 * read would leave no trace.
 */
final class ClientConnectionStats {
    int accepted;
    /** Closed on accept: the connections in all slots had a request open. */
    int rejected;
    int acceptedRequests;
    /** Refused because the memory for requests was used up: requests that were not complete, and others. */
    int refusedPartialRequests;
    int refusedRequests;
    private int evictedUnused;
    private int evictedIdle;
    private long minUnusedAgeNs = Long.MAX_VALUE;

    /** Counts a connection that was closed to free its slot. */
    void recordEviction(ClientConnection client, long now) {
        if (client.isUsed()) {
            evictedIdle++;
        } else {
            evictedUnused++;
            minUnusedAgeNs = Math.min(minUnusedAgeNs, now - client.connectedAt);
        }
    }

    /** Logs one line for each limit that was reached since the last call, and resets all counts. */
    void logAndReset() {
        if (rejected + evictedUnused + evictedIdle > 0) {
            String minUnusedAge = evictedUnused == 0 ? ""
                    : ", the youngest after " + TimeUnit.NANOSECONDS.toMillis(minUnusedAgeNs) + " ms";
            Log.line("client connection limit reached: of " + accepted + " accepted, " + rejected
                    + " closed immediately; evicted: " + evictedUnused + " without a request" + minUnusedAge
                    + ", " + evictedIdle + " idle; requests accepted: " + acceptedRequests);
        }
        if (refusedPartialRequests + refusedRequests > 0) {
            Log.line("request memory limit reached: refused " + refusedPartialRequests + " partial and "
                    + refusedRequests + " complete requests; requests accepted: " + acceptedRequests);
        }
        accepted = 0;
        refusedPartialRequests = 0;
        refusedRequests = 0;
        rejected = 0;
        acceptedRequests = 0;
        evictedUnused = 0;
        evictedIdle = 0;
        minUnusedAgeNs = Long.MAX_VALUE;
    }
}
