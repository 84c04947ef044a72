package dewstage;

import java.util.List;

/**
 * The whole interface of the decision module: its settings, the events that it receives and the actions that
 * it may take. One instance serves one proxy. It has no thread, clock or I/O of its own; the host calls it
 * from one thread at a time and passes the time of a monotonic clock, in ns from any origin. Tickets and
 * server ids are opaque 32-bit values; negative ones are as valid as positive ones.
 */
public interface Balancer {

    /** Whether a request of a class may run twice. */
    enum Effect { IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE }

    /** The servers among which a repeat of a DEDUPLICATED request is dropped. */
    enum Scope { ALL, ZONE, CELL }

    /** State of a server in the member list. */
    enum State { GONE, READY, DRAINING }

    /** Content of a list event: changes only, a complete list, a cached complete list, or a failed call. */
    enum ListKind { DELTA, FULL, CACHED, FAILED }

    /** Status of a completed attempt. */
    enum Status {
        ERROR(false), OK(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), MOOT(true);

        /** Whether the attempt provably never ran; for FULL, Settings.fullIsNoProof may deny it. */
        public final boolean neverRan;

        Status(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * A class of request. Times are in ns.
     *
     * @param windowNs how long servers in the scope drop a repeat of a DEDUPLICATED request
     * @param promiseNs target for the response time
     * @param giveUpNs time-out of the client
     * @param worth worth of an answer within the promise
     * @param lateShare fraction of the worth that an answer after the promise still has
     * @param sequential requests of all sequential classes with the same key run one at a time, in the order
     *     in which they were accepted
     */
    record Profile(Effect effect, Scope scope, long windowNs, long promiseNs, long giveUpNs, double worth,
            double lateShare, boolean streamed, boolean sequential) {
        /** Returns whether a repeat at any server is harmless even if an earlier attempt may have run. */
        public boolean repeatsAnywhere() {
            return effect == Effect.IDEMPOTENT || effect == Effect.DEDUPLICATED && scope == Scope.ALL;
        }
    }

    /**
     * Settings of the deployment. Times are in ns.
     *
     * @param me index of this proxy among the balancers
     * @param balancers number of proxies
     * @param zone zone of this proxy
     * @param askForList whether the module has to request the member list by the action subscribe
     * @param mayCancel whether attempts may be cancelled
     * @param startCapacity fraction of its capacity that a server has when it starts
     * @param coldNs time from the start of a server until it is warm
     * @param tipMultiple a cold server collapses under more than this multiple of its current capacity
     * @param fallNs period over which that is counted
     * @param askWithinNs if lists are requested, the time after which the proxy counts as notified of a
     *     change
     * @param crossZonePrice cost of sending a request to another zone, as a fraction of an average worth
     * @param fullIsNoProof whether FULL does not prove that an attempt never ran
     * @param turnGapNs cool-down of a key after an attempt that may still be running
     * @param connectTimeoutNs maximum time until an attempt reaches its server
     */
    record Settings(int me, int balancers, int zone, List<Profile> profiles, boolean askForList,
            boolean mayCancel, int maxAttempts, long maxRetryAfterNs, double startCapacity, long coldNs,
            double tipMultiple, long fallNs, long askWithinNs, long stepNs, double crossZonePrice,
            boolean fullIsNoProof, long turnGapNs, long connectTimeoutNs) {
        public Settings {
            profiles = List.copyOf(profiles);
        }
    }

    /** A server of the member list. bootNs is the clock time of its last start, 0 for long ago. */
    record Member(int id, int kind, State state, long bootNs, int cell, int zone, double units) { }

    /** A request; key and hintNs are 0 for none; leftNs is the time until the client gives up. */
    record Request(int ticket, int profile, int tenant, long key, long leftNs, long hintNs,
            boolean repeat) { }

    /** A load report of a server; values that it does not contain are NaN. */
    record Report(double inflight, double queue, double util, double recentMs, double perSecond,
            double errorsPerSecond) { }

    /** Result of an attempt. If over, the request is finished; the report may be null. */
    record Outcome(int ticket, int attempt, int server, Status status, long elapsedNs, boolean over,
            Report report) { }

    /** Creates the balancer of one proxy. */
    interface Factory {
        Balancer create(Settings settings, long seed, long now, Actions actions);
    }

    /** The actions of the module. Each takes effect immediately, in the order of the calls. */
    interface Actions {
        /** Starts an attempt, numbered 0, 1, 2... per ticket; timeoutNs 0 lasts until the client gives up. */
        void send(int ticket, int server, long timeoutNs);

        /** Final answer: refused, a repeat is harmless; a retryInNs of 0 gives no advice when to repeat. */
        void refuse(int ticket, long retryInNs);

        /** Final answer: failed, the request may or may not have had its effect. */
        void fail(int ticket);

        void cancel(int ticket, int attempt);

        void timer(long at, long token);

        void probe(int server);

        /** Closes the idle connections to a server. */
        void closeIdle(int server);

        void tell(int peer, byte[] message);

        void log(String line);

        void subscribe(boolean on);

        /** Requests the complete list once. */
        void reload();
    }

    /** A list event, in the order sent by discovery; members is empty for FAILED. */
    void onMembers(long now, ListKind kind, long version, List<Member> members);

    void onRequest(long now, Request request);

    /** A streamed answer has begun: it goes to the client, and no time-out or deadline applies any more. */
    void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs);

    void onOutcome(long now, Outcome outcome);

    /** The client has left and expects no answer any more. */
    void onWithdrawn(long now, int ticket);

    void onTimer(long now, long token);

    /** The result of a probe; ignored by a module that sends no probes. */
    default void onProbe(long now, int server, Status status, long elapsedNs, Report report) { }

    /** A message from another proxy; ignored by a module that sends none. */
    default void onPeer(long now, int peer, byte[] message) { }
}
