package dewstage;

import dewstage.PendingRequest.Attempt;
import dewstage.PendingRequest.KeyQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All decisions of the module. Its interface (types, events, actions) is in Balancer.java; docs/DESIGN.md
 * is on "[Proposal] X-Backend-Info: backend load/state reporting header for informed load balancing".
 *
 * <p>Normal path: load reports become factors (capacity x spare capacity, low while a server is cold), and
 * requests are distributed by smooth weighted rotation. The weight of a server is its factor, reduced by the
 * load that reports and own attempts in flight show. The exceptions, each documented with its condition at
 * the method: own zone first (pick), subsets (subsetSize), queueing (trySend), zones whose servers are
 * overloaded (updateZoneLoad), ejection and trials (isUnresponsive, eject), cold budget (hasColdBudget),
 * admission (isThrottled, isOverInFlightLimit), requests that are too late (finishIfTooLate), order by key
 * (isNextOfKey), further attempts (retryOrFinish).
 *
 * <p>All times are in ns. The averages decay exponentially; their MEMORY constants are the time constants.
 */
public final class Policy implements Balancer {
    /** Minimum time between two updates of a factor by reports. */
    private static final long FACTOR_UPDATE_INTERVAL_NS = 200_000_000L;
    /** Weight of a new report: averaging over two halves the noise without doubling the delay. */
    private static final double REPORT_GAIN = 0.5;
    /** Lower limit of the spare fraction: a server at 0 would never get the request that updates it. */
    private static final double MIN_SPARE_FRACTION = 0.1;
    /** Maximum number of answers that the service time of a server is averaged over. */
    private static final double SERVICE_TIME_ANSWERS = 10;
    /** Memory of the service time of a server. */
    private static final double SERVICE_TIME_MEMORY_NS = 10e9;
    /** Number of answers that the service time of the kind counts for in that of a server. */
    private static final double KIND_ANSWERS = 4;
    /** Memory of the reports in the average load of a zone, and of the counts of arrivals and outcomes. */
    private static final double LOAD_MEMORY_NS = 2e9;
    /** Memory of the service time of a kind, and of the average load of a zone, which decays towards idle. */
    private static final double KIND_MEMORY_NS = 5e9;
    /** Memory of the shortest response time of a zone: long, because network latency hardly ever changes. */
    private static final double LATENCY_MEMORY_NS = 60e9;
    /**
     * Memory of the reported load from other proxies. It decays towards the average of the zone, not to zero:
     * a server without recent reports is not idle.
     */
    private static final double REPORT_MEMORY_NS = 1e9;
    /** A report of this many requests in flight or more is ignored as implausible. */
    private static final double MAX_REPORTED_IN_FLIGHT = 1000;
    /** Weight of a new report in the throughput and the utilization that parallelism is computed from. */
    private static final double PARALLELISM_GAIN = 0.2;
    /** Failures in a row that eject a server; one or two also happen to a healthy server. */
    private static final int EJECTION_FAILURES = 4;
    /** Maximum ejected fraction of the ready servers: ejecting most of a busy fleet overloads the rest. */
    private static final double MAX_EJECTED_FRACTION = 0.34;
    /** Number of expected gaps between its answers after which a server counts as unresponsive. */
    private static final double UNRESPONSIVE_GAPS = 6;
    /** Fraction of the shortest promise that is added to these gaps. */
    private static final double UNRESPONSIVE_PROMISE_FRACTION = 0.8;
    /** Delay before the first trial of an ejected server; doubles per failed trial, up to 4 times this. */
    private static final long FIRST_TRIAL_DELAY_NS = 500_000_000L;
    /** Fraction of the cold budget to use; the rest covers bursts and peers with a different view. */
    private static final double COLD_BUDGET_FRACTION = 0.6;
    /** Retry budget: further attempts earned by each request. */
    private static final double RETRIES_PER_REQUEST = 0.02;
    /** Maximum number of further attempts that the retry budget saves up. */
    private static final double MAX_RETRY_BUDGET = 5;
    /**
     * Further attempts after a broken connection or a corrupted answer, earned by each request. These
     * failures do not indicate load, and they come in series.
     */
    private static final double RESENDS_PER_REQUEST = 0.3;
    /** Maximum number of these attempts that are saved up. */
    private static final double MAX_RESEND_BUDGET = 10;
    /** A server has capacity while the work ahead takes at most this fraction of the time left. */
    private static final double MAX_WORK_AHEAD_FRACTION = 0.25;
    /** Admission: maximum recent sends per served request while sends are being lost. */
    private static final double MAX_SENDS_PER_SERVED = 1.2;
    /** Admission: minimum number of additional sends, which show whether servers serve again. */
    private static final double MIN_EXTRA_SENDS = 1;
    /** Admission: the limit applies from this number of recently lost sends. */
    private static final double MIN_LOST_TO_THROTTLE = 0.7;
    /** Admission: fraction of the arrivals that may be sent while fewer than that were served. */
    private static final double THROTTLED_SEND_FRACTION = 0.3;
    /** Relative step by which the quantile estimates of response times follow each answer. */
    private static final double QUANTILE_STEP = 0.05;
    /** Quantile of a class's response times that counts as quick: hardly any answer arrives in less time. */
    private static final double QUICK_QUANTILE = 0.1;
    /**
     * An answer counts as lost if it took longer than half the promise and than this multiple of both the
     * median response time and the service time that the server reports.
     */
    private static final double LATE_MULTIPLE = 2;
    /**
     * Attempts that all proxies together may have in flight per capacity unit of the servers while responses
     * are slow; each proxy has an equal share. Far more in flight would keep the servers slow for long.
     */
    private static final double IN_FLIGHT_PER_UNIT = 3;
    /** Minimum share of one proxy in that limit. */
    private static final double MIN_IN_FLIGHT_LIMIT = 4;
    /** Responses are slow if the median takes this many times as long as the quick ones. */
    private static final double SLOW_MULTIPLE = 4;
    /** Minimum number of own-zone servers in the subset, and of proxies whose subset contains a server. */
    private static final double MIN_SUBSET_SIZE = 2;
    /** Number of load reports to receive from each server of the subset during the shortest promise. */
    private static final double REPORTS_PER_PROMISE = 2;
    /**
     * Window size in each zone for a further attempt, and for a request whose subset contains no eligible
     * server. Covers a small fleet whole; in a large one a scan of all servers would cost more than it gains.
     */
    private static final double WIDE_WINDOW = 256;
    /** Freshness below which a report no longer changes any sum. */
    private static final double MIN_FRESHNESS = 1e-30;
    /** Golden ratio less 1: its multiples spread any number of subsets evenly over the servers. */
    private static final double GOLDEN_RATIO = 0.6180339887;
    /** Interval at which queued requests are checked, in addition to the check after each outcome. */
    private static final long WAITING_CHECK_INTERVAL_NS = 20_000_000L;
    /** Memory of the send rate per zone: a rolling release must not shrink the cold budgets that it needs. */
    private static final double SEND_RATE_MEMORY_NS = 15e9;
    /** Minimum time that the send rate is computed over after a start of this proxy. */
    private static final double MIN_SEND_RATE_PERIOD_NS = 1e9;
    /** Minimum interval between two decays of the averages. */
    private static final long DECAY_INTERVAL_NS = 50_000_000L;
    /** Delay before the first repeat of a failed call to discovery; doubles up to 4 times this. */
    private static final long FIRST_CALL_RETRY_NS = 250_000_000L;
    /**
     * Time for which one call occupies discovery, which answers about five per second. A discovery that
     * serves a large fleet is quicker, so the two limits below hold however many proxies there are.
     */
    private static final long CALL_COST_NS = 200_000_000L;
    /**
     * Maximum time over which the calls of all proxies are spread: 6 s after discovery can be reached, a
     * proxy counts as notified of its changes.
     */
    private static final long MAX_CALL_SPREAD_NS = 2_000_000_000L;
    /** Maximum of the same time as a fraction of the time for asking (settings key ask_within_ns). */
    private static final double CALL_SPREAD_FRACTION = 0.2;

