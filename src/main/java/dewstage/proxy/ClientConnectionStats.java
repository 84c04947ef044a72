package dewstage.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Counts client connections that are rejected or evicted because all slots are taken. Without these counts,
 * clients that are disconnected before their first byte is read would leave no trace.
 */
final class ClientConnectionStats {
    int accepted;
    /** Closed on accept: the connections in all slots had a request open. */
    int rejected;
    int acceptedRequests;
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

    /** Logs one line if slots ran out since the last call, and resets all counts. */
    void logAndReset() {
        if (rejected + evictedUnused + evictedIdle > 0) {
            String minUnusedAge = evictedUnused == 0 ? ""
                    : ", the youngest after " + TimeUnit.NANOSECONDS.toMillis(minUnusedAgeNs) + " ms";
            Log.line("client connection limit reached: of " + accepted + " accepted, " + rejected
                    + " closed immediately; evicted: " + evictedUnused + " without a request" + minUnusedAge
                    + ", " + evictedIdle + " idle; requests accepted: " + acceptedRequests);
        }
        accepted = 0;
        rejected = 0;
        acceptedRequests = 0;
        evictedUnused = 0;
        evictedIdle = 0;
        minUnusedAgeNs = Long.MAX_VALUE;
    }
}
