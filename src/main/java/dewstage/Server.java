package dewstage;

/** State that this proxy keeps for one server. The decisions are in {@link Policy}. */
final class Server {
    final int id;
    /** The entry of this server in the current member list. */
    Balancer.Member listEntry;
    /** Zone that the server is listed in; written by {@link Fleet} only. */
    Zone zone;

    /** Estimated service time of one request on the warm, otherwise idle server, in ns. */
    double serviceTimeNs;
    /** Mean service time measured from the answers of this server alone, in ns. */
    double measuredServiceTimeNs;
    /** Number of recent answers behind measuredServiceTimeNs; decays over time. */
    double measuredAnswers;

    /** Smoothed spare capacity from the reports, as a fraction from 0 to 1. */
    double spareFraction = 1;
    /** Weight of this server before the current load is subtracted; derived from spareFraction. */
    double factor;
    /** Credit in the smooth weighted rotation, in requests; negative after a pick. */
    double rotationCredit;
    /** Weight in the last pick: the factor reduced by the load. */
    double weight;

    /** Utilization in the last load report, from 0 to 1. */
    double lastUtilization;
    /** Number of requests in flight (or queued) in the last load report. */
    double lastInFlight;
    /** Smoothed load from other proxies according to the reports, in units of parallelism. */
    double reportedOtherLoad;
    /** Confidence in reportedOtherLoad: 1 after a report, then decays towards 0. */
    double freshness;
    /** Current estimate of the load from other proxies, in units of parallelism. */
    double otherLoad;

    /** Number of requests that the server runs concurrently without slowing them down. */
    double parallelism;
    /** Smoothed reported throughput, in requests per second. */
    double throughput;
    /** Smoothed reported utilization, from 0 to 1; paired with throughput. */
    double utilization;
    /** Throughput in the last load report, in requests per second. */
    double lastThroughput;

    /** Token bucket of the cold budget, in requests. */
    double coldTokens;
    /** Time of the last start of the server, in ns; 0 for long ago. */
    final long bootNs;
    /** When the factor was last computed, in ns. */
    long factorUpdatedAtNs;
    /** When the last successful answer arrived, in ns. */
    long lastAnswerAtNs;
    /** Since when an answer has been awaited: the first send to the idle server or the last answer, in ns. */
    long awaitingSinceNs;
    /** Earliest time of the next trial while the server is ejected, in ns. */
    long nextTrialAtNs;
    /** Delay before the next trial, in ns; doubles with each failed trial. */
    long trialDelayNs;
    /** When coldTokens was last refilled, in ns. */
    long coldTokensUpdatedAtNs;

    /** Attempts of this proxy in flight at the server. */
    int inFlight;
    /** Failed attempts since the last successful one. */
    int consecutiveFailures;

    /** Whether the current member list contains the server. */
    boolean isListed;
    boolean isEjected;
    /** Whether the load reports of the server lack the number of requests in flight. */
    boolean lacksInFlightReport;
    /** Whether the last report still carries weight; if not, the average of the zone replaces otherLoad. */
    boolean hasRecentReport;

    // The fields below index the server in the fleet; only Fleet writes them.

    boolean isInFleet;
    boolean isWarm;
    /** Whether the server has an attempt in flight or is ejected. */
    boolean isInUse;
    /** Position among the ready servers of its zone, ordered by id. */
    int rank;
    /** Value of {@link RankedServers#version()} for which the rank was computed. */
    int rankVersion;
    /** Number of the last member list that contained the server. */
    int lastListNumber;

    Server(Balancer.Member listEntry, double serviceTimeNs, double parallelism, long now) {
        this.id = listEntry.id();
        this.listEntry = listEntry;
        this.bootNs = listEntry.bootNs();
        this.serviceTimeNs = serviceTimeNs;
        this.parallelism = parallelism;
        this.coldTokensUpdatedAtNs = now;
    }

    boolean isReady() {
        return isListed && listEntry.state() == Balancer.State.READY;
    }
}