    /** Interval of the proxy's heartbeat; without any event for twice this, the proxy was paused. */
    private static final long HEARTBEAT_INTERVAL_NS = 50_000_000L;

    /** Timer token of the check of queued requests; lower tokens are the numbers of calls to discovery. */
    private static final long WAITING_TOKEN = 1L << 32;
    /** Timer token of the heartbeat. */
    private static final long HEARTBEAT_TOKEN = WAITING_TOKEN + 1;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final Fleet fleet;
    /** Servers with hasRecentReport: a recent start counts as a report. */
    private final List<Server> recentlyReported = new ArrayList<>();
    private final IntMap<PendingRequest> pendingByTicket = new IntMap<>();
    private final Map<Long, KeyQueue> keyQueues = new HashMap<>();
    /** Queued requests in descending order of worth; of equal worth the newest first. */
    private final List<PendingRequest> waiting = new ArrayList<>();
    private final Map<Integer, Kind> kinds = new HashMap<>();
    private final Zone ownZone;
    private final Candidates ownCandidates = new Candidates();
    private final Candidates otherCandidates = new Candidates();
    /** Estimated median response time by class, in ns; 0 before the first answer. */
    private final double[] medianResponseNs;
    /** Estimated QUICK_QUANTILE of the response time by class, in ns; 0 before the first answer. */
    private final double[] quickResponseNs;
    /** Longest time until the client gives up with which a request has arrived, by class, in ns. */
    private final long[] maxTimeLeftNs;
    private final double meanWorth;
    /** The shortest promise of all classes. */
    private final long minPromiseNs;
    /** Decayed number of requests that arrived. */
    private double recentArrivals;
    /** Decayed number of attempts sent, without those whose failure does not indicate load. */
    private double recentSends;
    /** Decayed number of attempts served in time. */
    private double recentServed;
    /** Decayed number of attempts lost to load: rejected, timed out, cancelled or far too late. */
    private double recentLost;
    /** Average parallelism of the servers. */
    private double meanParallelism = 1;
    /** Shortest service time of the candidates of the last pick; MAX_VALUE if there were none. */
    private double minServiceTimeNs;
    /** Further attempts that the retry budget allows now. */
    private double retryBudget = MAX_RETRY_BUDGET / 2;
    /** Further attempts after broken connections that are allowed now. */
    private double resendBudget = MAX_RESEND_BUDGET / 2;
    private final long startedAtNs;
    /** When the averages last decayed. */
    private long decayedAtNs;
    /** When the last outcome, request or timer arrived. */
    private long lastEventAtNs;
    /** When this proxy last resumed after a pause. */
    private long resumedAtNs = Long.MIN_VALUE;
    private long callRetryDelayNs = FIRST_CALL_RETRY_NS;
    /** Attempts that this proxy may have in flight while responses are slow. */
    private double inFlightLimit = Double.MAX_VALUE;
    /** Attempts of this proxy in flight at all servers. */
    private int totalInFlight;
    /** Number of the current call to discovery, and token of its timer. */
    private int callNumber;
    /** Class of the last request that found no server with capacity. */
    private Profile profileWithoutCapacity;
    private boolean isWaitingTimerArmed;

    /** Estimates for one kind of server. */
    private final class Kind {
        /** Service time of a warm server; the initial value is soon replaced by measurements. */
        double serviceTimeNs = minPromiseNs / 6.0;
        long lastAnswerAtNs = startedAtNs;
    }

    /** The servers of the own zone, or of all other zones, that one request may be sent to. */
    private static final class Candidates {
        /** Sum of the weights of all candidates. */
        double totalWeight;
        /** Sum of their weights times expected response times in ns. */
        double weightedTimesNs;
        /** Sum of the weights of the candidates with capacity. */
        double openWeight;
        /** Servers in the windows, eligible or not. */
        final List<Server> considered = new ArrayList<>();
        /** Eligible servers with capacity. */
        final List<Server> withCapacity = new ArrayList<>();
    }

    public Policy(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.fleet = new Fleet(settings.me() * GOLDEN_RATIO, settings.profiles().stream().anyMatch(
                profile -> profile.effect() == Effect.DEDUPLICATED && profile.scope() == Scope.CELL), now);
        this.ownZone = fleet.zone(settings.zone());
        this.minPromiseNs = settings.profiles().stream().mapToLong(Profile::promiseNs).min().orElse(0);
        this.meanWorth = settings.profiles().stream().mapToDouble(Profile::worth).average().orElse(1);
        this.medianResponseNs = new double[settings.profiles().size()];
        this.quickResponseNs = new double[medianResponseNs.length];
        this.maxTimeLeftNs = new long[medianResponseNs.length];
        this.startedAtNs = now;
        this.decayedAtNs = now;
        this.lastEventAtNs = now;
        actions.timer(now + HEARTBEAT_INTERVAL_NS, HEARTBEAT_TOKEN);
        if (settings.askForList()) { callDiscovery(now); }
    }

