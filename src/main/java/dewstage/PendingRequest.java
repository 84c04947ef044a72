package dewstage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * State of a request from its arrival until its last attempt has completed, even if the client has its answer
 * earlier. The decisions are in {@link Policy}.
 */
final class PendingRequest {
    final Balancer.Request request;
    final Balancer.Profile profile;
    /** Until when an answer counts as in time: end of the promise, or of the client's patience, in ns. */
    final long targetAtNs;
    /** When the client gives up, in ns. */
    final long deadlineNs;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Number of attempts in flight. */
    int inFlight;
    /** Whether the client has its final answer or has left. */
    boolean isFinished;
    /** Whether a streamed answer has begun. */
    boolean hasStreamBegun;
    /** Whether the request was ever queued for lack of capacity. */
    boolean hasWaited;
    /** The queue of its key; null if the request may run in any order. */
    KeyQueue keyQueue;

    PendingRequest(Balancer.Request request, Balancer.Profile profile, long targetAtNs, long deadlineNs) {
        this.request = request;
        this.profile = profile;
        this.targetAtNs = targetAtNs;
        this.deadlineNs = deadlineNs;
    }

    /** One attempt of a request. */
    static final class Attempt {
        final Server sentTo;
        /** Load of the server when the attempt was sent. */
        final double loadAhead;
        final long sentAtNs;
        /** Status at completion; null while the attempt is in flight. */
        Balancer.Status endStatus;

        Attempt(Server sentTo, double loadAhead, long sentAtNs) {
            this.sentTo = sentTo;
            this.loadAhead = loadAhead;
            this.sentAtNs = sentAtNs;
        }
    }

    /** The requests of one sequential key, in order of arrival. */
    static final class KeyQueue {
        final Deque<PendingRequest> requests = new ArrayDeque<>();
        /** End of the cool-down after an attempt that may still be running, in ns. */
        long coolDownUntilNs;
    }
}
