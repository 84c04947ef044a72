package dewstage.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The end of a proxy's service: it stops accepting, answers every request that a client has sent or is
 * sending, and completes once it has closed its side of every connection. A request that is sent to a
 * connection which the proxy has not closed must be answered.
 */
final class Drain {
    /** Time from the start to the close of the listener; clients keep connecting for up to 0.4 s. */
    private static final long ACCEPT_MS = 550;
    /**
     * Time after the last response within which clients have read it, which they show by closing. Connections
     * that are open when the process exits may be reset.
     */
    private static final long RESPONSE_SLACK_NS = 100_000_000L;
    private static final long POLL_INTERVAL_MS = 10;
    /** A process may be killed this long after the longest timeout of requests has passed. */
    private static final long KILL_DELAY_NS = 700_000_000L;
    /** A longer timeout does not delay the kill any further. */
    private static final long MAX_TIMEOUT_NS = 3_000_000_000L;
    /** The last responses are due this long before the kill: the slack above, and a stall of the loop. */
    private static final long KILL_MARGIN_NS = RESPONSE_SLACK_NS + 150_000_000L;

    /** What the drain asks of the proxy. */
    interface Requests {
        /** Whether a request has been accepted and not answered. */
        boolean areOpen();
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Frontend frontend;
    private final Requests requests;
    /** Longest time from the start of the drain to the last responses. */
    private final long maxDurationNs;
    private final CompletableFuture<Void> completed = new CompletableFuture<>();
    private boolean isStarted;
    private long startedAt;

    /**
     * Prepares a drain; {@link #start} begins it.
     *
     * @param longestTimeoutNs the longest timeout of the clients' requests
     */
    Drain(EventLoop loop, Clock clock, Frontend frontend, Requests requests, long longestTimeoutNs) {
        this.loop = loop;
        this.clock = clock;
        this.frontend = frontend;
        this.requests = requests;
        this.maxDurationNs = Math.min(longestTimeoutNs, MAX_TIMEOUT_NS) + KILL_DELAY_NS - KILL_MARGIN_NS;
    }

    /**
     * Begins the drain; may be called by any thread. The future completes once every request is answered.
     */
    CompletableFuture<Void> start() {
        loop.execute(() -> {
            if (isStarted) {
                return;
            }
            isStarted = true;
            startedAt = clock.now();
            Log.line("draining");
            frontend.drain();
            loop.schedule(this::stopAccepting, ACCEPT_MS, TimeUnit.MILLISECONDS);
        });
        return completed;
    }

    private void stopAccepting() {
        PeriodicTasks.schedule(loop, "drain", this::completeIfDone, 0, POLL_INTERVAL_MS);
        frontend.close();
    }

    /**
     * Returns the latest time at which a request that arrives now can be answered. Requests from early in the
     * drain may use all of their timeout, since the kill waits for the longest one.
     */
    long latestDeadline(long now) {
        return isStarted && now - startedAt > KILL_DELAY_NS ? startedAt + maxDurationNs : Long.MAX_VALUE;
    }

    private void completeIfDone() {
        if (completed.isDone()) {
            return;
        }
        frontend.closeIdle();
        long overdueNs = clock.now() - startedAt - maxDurationNs;
        if (overdueNs >= 0) {
            frontend.refusePartialRequests();
        }
        // A client that does not read its response must not delay the exit for good.
        boolean isAnswered = !requests.areOpen()
                && (frontend.hasEndedAll() || overdueNs >= RESPONSE_SLACK_NS);
        boolean isRead = frontend.openConnections() == 0
                || clock.now() - frontend.lastResponseAt() >= RESPONSE_SLACK_NS;
        if (isAnswered && isRead) {
            Log.line("drained");
            completed.complete(null);
        }
    }
}