    // ---- discovery ----

    private void callDiscovery(long now) {
        actions.subscribe(true);
        // Repeats the call well before a list that did not arrive would count as received.
        actions.timer(now + settings.askWithinNs() / 2, ++callNumber);
    }

    @Override
    public void onMembers(long now, ListKind kind, long version, List<Member> members) {
        if (kind == ListKind.FAILED) {
            // The subscriptions of all proxies may have failed at once. Jitter spreads their calls over the
            // time in which discovery can answer them all. It also processes calls whose caller no longer
            // waits, so calls sent at the same time would all be answered too late.
            long spreadNs = Math.max(callRetryDelayNs, Math.min(settings.balancers() * CALL_COST_NS,
                    Math.min(MAX_CALL_SPREAD_NS, (long) (settings.askWithinNs() * CALL_SPREAD_FRACTION))));
            actions.timer(now + callRetryDelayNs / 2 + (long) (spreadNs * random.nextDouble()), ++callNumber);
            callRetryDelayNs = Math.min(callRetryDelayNs * 2, 4 * FIRST_CALL_RETRY_NS);
            return;
        }
        if (kind != ListKind.CACHED) {
            callNumber++; // the call is answered: invalidates its timer
            callRetryDelayNs = FIRST_CALL_RETRY_NS;
        }
        fleet.beginList();
        for (Member entry : members) {
            Server server = fleet.get(entry.id());
            if (server == null || entry.bootNs() > server.bootNs) { server = registerStarted(entry, now); }
            fleet.applyEntry(server, entry);
        }
        fleet.endList(kind != ListKind.DELTA);
    }

    /** Adds a server that is new or has restarted; nothing learned about its old process applies any more. */
    private Server registerStarted(Member entry, long now) {
        Server server = new Server(entry, kindOf(entry).serviceTimeNs, meanParallelism, now);
        fleet.addStarted(server, warmFraction(server, now) >= 1);
        server.hasRecentReport = true;
        recentlyReported.add(server);
        updateFactor(server, now);
        // Proxies that are notified of a server at the same time must not all send to it at once. A random
        // position in the rotation and a random part of a token spread their first requests.
        server.coldTokens = random.nextDouble();
        server.rotationCredit = -random.nextDouble();
        return server;
    }

    // ---- factors ----

    private Kind kindOf(Member entry) {
        return kinds.computeIfAbsent(entry.kind(), id -> new Kind());
    }

    /** Returns the estimated load from other proxies at a server, in units of parallelism. */
    private double otherLoad(Server server) {
        return server.hasRecentReport ? server.otherLoad : server.zone.assumedOtherLoad;
    }

    /** Returns the estimated load from all proxies at a server, in units of parallelism. */
    private double load(Server server) {
        return server.inFlight / server.parallelism + otherLoad(server);
    }

    /** Returns the fraction of its capacity that a server surely has during slow start; 1 when warm. */
    private double warmFraction(Server server, long now) {
        double coldFraction = (now - server.bootNs) / (double) settings.coldNs();
        return server.bootNs <= 0 || coldFraction >= 1 ? 1
                : settings.startCapacity() + (1 - settings.startCapacity()) * Math.max(0, coldFraction);
    }

    /** Updates the estimates of a server from a load report; ignores null. */
    private void applyReport(Server server, long now, Report report) {
        if (report == null) { return; }
        server.lacksInFlightReport = !Double.isFinite(report.inflight());
        double reported = Double.isFinite(report.inflight()) ? report.inflight() : report.queue();
        // Answers repeat the last report until a new one is made. A new one differs in utilization even if
        // the number in flight is the same, for example zero.
        if (reported >= 0 && reported < MAX_REPORTED_IN_FLIGHT
                && (reported != server.lastInFlight || report.util() != server.lastUtilization)) {
            server.lastInFlight = reported;
            server.lastUtilization = report.util();
            double otherLoad = Math.max(0, reported - server.inFlight) / server.parallelism;
            server.reportedOtherLoad += REPORT_GAIN * (otherLoad - server.reportedOtherLoad);
            server.otherLoad = server.reportedOtherLoad;
            server.freshness = 1;
            if (!server.hasRecentReport) {
                server.hasRecentReport = true;
                recentlyReported.add(server);
            }
            updateZoneLoad(server.zone, otherLoad, now);
        }
        if (report.perSecond() > 0 && report.util() > 0 && report.perSecond() != server.lastThroughput) {
            // Throughput divided by utilization is the capacity in requests per second, whatever else the
            // requests wait for. Multiplied by the service time it is the parallelism.
            server.lastThroughput = report.perSecond();
            server.throughput += PARALLELISM_GAIN * (report.perSecond() - server.throughput);
            server.utilization += PARALLELISM_GAIN * (Math.min(1, report.util()) - server.utilization);
            server.parallelism =
                    Math.max(1, server.throughput / server.utilization * server.serviceTimeNs / 1e9);
            meanParallelism += PARALLELISM_GAIN * (server.parallelism - meanParallelism);
        }
        if (now - server.factorUpdatedAtNs >= FACTOR_UPDATE_INTERVAL_NS) {
            if (Double.isFinite(report.util())) {
                server.spareFraction +=
                        REPORT_GAIN * (1 - Math.max(0, Math.min(1, report.util())) - server.spareFraction);
            }
            updateFactor(server, now);
        }
    }

    /**
     * Updates the average load of a zone. It averages the share of a server that one more request would get,
     * which a few long queues hardly change.
     */
    private void updateZoneLoad(Zone zone, double otherLoad, long now) {
        zone.averageShare += (1 - Math.exp((zone.averageShareUpdatedAtNs - now) / LOAD_MEMORY_NS))
                * (1 / (1 + otherLoad) - zone.averageShare);
        zone.averageShareUpdatedAtNs = now;
    }

    /** Computes the factor by the formula of the design: capacity x spare fraction, lower while cold. */
    private void updateFactor(Server server, long now) {
        server.factorUpdatedAtNs = now;
        server.factor = minPromiseNs / server.serviceTimeNs * server.parallelism
                * Math.max(MIN_SPARE_FRACTION, server.spareFraction) * warmFraction(server, now);
    }

    /**
     * Returns the factor divided by the fourth power of the load plus one: a power that high balances queue
     * lengths rather than request rates.
     */
    private static double weight(Server server, double load) {
        double occupancy = 1 + load;
        return server.factor / (occupancy * occupancy * occupancy * occupancy);
    }

    /**
     * Returns whether a server has attempts in flight and stopped answering. The gaps between its answers to
     * any request distinguish it from a slow server.
     */
    private boolean isUnresponsive(Server server, long now) {
        return server.inFlight > 0 && now - Math.max(server.awaitingSinceNs, resumedAtNs)
                > minPromiseNs * UNRESPONSIVE_PROMISE_FRACTION + server.zone.networkLatencyNs
                + UNRESPONSIVE_GAPS * server.serviceTimeNs * (1 + otherLoad(server) / server.inFlight);
    }

    /**
     * Ejects a server, or delays the next trial of an ejected one. Does nothing if that would eject too many.
     */
    private void eject(Server server, long now) {
        if (server.isEjected || fleet.ejectedCount() + 1 <= fleet.readyCount() * MAX_EJECTED_FRACTION) {
            server.trialDelayNs = server.isEjected
                    ? Math.min(server.trialDelayNs * 2, 4 * FIRST_TRIAL_DELAY_NS) : FIRST_TRIAL_DELAY_NS;
            server.nextTrialAtNs = now + server.trialDelayNs;
            fleet.setEjected(server, true);
        }
    }

    /**
     * Ejects an unresponsive server with a trial due at once. If its only attempt in flight lost its answer
     * on the network, the server looks unresponsive but is healthy; delays between trials begin only if the
     * trial is not answered either.
     */
    private void ejectWithImmediateTrial(Server server, long now) {
        eject(server, now);
        server.nextTrialAtNs = now;
        server.trialDelayNs = FIRST_TRIAL_DELAY_NS / 2; // the trial doubles it
    }

    /**
     * Returns whether a server is warm or its cold budget, a token bucket, allows one more request. The
     * bucket is filled at the rate at which this proxy sends to an average server of its subset in that zone,
     * times the tip multiple (settings key tip_multiple) and the warm fraction. If every proxy does the same,
     * all together stay below that multiple of the server's capacity, however unevenly the traffic is
     * distributed over the proxies. It is filled more slowly while the server reports high utilization,
     * because something else may then limit its capacity.
     */
    private boolean hasColdBudget(Server server, long now) {
        double warmFraction = warmFraction(server, now);
        if (warmFraction >= 1) { return true; }
        // The memory of a proxy that has just started is its own age; that must not make the rate look lower.
        double memoryNs = SEND_RATE_MEMORY_NS
                * (1 - Math.exp(-Math.max(MIN_SEND_RATE_PERIOD_NS, now - startedAtNs) / SEND_RATE_MEMORY_NS));
        double ownSendsPerNs = server.zone.sendsPerServer / memoryNs
                * Math.max(1, server.zone.readyServers.size() / subsetSize());
        double idleFraction = Math.min(1, 2 * Math.max(MIN_SPARE_FRACTION, server.spareFraction));
        double tokensPerNs = COLD_BUDGET_FRACTION * idleFraction
                * Math.max(ownSendsPerNs * settings.tipMultiple() * warmFraction,
                        1.0 / settings.fallNs() / Math.max(1, settings.balancers()));
        server.coldTokens = Math.min(Math.max(1, tokensPerNs * settings.fallNs() / 2),
                server.coldTokens + tokensPerNs * (now - server.coldTokensUpdatedAtNs));
        server.coldTokensUpdatedAtNs = now;
        return server.coldTokens >= 1;
    }

    /**
     * Returns the number of servers of a zone in this proxy's subset: as many as can each return enough
     * reports within the shortest promise, but enough that the subsets of all proxies together leave no
     * server out.
     */
    private double subsetSize() {
        double reportingServers = recentArrivals * minPromiseNs / LOAD_MEMORY_NS / REPORTS_PER_PROMISE;
        return Math.max(reportingServers,
                MIN_SUBSET_SIZE * Math.max(1, fleet.size() / (double) settings.balancers()));
    }

    /** Returns the first attempt that may have run, which restricts all further ones, or null. */
    private Attempt bindingAttempt(PendingRequest pending) {
        for (Attempt attempt : pending.attempts) {
            boolean certainlyNeverRan = attempt.endStatus != null && attempt.endStatus.neverRan
                    && !(attempt.endStatus == Status.FULL && settings.fullIsNoProof());
            if (!certainlyNeverRan) { return attempt; }
        }
        return null;
    }

    /**
     * Returns whether a request may be sent to a server. No server gets a request twice, and a repeat of an
     * attempt that may have run stays within the scope in which servers drop repeats.
     */
    private boolean isEligible(Server server, PendingRequest pending, Attempt binding, long now) {
        if (!server.isReady() || !hasColdBudget(server, now)) { return false; }
        for (Attempt attempt : pending.attempts) {
            if (attempt.sentTo.id == server.id) { return false; }
        }
        return !isBoundToScope(pending, binding) || server.zone == binding.sentTo.zone
                && (pending.profile.scope() == Scope.ZONE
                || server.listEntry.cell() == binding.sentTo.listEntry.cell());
    }

    /**
     * Returns the server for the next attempt of a request by smooth weighted rotation, or null if none has
     * capacity. A request whose subset has no candidate gets a wide window.
     */
    private Server pick(PendingRequest pending, long now) {
        Server server = pick(pending, pending.attempts.size() > 0, now);
        return server == null && minServiceTimeNs == Double.MAX_VALUE ? pick(pending, true, now) : server;
    }

    /** Picks from the wide window or from the subset; sets minServiceTimeNs. */
    private Server pick(PendingRequest pending, boolean isWide, long now) {
        Attempt binding = bindingAttempt(pending);
        Server trial = ejectAndFindTrial(pending, binding, isWide, now);
        if (trial != null) { return trial; }
        minServiceTimeNs = Double.MAX_VALUE;
        weighCandidates(ownCandidates, pending, binding, isWide, now);
        // Own zone first: leaving it must save more worth than it costs. If no server of the own zone has
        // capacity it always does, because the request would wait here and finally be refused while other
        // servers are idle. The other zones are not scanned if even a zone that always answers in time could
        // not save that much.
        boolean usesOtherZones = ownCandidates.openWeight == 0
                || expectedLoss(ownCandidates, pending, now) > settings.crossZonePrice();
        if (usesOtherZones) {
            weighCandidates(otherCandidates, pending, binding, isWide, now);
            usesOtherZones = ownCandidates.openWeight == 0
                    || expectedLoss(ownCandidates, pending, now) - expectedLoss(otherCandidates, pending, now)
                    > settings.crossZonePrice();
        }
        // Credits are in requests, not in weights: a debt must not outlast weights that change by a factor of
        // a hundred within a second.
        double totalOpenWeight = ownCandidates.openWeight + (usesOtherZones ? otherCandidates.openWeight : 0);
        Server best = advanceRotation(ownCandidates, totalOpenWeight, null);
        best = usesOtherZones ? advanceRotation(otherCandidates, totalOpenWeight, best) : best;
        if (best != null) { best.rotationCredit--; }
        return best;
    }

    /** Returns the number of servers of a zone that a request may be sent to; of another zone one fewer. */
    private double windowWidth(boolean isOwnZone, boolean isWide) {
        return isWide ? Math.max(WIDE_WINDOW, subsetSize()) : subsetSize() - (isOwnZone ? 0 : 1);
    }

    /** Returns whether the next attempt has to stay in the zone or cell of one that may have run. */
    private static boolean isBoundToScope(PendingRequest pending, Attempt binding) {
        return binding != null && pending.profile.effect() == Effect.DEDUPLICATED
                && pending.profile.scope() != Scope.ALL;
    }

    /** Resets the candidates and adds the servers of this proxy's windows to considered, in order of ids. */
    private void collectCandidates(Candidates candidates, PendingRequest pending, Attempt binding,
            boolean isWide) {
        candidates.totalWeight = 0;
        candidates.weightedTimesNs = 0;
        candidates.openWeight = 0;
        candidates.considered.clear();
        candidates.withCapacity.clear();
        boolean isOwnZone = candidates == ownCandidates;
        double width = windowWidth(isOwnZone, isWide);
        if (!isBoundToScope(pending, binding)) {
            if (isOwnZone) {
                fleet.addWindow(ownZone.readyServers, width, candidates.considered);
            } else {
                fleet.addWindowsOfOtherZones(ownZone, width, candidates.considered);
            }
        } else if (isOwnZone == (binding.sentTo.zone == ownZone)) {
            if (pending.profile.scope() == Scope.CELL) {
                fleet.addWindowOfCell(binding.sentTo, width, candidates.considered);
            } else {
                fleet.addWindow(binding.sentTo.zone.readyServers, width, candidates.considered);
            }
        }
    }

    /**
     * Ejects servers in use that have become unresponsive, and returns an ejected server that is due for a
     * trial, or null. A trial gets one request at a time: one that has not run yet, and that is harmless to
     * lose while other attempts are in flight at the server.
     */
    private Server ejectAndFindTrial(PendingRequest pending, Attempt binding, boolean isWide, long now) {
        for (Server server : fleet.inUse()) {
            boolean isOwnZone = server.zone == ownZone;
            if (!server.isReady() || !fleet.isInWindow(server, windowWidth(isOwnZone, isWide))
                    || !isEligible(server, pending, binding, now)) {
                continue;
            }
            if (!server.isEjected && isUnresponsive(server, now)) { ejectWithImmediateTrial(server, now); }
            if (server.isEjected && now >= server.nextTrialAtNs && binding == null
                    && (server.inFlight == 0 || pending.profile.effect() != Effect.AT_MOST_ONCE)) {
                eject(server, now);
                return server;
            }
        }
        return null;
    }

    /** Computes the weights of the candidates for one request, and finds those with capacity. */
    private void weighCandidates(Candidates candidates, PendingRequest pending, Attempt binding,
            boolean isWide, long now) {
        double maxWorkNs = (pending.targetAtNs - now) * MAX_WORK_AHEAD_FRACTION;
        collectCandidates(candidates, pending, binding, isWide);
        for (Server server : candidates.considered) {
            if (server.isEjected || !isEligible(server, pending, binding, now)) { continue; }
            double currentTimeNs = server.serviceTimeNs / warmFraction(server, now);
            minServiceTimeNs = Math.min(minServiceTimeNs, server.serviceTimeNs);
            double load = load(server);
            double weight = weight(server, load);
            server.weight = weight;
            candidates.totalWeight += weight;
            // If reports lack the number in flight, the utilization shows how long a request waits.
            double waitFactor = server.lacksInFlightReport
                    ? 1 / Math.max(MIN_SPARE_FRACTION, server.spareFraction) : 1;
            candidates.weightedTimesNs += weight
                    * (server.zone.networkLatencyNs + currentTimeNs * (load + 1) * waitFactor);
            if (currentTimeNs * load <= maxWorkNs - server.zone.networkLatencyNs * MAX_WORK_AHEAD_FRACTION) {
                candidates.openWeight += weight;
                candidates.withCapacity.add(server);
            }
        }
    }

    /**
     * Adds to the credit of each candidate with capacity its fraction of the total weight. Returns the server
     * with the highest credit among these and the best so far; of equal credits the lowest id.
     */
    private Server advanceRotation(Candidates candidates, double totalOpenWeight, Server best) {
        for (Server server : candidates.withCapacity) {
            server.rotationCredit += server.weight / totalOpenWeight;
            if (best == null || server.rotationCredit > best.rotationCredit
                    || server.rotationCredit == best.rotationCredit && server.id < best.id) {
                best = server;
            }
        }
        return best;
    }

    /**
     * Returns the worth lost by missing the target, times the probability of missing it at the expected
     * response time of the candidates, as a fraction of the worth of an average request.
     */
    private double expectedLoss(Candidates candidates, PendingRequest pending, long now) {
        double expectedTimeNs = candidates.totalWeight > 0
                ? candidates.weightedTimesNs / candidates.totalWeight : Double.MAX_VALUE;
        double missProbability =
                Math.exp(-Math.max(1, pending.targetAtNs - now) / Math.max(1, expectedTimeNs));
        return missProbability * pending.profile.worth() / meanWorth * (1 - pending.profile.lateShare());
    }

    // ---- requests ----

    /**
     * Detects that this proxy was paused. Outcomes and time-outs that arrive at the moment it resumes are its
     * own fault, not that of the servers, so nothing is learned from them; a moment later everything counts
     * again.
     */
    private void detectPause(long now) {
        // Answers outstanding since before the pause are awaited from the time of resumption on.
        if (now - lastEventAtNs > 2 * HEARTBEAT_INTERVAL_NS) { resumedAtNs = now; }
        lastEventAtNs = now;
    }

    /**
     * Returns the time until which an answer counts as in time. A client's repeat that arrives with less time
     * left than first tries do has waited since its first try, so the promise counts from that. This avoids
     * work for answers that are late already; it is wrong for marked repeats that have little time for
     * another reason.
     */
    private long targetTimeNs(Request request, Profile requestClass, long now) {
        maxTimeLeftNs[request.profile()] = Math.max(maxTimeLeftNs[request.profile()], request.leftNs());
        long waitedNs = request.repeat()
                && request.leftNs() < maxTimeLeftNs[request.profile()] - settings.stepNs()
                ? requestClass.giveUpNs() - request.leftNs() : 0;
        return now + Math.min(request.leftNs(), requestClass.promiseNs() - waitedNs);
    }

    @Override
    public void onRequest(long now, Request request) {
        detectPause(now);
        decayAverages(now);
        recentArrivals++;
        Profile profile = settings.profiles().get(request.profile());
        PendingRequest pending = new PendingRequest(request, profile, targetTimeNs(request, profile, now),
                now + request.leftNs());
        pendingByTicket.put(request.ticket(), pending);
        if (pending.profile.sequential() && request.key() != 0) {
            pending.keyQueue = keyQueues.computeIfAbsent(request.key(), newKey -> new KeyQueue());
            pending.keyQueue.requests.add(pending);
        }
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRIES_PER_REQUEST);
        resendBudget = Math.min(MAX_RESEND_BUDGET, resendBudget + RESENDS_PER_REQUEST);
        if (!trySend(pending, now)) { enqueue(pending, now); }
    }

    /** Queues a request until a server has capacity. */
    private void enqueue(PendingRequest pending, long now) {
        pending.hasWaited = true;
        int index = waiting.size();
        while (index > 0 && waiting.get(index - 1).profile.worth() <= pending.profile.worth()) { index--; }
        waiting.add(index, pending);
        armWaitingTimer(now);
    }

    /** Lets the averages decay to the current time, and computes what follows from them. */
    private void decayAverages(long now) {
        if (now - decayedAtNs > DECAY_INTERVAL_NS) {
            double retained = Math.exp((decayedAtNs - now) / SEND_RATE_MEMORY_NS);
            double retainedShare = Math.exp((decayedAtNs - now) / KIND_MEMORY_NS);
            for (Zone each : fleet.zones()) {
                each.sendsPerServer *= retained;
                each.averageShare = 1 - retainedShare * (1 - each.averageShare);
                each.assumedOtherLoad = 1 / each.averageShare - 1;
            }
            retained = Math.exp((decayedAtNs - now) / LOAD_MEMORY_NS);
            recentArrivals *= retained;
            recentSends *= retained;
            recentServed *= retained;
            recentLost *= retained;
            retained = Math.exp((decayedAtNs - now) / REPORT_MEMORY_NS);
            double retainedFreshness = retained;
            recentlyReported.removeIf(server -> {
                server.freshness *= retainedFreshness;
                server.otherLoad = server.freshness * server.reportedOtherLoad
                        + (1 - server.freshness) * server.zone.assumedOtherLoad;
                server.hasRecentReport = server.freshness > MIN_FRESHNESS;
                return !server.hasRecentReport;
            });
            double units = fleet.effectiveUnits(server -> warmFraction(server, now));
            inFlightLimit = Math.max(MIN_IN_FLIGHT_LIMIT,
                    IN_FLIGHT_PER_UNIT * units / Math.max(1, settings.balancers()));
            keyQueues.values().removeIf(
                    keyQueue -> keyQueue.requests.isEmpty() && now >= keyQueue.coolDownUntilNs);
            decayedAtNs = now;
        }
    }

    /**
     * Sends an attempt if a server has capacity; otherwise the request has to wait in this proxy, where it
     * costs no server anything and can still be refused harmlessly if no attempt may have run. Returns
     * whether the request need not wait (any longer): it was sent or is finished.
     */
    private boolean trySend(PendingRequest pending, long now) {
        if (pending.isFinished) { return true; }
        if (!pending.attempts.isEmpty() && !mayAttempt(pending, now)) { // ran out of time while queued
            finishUnserved(pending);
            return true;
        }
        // The order by key restricts the first attempt only: a further one is already the next of its key.
        boolean mustWait = pending.attempts.isEmpty() && !isNextOfKey(pending, now) || isThrottled()
                || isOverInFlightLimit(pending);
        Server server = mustWait || finishIfTooLate(pending, now) ? null : pick(pending, now);
        if (server != null) {
            send(pending, server, now);
            return true;
        }
        // A further attempt may be restricted to a few servers, so it shows nothing about its class.
        profileWithoutCapacity = mustWait || !pending.attempts.isEmpty() ? profileWithoutCapacity
                : pending.profile;
        return finishIfTooLate(pending, now);
    }

    /**
     * Returns whether most recent sends are lost, so that no more may be sent than a certain number for each
     * one served. If few were served recently, a fraction of the arrivals is sent anyway: otherwise a proxy
     * that loses its first sends, by its own slow start or a short outage, would send nothing, be served
     * nothing and stay throttled.
     */
    private boolean isThrottled() {
        double extraSends =
                Math.max(MIN_EXTRA_SENDS, THROTTLED_SEND_FRACTION * recentArrivals - recentServed);
        return recentLost >= MIN_LOST_TO_THROTTLE
                && recentSends > MAX_SENDS_PER_SERVED * recentServed + extraSends;
    }

    /**
     * Returns whether responses are slow and this proxy has its share of attempts in flight. A server looks
     * idle to every proxy that has nothing in flight there, and in a large fleet one request from each proxy
     * overloads it.
     */
    private boolean isOverInFlightLimit(PendingRequest pending) {
        int profileIndex = pending.request.profile();
        // A proxy that started during the overload has seen slow answers only, so its quick ones are slow
        // too; therefore half the promise always counts as slow.
        return totalInFlight >= inFlightLimit && medianResponseNs[profileIndex]
                > Math.min(SLOW_MULTIPLE * quickResponseNs[profileIndex], pending.profile.promiseNs() / 2.0);
    }

    /**
     * Finishes a request that is unlikely to be served in time, and returns whether the request is finished.
     * A request that was queued is too late with less time left than half of the answers of its class take; a
     * new one, which may still be among the quick ones, with less than nearly all of them take. Avoids work
     * for clients that will have left, because the request waited for long or the client has little patience.
     */
    private boolean finishIfTooLate(PendingRequest pending, long now) {
        double minTimeNs =
                (pending.hasWaited ? medianResponseNs : quickResponseNs)[pending.request.profile()];
        if (!pending.isFinished
                && (pending.targetAtNs - now < Math.min(minTimeNs, pending.profile.promiseNs() / 2.0)
                || now >= pending.deadlineNs - WAITING_CHECK_INTERVAL_NS - 2 * settings.stepNs())) {
            finishUnserved(pending);
        }
        return pending.isFinished;
    }

    private void armWaitingTimer(long now) {
        if (!isWaitingTimerArmed && !waiting.isEmpty()) {
            isWaitingTimerArmed = true;
            actions.timer(now + WAITING_CHECK_INTERVAL_NS, WAITING_TOKEN);
        }
    }

    /**
     * Tries to send the queued requests; once a class finds no capacity, only the time of the rest counts.
     */
    private void sendWaiting(long now) {
        profileWithoutCapacity = null;
        // Checks every request, not only the head: a client's repeat behind it may have less time left.
        waiting.removeIf(pending -> pending.profile == profileWithoutCapacity
                ? finishIfTooLate(pending, now) : trySend(pending, now));
    }

    private void send(PendingRequest pending, Server server, long now) {
        pending.attempts.add(new Attempt(server, load(server), now));
        pending.inFlight++;
        totalInFlight++;
        server.awaitingSinceNs = server.inFlight++ == 0 ? now : server.awaitingSinceNs;
        fleet.updateInUse(server);
        server.coldTokens--;
        recentSends++;
        // Divided by the current size of the zone: a zone that shrinks must not get a higher cold budget.
        server.zone.sendsPerServer += 1.0 / server.zone.readyServers.size();
        // Cancels an attempt whose answer would be worth nothing, unless a repeat would run beside it.
        boolean isCancelledWhenLate = settings.mayCancel() && pending.profile.lateShare() == 0
                && !(pending.profile.effect() == Effect.DEDUPLICATED && pending.profile.scope() == Scope.ALL);
        actions.send(pending.request.ticket(), server.id,
                isCancelledWhenLate ? Math.max(1, pending.targetAtNs - now) : 0);
    }

    /** Returns whether the rules on repeats, attempts and time allow another attempt now. */
    private boolean mayAttempt(PendingRequest pending, long now) {
        if (pending.isFinished || pending.hasStreamBegun || now >= pending.targetAtNs
                || pending.attempts.size() >= settings.maxAttempts()
                || now >= pending.deadlineNs - settings.stepNs()) {
            return false;
        }
        Attempt binding = bindingAttempt(pending);
        return binding == null || pending.profile.effect() == Effect.IDEMPOTENT
                || pending.profile.effect() == Effect.DEDUPLICATED
                // It has to reach its server within the window even if connecting takes the maximum time.
                && now - binding.sentAtNs < pending.profile.windowNs() - settings.connectTimeoutNs()
                        - 2 * settings.stepNs();
    }

    /**
     * Sends a further attempt to another server if the rules and the retry budget allow it; otherwise
     * finishes the request. After a broken connection the request may be queued for capacity like a new one,
     * provided that some server is eligible: a broken connection does not indicate load, whereas after
     * rejections and errors further attempts would do harm.
     */
    private void retryOrFinish(PendingRequest pending, long now) {
        boolean wasReset = pending.attempts.get(pending.attempts.size() - 1).endStatus == Status.RESET;
        Attempt binding = bindingAttempt(pending);
        if ((wasReset ? resendBudget : retryBudget) < 1 || !mayAttempt(pending, now)
                || !hasEligible(ownCandidates, pending, binding, now)
                && !hasEligible(otherCandidates, pending, binding, now)) {
            finishUnserved(pending);
            return;
        }
        if (!trySend(pending, now)) {
            if (!wasReset) {
                finishUnserved(pending);
                return;
            }
            enqueue(pending, now);
        }
        resendBudget -= wasReset ? 1 : 0;
        retryBudget -= wasReset ? 0 : 1;
    }

    /** Returns whether any server in the wide window is eligible, with or without capacity. */
    private boolean hasEligible(Candidates candidates, PendingRequest pending, Attempt binding, long now) {
        collectCandidates(candidates, pending, binding, true);
        return candidates.considered.stream().anyMatch(server -> isEligible(server, pending, binding, now));
    }

    /** Gives the final answer to an unserved request: refused if a repeat is harmless, otherwise failed. */
    private void finishUnserved(PendingRequest pending) {
        if (bindingAttempt(pending) == null || pending.profile.repeatsAnywhere()) {
            actions.refuse(pending.request.ticket(), settings.maxRetryAfterNs());
        } else {
            actions.fail(pending.request.ticket());
        }
        finish(pending);
    }

    /** Marks a request as finished, and cancels its attempt in flight if attempts may be cancelled. */
    private void finish(PendingRequest pending) {
        pending.isFinished = true;
        if (pending.inFlight == 0) {
            discard(pending);
        } else if (settings.mayCancel()) {
            // At most one attempt is in flight, the last.
            actions.cancel(pending.request.ticket(), pending.attempts.size() - 1);
        }
    }

    /**
     * Returns whether a request may run by the order of its key. A request waits until every earlier one of
     * its key is finished and has no attempt in flight, and until the cool-down after attempts that may still
     * be running is over.
     */
    private static boolean isNextOfKey(PendingRequest pending, long now) {
        return pending.keyQueue == null
                || pending.keyQueue.requests.peek() == pending && now >= pending.keyQueue.coolDownUntilNs;
    }

    /** Removes a finished request without attempts in flight, so that the next of its key may run. */
    private void discard(PendingRequest pending) {
        pendingByTicket.remove(pending.request.ticket());
        if (pending.keyQueue != null) { pending.keyQueue.requests.remove(pending); }
    }

    @Override
    public void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs) {
        PendingRequest pending = pendingByTicket.get(ticket);
        if (pending != null) { pending.hasStreamBegun = true; }
    }

    @Override
    public void onOutcome(long now, Outcome outcome) {
        detectPause(now);
        PendingRequest pending = pendingByTicket.get(outcome.ticket());
        if (pending == null || outcome.attempt() >= pending.attempts.size()
                || pending.attempts.get(outcome.attempt()).endStatus != null) {
            return;
        }
        Attempt completed = pending.attempts.get(outcome.attempt());
        completed.endStatus = outcome.status();
        pending.inFlight--;
        completed.sentTo.inFlight--;
        fleet.updateInUse(completed.sentTo);
        totalInFlight--;
        if (pending.keyQueue != null && (outcome.status() == Status.TIMEOUT
                || outcome.status() == Status.RESET || outcome.status() == Status.CANCELLED)) {
            pending.keyQueue.coolDownUntilNs = now + settings.turnGapNs();
        }
        if (now != resumedAtNs) { learnFromOutcome(pending, completed, outcome, now); }
        applyReport(completed.sentTo, now, outcome.report());
        if (outcome.over() && !pending.isFinished) {
            finish(pending);
        } else if (pending.isFinished && pending.inFlight == 0) {
            discard(pending);
        } else if (!pending.isFinished && pending.inFlight == 0) {
            retryOrFinish(pending, now);
        }
        sendWaiting(now);
    }

    /**
     * Updates the network latencies. That of a zone is the difference between its shortest response time and
     * that of the nearest zone. It is not part of the service time: otherwise a distant server would look
     * slow, and full with a single request that is still on the network.
     */
    private void updateNetworkLatency(Zone zone, long elapsedNs, long now) {
        double retained = Math.exp((zone.minResponseTimeUpdatedAtNs - now) / LATENCY_MEMORY_NS);
        zone.minResponseTimeNs =
                Math.min(elapsedNs, elapsedNs - retained * (elapsedNs - zone.minResponseTimeNs));
        zone.minResponseTimeUpdatedAtNs = now;
        double nearestNs = Double.MAX_VALUE;
        for (Zone each : fleet.zones()) { nearestNs = Math.min(nearestNs, each.minResponseTimeNs); }
        for (Zone each : fleet.zones()) {
            each.networkLatencyNs =
                    each.minResponseTimeNs == Double.MAX_VALUE ? 0 : each.minResponseTimeNs - nearestNs;
        }
    }

    /** Updates the estimates and counts from the outcome of an attempt, and ejects a server that fails. */
    private void learnFromOutcome(PendingRequest pending, Attempt attempt, Outcome outcome, long now) {
        Server server = attempt.sentTo;
        if (outcome.status() == Status.OK) {
            updateNetworkLatency(server.zone, outcome.elapsedNs(), now);
            double sampleNs = Math.max(1000, outcome.elapsedNs() - server.zone.networkLatencyNs)
                    / (attempt.loadAhead + 1);
            double medianNs = medianResponseNs[pending.request.profile()] == 0 ? outcome.elapsedNs()
                    : medianResponseNs[pending.request.profile()];
            medianResponseNs[pending.request.profile()] = medianNs
                    * (outcome.elapsedNs() > medianNs ? 1 + QUANTILE_STEP : 1 - QUANTILE_STEP);
            double quickNs = quickResponseNs[pending.request.profile()] == 0 ? outcome.elapsedNs()
                    : quickResponseNs[pending.request.profile()];
            quickResponseNs[pending.request.profile()] = quickNs
                    * (outcome.elapsedNs() > quickNs ? 1 + QUANTILE_STEP * QUICK_QUANTILE
                    : 1 - QUANTILE_STEP * (1 - QUICK_QUANTILE));
            // An answer that took far longer comes from a queue that is about to lose the next request.
            // Without a reported service time the limit is NaN, and no answer counts as late.
            double reportedTimeNs = server.lacksInFlightReport && outcome.report() != null
                    ? 1e6 * outcome.report().recentMs() : Double.NaN;
            boolean isLate = outcome.elapsedNs() > Math.max(pending.profile.promiseNs() / 2.0,
                    LATE_MULTIPLE * Math.max(medianNs, reportedTimeNs));
            recentServed += isLate ? 0 : 1;
            recentLost += isLate ? 1 : 0;
            server.awaitingSinceNs = now;
            server.consecutiveFailures = 0;
            fleet.setEjected(server, false);
            Kind kind = kindOf(server.listEntry);
            double retained = Math.exp((server.lastAnswerAtNs - now) / SERVICE_TIME_MEMORY_NS);
            server.lastAnswerAtNs = now;
            sampleNs *= warmFraction(server, now);
            kind.serviceTimeNs += (1 - Math.exp((kind.lastAnswerAtNs - now) / KIND_MEMORY_NS))
                    * (sampleNs - kind.serviceTimeNs);
            kind.lastAnswerAtNs = now;
            server.measuredAnswers = Math.min(SERVICE_TIME_ANSWERS, server.measuredAnswers * retained + 1);
            server.measuredServiceTimeNs +=
                    (sampleNs - server.measuredServiceTimeNs) / server.measuredAnswers;
            server.serviceTimeNs = (server.measuredAnswers * server.measuredServiceTimeNs
                    + KIND_ANSWERS * kind.serviceTimeNs) / (server.measuredAnswers + KIND_ANSWERS);
        }
        if (outcome.status() == Status.FULL || outcome.status() == Status.TIMEOUT
                || outcome.status() == Status.CANCELLED) {
            recentLost++;
        } else if (outcome.status() != Status.OK) {
            recentSends = Math.max(0, recentSends - 1); // this failure does not indicate load
        }
        if (outcome.status() == Status.FULL) {
            // A rejection shows an overload that no report shows, with at least this much work queued. A
            // time-out does not: one answer lost on the network says nothing about the load of the rest of
            // the zone.
            updateZoneLoad(server.zone,
                    Math.max(minPromiseNs, outcome.elapsedNs()) / server.serviceTimeNs, now);
        }
        if (outcome.status() != Status.OK && outcome.status() != Status.MOOT
                && outcome.status() != Status.TIMEOUT && outcome.status() != Status.CANCELLED) {
            // A failure does not change the service time: a server that fails fast must not look fast.
            server.awaitingSinceNs = now;
            if (++server.consecutiveFailures >= EJECTION_FAILURES
                    || outcome.status() == Status.CONNECT_FAILED) {
                eject(server, now);
            }
        }
    }

    @Override
    public void onWithdrawn(long now, int ticket) {
        PendingRequest pending = pendingByTicket.get(ticket);
        if (pending != null && !pending.isFinished) { finish(pending); }
    }

    @Override
    public void onTimer(long now, long token) {
        detectPause(now);
        if (token == HEARTBEAT_TOKEN) {
            actions.timer(now + HEARTBEAT_INTERVAL_NS, HEARTBEAT_TOKEN);
        } else if (token == WAITING_TOKEN) {
            isWaitingTimerArmed = false;
            sendWaiting(now);
            armWaitingTimer(now);
        } else if (token == callNumber) {
            callDiscovery(now);
        }
    }
}
