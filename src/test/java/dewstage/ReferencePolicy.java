package dewstage;

import dewstage.PendingRequest.Attempt;
import dewstage.PendingRequest.KeyQueue;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A plain reference implementation of the decisions of {@link Policy}, which has to take the same actions. It
 * scans all servers for each pick, list, ejection and decay, where {@link Policy} uses indexes. The
 * constants equal those of {@link Policy}, which gives the reasons for them.
 */
final class ReferencePolicy implements Balancer {
    private static final long FACTOR_UPDATE_INTERVAL_NS = 200_000_000L;

    private static final double REPORT_GAIN = 0.5;

    private static final double MIN_SPARE_FRACTION = 0.1;

    private static final double SERVICE_TIME_ANSWERS = 10;
    private static final double SERVICE_TIME_MEMORY_NS = 10e9;
    private static final double KIND_ANSWERS = 4;

    private static final double LOAD_MEMORY_NS = 2e9;
    private static final double KIND_MEMORY_NS = 5e9;

    private static final double LATENCY_MEMORY_NS = 60e9;

    private static final double REPORT_MEMORY_NS = 1e9;
    private static final double MAX_REPORTED_IN_FLIGHT = 1000;

    private static final double PARALLELISM_GAIN = 0.2;

    private static final int EJECTION_FAILURES = 4;

    private static final double MAX_EJECTED_FRACTION = 0.34;

    private static final double UNRESPONSIVE_GAPS = 6;
    private static final double UNRESPONSIVE_PROMISE_FRACTION = 0.8;

    private static final long FIRST_TRIAL_DELAY_NS = 500_000_000L;

    private static final double COLD_BUDGET_FRACTION = 0.6;

    private static final double RETRIES_PER_REQUEST = 0.02;
    private static final double MAX_RETRY_BUDGET = 5;

    private static final double RESENDS_PER_REQUEST = 0.3;
    private static final double MAX_RESEND_BUDGET = 10;

    private static final double MAX_WORK_AHEAD_FRACTION = 0.25;

    private static final double MAX_SENDS_PER_SERVED = 1.2;
    private static final double MIN_EXTRA_SENDS = 1;
    private static final double MIN_LOST_TO_THROTTLE = 0.7;

    private static final double THROTTLED_SEND_FRACTION = 0.3;

    private static final double QUANTILE_STEP = 0.05;

    private static final double QUICK_QUANTILE = 0.1;

    private static final double LATE_MULTIPLE = 2;

    private static final double IN_FLIGHT_PER_UNIT = 3;
    private static final double MIN_IN_FLIGHT_LIMIT = 4;
    private static final double SLOW_MULTIPLE = 4;

    private static final double MIN_SUBSET_SIZE = 2;
    private static final double REPORTS_PER_PROMISE = 2;

    private static final double GOLDEN_RATIO = 0.6180339887;

    private static final long WAITING_CHECK_INTERVAL_NS = 20_000_000L;

    private static final double SEND_RATE_MEMORY_NS = 15e9;
    private static final double MIN_SEND_RATE_PERIOD_NS = 1e9;
    private static final long DECAY_INTERVAL_NS = 50_000_000L;

    private static final long FIRST_CALL_RETRY_NS = 250_000_000L;

    private static final long CALL_COST_NS = 200_000_000L;
    private static final double CALL_SPREAD_FRACTION = 0.2;

    private static final long HEARTBEAT_INTERVAL_NS = 50_000_000L;

    private static final long WAITING_TOKEN = 1L << 32;
    private static final long HEARTBEAT_TOKEN = WAITING_TOKEN + 1;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final IntMap<Server> serversById = new IntMap<>();
    private final List<Server> servers = new ArrayList<>();
    /** The index of each server in this proxy's order of its zone, as a fraction from 0 to 1. */
    private final Map<Server, Double> windowPositions = new HashMap<>();
    /** Eligible servers with capacity in the last pick. */
    private final Set<Server> withCapacity = new HashSet<>();
    private final IntMap<PendingRequest> pendingByTicket = new IntMap<>();
    private final Map<Long, KeyQueue> keyQueues = new HashMap<>();
    /** Queued requests in descending order of worth; of equal worth the newest first. */
    private final List<PendingRequest> waiting = new ArrayList<>();

    // By zone or kind, of which the low 8 bits are the index.
    private final double[] sendsPerServer = new double[256];
    private final double[] averageShares = new double[256];
    private final double[] kindServiceTimeNs = new double[256];
    private final int[] readyCounts = new int[256];

    // Sums over the servers of the own zone (0) and of the other zones (1) in the last pick.
    private final double[] totalWeights = new double[2];
    private final double[] weightedTimesNs = new double[2];
    private final double[] openWeights = new double[2];
    private final long[] kindLastAnswerAtNs = new long[256];
    private final long[] averageShareUpdatedAtNs = new long[256];

    private final double[] minResponseTimeNs = new double[256];
    private final double[] networkLatencyNs = new double[256];
    private final long[] minResponseTimeUpdatedAtNs = new long[256];
    /** Estimated median and QUICK_QUANTILE of the response time by class, in ns; 0 at first. */
    private final double[] medianResponseNs;
    private final double[] quickResponseNs;
    private final long[] maxTimeLeftNs;
    private final double meanWorth;
    private final long minPromiseNs;
    private double recentArrivals;
    private double recentSends;
    private double recentServed;
    private double recentLost;
    private double meanParallelism = 1;
    private double minServiceTimeNs;
    private double retryBudget = MAX_RETRY_BUDGET / 2;
    private double resendBudget = MAX_RESEND_BUDGET / 2;
    private final long startedAtNs;
    private long decayedAtNs;
    private long lastEventAtNs;
    private long resumedAtNs;
    private long callRetryDelayNs = FIRST_CALL_RETRY_NS;

    private double inFlightLimit = Double.MAX_VALUE;
    private int totalInFlight;
    private int callNumber;

    private Profile profileWithoutCapacity;
    private boolean isWaitingTimerArmed;

    ReferencePolicy(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.minPromiseNs = settings.profiles().stream().mapToLong(Profile::promiseNs).min().orElse(0);
        this.meanWorth = settings.profiles().stream().mapToDouble(Profile::worth).average().orElse(1);
        this.medianResponseNs = new double[settings.profiles().size()];
        this.quickResponseNs = new double[medianResponseNs.length];
        this.maxTimeLeftNs = new long[medianResponseNs.length];
        Arrays.fill(kindServiceTimeNs, minPromiseNs / 6.0);
        Arrays.fill(kindLastAnswerAtNs, now);
        Arrays.fill(minResponseTimeNs, Double.MAX_VALUE);
        Arrays.fill(averageShares, 1);
        Arrays.fill(averageShareUpdatedAtNs, now);
        this.startedAtNs = now;
        this.decayedAtNs = now;
        this.lastEventAtNs = now;
        actions.timer(now + HEARTBEAT_INTERVAL_NS, HEARTBEAT_TOKEN);
        if (settings.askForList()) { callDiscovery(now); }
    }

    private void callDiscovery(long now) {
        actions.subscribe(true);
        scheduleCall(now + settings.askWithinNs() / 2);
    }

    private void scheduleCall(long at) {
        actions.timer(at, ++callNumber);
    }

    @Override
    public void onMembers(long now, ListKind kind, long version, List<Member> members) {
        if (kind == ListKind.FAILED) {
            long spreadNs = Math.max(callRetryDelayNs, Math.min(settings.balancers() * CALL_COST_NS,
                    (long) (settings.askWithinNs() * CALL_SPREAD_FRACTION)));
            scheduleCall(now + callRetryDelayNs / 2 + (long) (spreadNs * random.nextDouble()));
            callRetryDelayNs = Math.min(callRetryDelayNs * 2, 8 * FIRST_CALL_RETRY_NS);
            return;
        }
        if (kind != ListKind.CACHED) {
            callNumber++;
            callRetryDelayNs = FIRST_CALL_RETRY_NS;
        }
        for (Server server : servers) {
            server.isListed &= kind == ListKind.DELTA;
        }
        for (Member entry : members) {
            Server server = serversById.get(entry.id());
            if (server == null || entry.bootNs() > server.bootNs) { server = registerStarted(entry, now); }
            server.listEntry = entry;
            server.isListed = true;
        }
        Arrays.fill(readyCounts, 0);
        servers.sort(Comparator.comparingInt(server -> server.id));
        for (Iterator<Server> remaining = servers.iterator(); remaining.hasNext();) {
            Server server = remaining.next();
            server.rank = readyCounts[zoneIndex(server)];
            readyCounts[zoneIndex(server)] += server.isReady() ? 1 : 0;
            if (server.inFlight == 0 && (!server.isListed || server.listEntry.state() == State.GONE)) {
                remaining.remove();
                serversById.remove(server.id);
            }
        }
        windowPositions.clear();
        for (Server server : servers) {
            double position = server.rank / (double) Math.max(1, readyCounts[zoneIndex(server)])
                    + settings.me() * GOLDEN_RATIO;
            windowPositions.put(server, position - Math.floor(position));
        }
    }

    private Server registerStarted(Member entry, long now) {
        Server server = new Server(entry, kindServiceTimeNs[entry.kind() & 255], meanParallelism, now);
        server.isListed = true;
        Server previous = serversById.get(server.id);
        if (previous != null) { servers.remove(previous); }
        servers.add(server);
        serversById.put(server.id, server);
        updateFactor(server, now);
        server.coldTokens = random.nextDouble();
        server.rotationCredit = -random.nextDouble();
        return server;
    }

    private static int zoneIndex(Server server) {
        return server.listEntry.zone() & 255;
    }

    private double warmFraction(Server server, long now) {
        double coldFraction = (now - server.bootNs) / (double) settings.coldNs();
        return server.bootNs <= 0 || coldFraction >= 1 ? 1
                : settings.startCapacity() + (1 - settings.startCapacity()) * Math.max(0, coldFraction);
    }

    private void applyReport(Server server, long now, Report report) {
        if (report == null) { return; }
        server.lacksInFlightReport = !Double.isFinite(report.inflight());
        double reported = Double.isFinite(report.inflight()) ? report.inflight() : report.queue();
        if (reported >= 0 && reported < MAX_REPORTED_IN_FLIGHT
                && (reported != server.lastInFlight || report.util() != server.lastUtilization)) {
            server.lastInFlight = reported;
            server.lastUtilization = report.util();
            double otherLoad = Math.max(0, reported - server.inFlight) / server.parallelism;
            server.reportedOtherLoad += REPORT_GAIN * (otherLoad - server.reportedOtherLoad);
            server.otherLoad = server.reportedOtherLoad;
            server.freshness = 1;
            updateZoneLoad(zoneIndex(server), otherLoad, now);
        }
        if (report.perSecond() > 0 && report.util() > 0 && report.perSecond() != server.lastThroughput) {
            server.lastThroughput = report.perSecond();
            server.throughput += PARALLELISM_GAIN * (report.perSecond() - server.throughput);
            server.utilization += PARALLELISM_GAIN * (Math.min(1, report.util()) - server.utilization);
            server.parallelism = Math.max(1,
                    server.throughput / server.utilization * server.serviceTimeNs / 1e9);
            meanParallelism += PARALLELISM_GAIN * (server.parallelism - meanParallelism);
        }
        if (now - server.factorUpdatedAtNs >= FACTOR_UPDATE_INTERVAL_NS) {
            if (Double.isFinite(report.util())) {
                server.spareFraction += REPORT_GAIN
                        * (1 - Math.max(0, Math.min(1, report.util())) - server.spareFraction);
            }
            updateFactor(server, now);
        }
    }

    private void updateZoneLoad(int zone, double otherLoad, long now) {
        averageShares[zone] += (1 - Math.exp((averageShareUpdatedAtNs[zone] - now) / LOAD_MEMORY_NS))
                * (1 / (1 + otherLoad) - averageShares[zone]);
        averageShareUpdatedAtNs[zone] = now;
    }

    private void updateFactor(Server server, long now) {
        server.factorUpdatedAtNs = now;
        server.factor = minPromiseNs / server.serviceTimeNs * server.parallelism
                * Math.max(MIN_SPARE_FRACTION, server.spareFraction) * warmFraction(server, now);
    }

    private static double load(Server server) {
        return server.inFlight / server.parallelism + server.otherLoad;
    }

    private static double weight(Server server) {
        double occupancy = 1 + load(server);
        return server.factor / (occupancy * occupancy * occupancy * occupancy);
    }

    private boolean isUnresponsive(Server server, long now) {
        return server.inFlight > 0
                && now - server.awaitingSinceNs > minPromiseNs * UNRESPONSIVE_PROMISE_FRACTION
                + networkLatencyNs[zoneIndex(server)]
                + UNRESPONSIVE_GAPS * server.serviceTimeNs * (1 + server.otherLoad / server.inFlight);
    }

    private void eject(Server server, long now) {
        long readyCount = servers.stream().filter(Server::isReady).count();
        long ejectedCount = servers.stream().filter(other -> other.isReady() && other.isEjected).count();
        if (server.isEjected || ejectedCount + 1 <= readyCount * MAX_EJECTED_FRACTION) {
            server.trialDelayNs = server.isEjected
                    ? Math.min(server.trialDelayNs * 2, 4 * FIRST_TRIAL_DELAY_NS) : FIRST_TRIAL_DELAY_NS;
            server.nextTrialAtNs = now + server.trialDelayNs;
            server.isEjected = true;
        }
    }

    private void ejectWithImmediateTrial(Server server, long now) {
        eject(server, now);
        server.nextTrialAtNs = now;
        server.trialDelayNs = FIRST_TRIAL_DELAY_NS / 2;
    }

    private boolean hasColdBudget(Server server, long now) {
        double warmFraction = warmFraction(server, now);
        if (warmFraction >= 1) { return true; }
        double memoryNs = SEND_RATE_MEMORY_NS
                * (1 - Math.exp(-Math.max(MIN_SEND_RATE_PERIOD_NS, now - startedAtNs) / SEND_RATE_MEMORY_NS));
        double ownSendsPerNs = sendsPerServer[zoneIndex(server)] / memoryNs
                * Math.max(1, readyCounts[zoneIndex(server)] / subsetSize());
        double idleFraction = Math.min(1, 2 * Math.max(MIN_SPARE_FRACTION, server.spareFraction));
        double tokensPerNs = COLD_BUDGET_FRACTION * idleFraction
                * Math.max(ownSendsPerNs * settings.tipMultiple() * warmFraction,
                1.0 / settings.fallNs() / Math.max(1, settings.balancers()));
        server.coldTokens = Math.min(Math.max(1, tokensPerNs * settings.fallNs() / 2),
                server.coldTokens + tokensPerNs * (now - server.coldTokensUpdatedAtNs));
        server.coldTokensUpdatedAtNs = now;
        return server.coldTokens >= 1;
    }

    private double subsetSize() {
        double reportingServers = recentArrivals * minPromiseNs / LOAD_MEMORY_NS / REPORTS_PER_PROMISE;
        return Math.max(reportingServers,
                MIN_SUBSET_SIZE * Math.max(1, servers.size() / (double) settings.balancers()));
    }

    private Attempt bindingAttempt(PendingRequest pending) {
        for (Attempt attempt : pending.attempts) {
            boolean certainlyNeverRan = attempt.endStatus != null && attempt.endStatus.neverRan
                    && !(attempt.endStatus == Status.FULL && settings.fullIsNoProof());
            if (!certainlyNeverRan) { return attempt; }
        }
        return null;
    }

    private boolean isEligible(Server server, PendingRequest pending, Attempt binding, long now) {
        if (!server.isReady() || !hasColdBudget(server, now)) { return false; }
        for (Attempt attempt : pending.attempts) {
            if (attempt.sentTo.id == server.id) { return false; }
        }
        if (binding == null || pending.profile.effect() != Effect.DEDUPLICATED
                || pending.profile.scope() == Scope.ALL) {
            return true;
        }
        return zoneIndex(server) == zoneIndex(binding.sentTo)
                && (pending.profile.scope() == Scope.ZONE
                || server.listEntry.cell() == binding.sentTo.listEntry.cell());
    }

    private Server pick(PendingRequest pending, long now) {
        Server server = pick(pending, pending.attempts.size() > 0, now);
        return server == null && minServiceTimeNs == Double.MAX_VALUE ? pick(pending, true, now) : server;
    }

    private Server pick(PendingRequest pending, boolean isWide, long now) {
        Arrays.fill(totalWeights, 0);
        Arrays.fill(weightedTimesNs, 0);
        Arrays.fill(openWeights, 0);
        minServiceTimeNs = Double.MAX_VALUE;
        double maxWorkNs = (pending.targetAtNs - now) * MAX_WORK_AHEAD_FRACTION;
        withCapacity.clear();
        Attempt binding = bindingAttempt(pending);
        double width = isWide ? Double.MAX_VALUE : subsetSize();
        for (Server server : servers) {
            int side = zoneIndex(server) == settings.zone() ? 0 : 1;
            if (!(windowPositions.get(server) * readyCounts[zoneIndex(server)] < width - side
                    && isEligible(server, pending, binding, now))) { continue; }
            if (!server.isEjected && isUnresponsive(server, now)) { ejectWithImmediateTrial(server, now); }
            if (server.isEjected) {
                if (now >= server.nextTrialAtNs && binding == null
                        && (server.inFlight == 0 || pending.profile.effect() != Effect.AT_MOST_ONCE)) {
                    eject(server, now);
                    return server;
                }
                continue;
            }
            double currentTimeNs = server.serviceTimeNs / warmFraction(server, now);
            minServiceTimeNs = Math.min(minServiceTimeNs, server.serviceTimeNs);
            totalWeights[side] += weight(server);
            double waitFactor = server.lacksInFlightReport
                    ? 1 / Math.max(MIN_SPARE_FRACTION, server.spareFraction) : 1;
            weightedTimesNs[side] += weight(server)
                    * (networkLatencyNs[zoneIndex(server)] + currentTimeNs * (load(server) + 1) * waitFactor);
            if (currentTimeNs * load(server) <= maxWorkNs
                    - networkLatencyNs[zoneIndex(server)] * MAX_WORK_AHEAD_FRACTION) {
                withCapacity.add(server);
                openWeights[side] += weight(server);
            }
        }
        boolean usesOtherZones = openWeights[0] == 0
                || expectedLoss(0, pending, now) - expectedLoss(1, pending, now) > settings.crossZonePrice();
        Server best = null;
        double totalOpenWeight = openWeights[0] + (usesOtherZones ? openWeights[1] : 0);
        for (Server server : servers) {
            if (withCapacity.contains(server) && (usesOtherZones || zoneIndex(server) == settings.zone())) {
                server.rotationCredit += weight(server) / totalOpenWeight;
                best = best == null || server.rotationCredit > best.rotationCredit ? server : best;
            }
        }
        if (best != null) { best.rotationCredit--; }
        return best;
    }

    private double expectedLoss(int side, PendingRequest pending, long now) {
        double expectedTimeNs = totalWeights[side] > 0 ? weightedTimesNs[side] / totalWeights[side]
                : Double.MAX_VALUE;
        double missProbability = Math.exp(-Math.max(1, pending.targetAtNs - now)
                / Math.max(1, expectedTimeNs));
        return missProbability * pending.profile.worth() / meanWorth * (1 - pending.profile.lateShare());
    }

    private void detectPause(long now) {
        if (now - lastEventAtNs > 2 * HEARTBEAT_INTERVAL_NS) {
            resumedAtNs = now;
            servers.forEach(server -> server.awaitingSinceNs = now);
        }
        lastEventAtNs = now;
    }

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

    private void enqueue(PendingRequest pending, long now) {
        pending.hasWaited = true;
        int index = waiting.size();
        while (index > 0 && waiting.get(index - 1).profile.worth() <= pending.profile.worth()) { index--; }
        waiting.add(index, pending);
        armWaitingTimer(now);
    }

    private void decayAverages(long now) {
        if (now - decayedAtNs > DECAY_INTERVAL_NS) {
            double retained = Math.exp((decayedAtNs - now) / SEND_RATE_MEMORY_NS);
            double retainedShare = Math.exp((decayedAtNs - now) / KIND_MEMORY_NS);
            for (int zone = 0; zone < sendsPerServer.length; zone++) {
                sendsPerServer[zone] *= retained;
                averageShares[zone] = 1 - retainedShare * (1 - averageShares[zone]);
            }
            retained = Math.exp((decayedAtNs - now) / LOAD_MEMORY_NS);
            recentArrivals *= retained;
            recentSends *= retained;
            recentServed *= retained;
            recentLost *= retained;
            retained = Math.exp((decayedAtNs - now) / REPORT_MEMORY_NS);
            double units = 0;
            for (Server server : servers) {
                units += server.isReady() ? server.listEntry.units() * warmFraction(server, now) : 0;
                server.freshness *= retained;
                server.otherLoad = server.freshness * server.reportedOtherLoad
                        + (1 - server.freshness) * (1 / averageShares[zoneIndex(server)] - 1);
            }
            inFlightLimit = Math.max(MIN_IN_FLIGHT_LIMIT,
                    IN_FLIGHT_PER_UNIT * units / Math.max(1, settings.balancers()));
            keyQueues.values().removeIf(keyQueue -> keyQueue.requests.isEmpty()
                    && now >= keyQueue.coolDownUntilNs);
            decayedAtNs = now;
        }
    }

    private boolean trySend(PendingRequest pending, long now) {
        if (pending.isFinished) { return true; }
        if (!pending.attempts.isEmpty() && !mayAttempt(pending, now)) {
            finishUnserved(pending);
            return true;
        }
        boolean mustWait = pending.attempts.isEmpty() && !isNextOfKey(pending, now) || isThrottled()
                || isOverInFlightLimit(pending);
        Server server = mustWait || finishIfTooLate(pending, now) ? null : pick(pending, now);
        if (server != null) {
            send(pending, server, now);
            return true;
        }
        profileWithoutCapacity = mustWait || !pending.attempts.isEmpty() ? profileWithoutCapacity
                : pending.profile;
        return finishIfTooLate(pending, now);
    }

    private boolean isThrottled() {
        double extraSends = Math.max(MIN_EXTRA_SENDS,
                THROTTLED_SEND_FRACTION * recentArrivals - recentServed);
        return recentLost >= MIN_LOST_TO_THROTTLE
                && recentSends > MAX_SENDS_PER_SERVED * recentServed + extraSends;
    }

    private boolean isOverInFlightLimit(PendingRequest pending) {
        int profileIndex = pending.request.profile();
        return totalInFlight >= inFlightLimit
                && medianResponseNs[profileIndex] > Math.min(SLOW_MULTIPLE * quickResponseNs[profileIndex],
                pending.profile.promiseNs() / 2.0);
    }

    private boolean finishIfTooLate(PendingRequest pending, long now) {
        double minTimeNs = (pending.hasWaited ? medianResponseNs
                : quickResponseNs)[pending.request.profile()];
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

    private void sendWaiting(long now) {
        profileWithoutCapacity = null;
        waiting.removeIf(pending -> pending.profile == profileWithoutCapacity ? finishIfTooLate(pending, now)
                : trySend(pending, now));
    }

    private void send(PendingRequest pending, Server server, long now) {
        pending.attempts.add(new Attempt(server, load(server), now));
        pending.inFlight++;
        totalInFlight++;
        server.awaitingSinceNs = server.inFlight++ == 0 ? now : server.awaitingSinceNs;
        server.coldTokens--;
        recentSends++;
        sendsPerServer[zoneIndex(server)] += 1.0 / readyCounts[zoneIndex(server)];
        boolean isCancelledWhenLate = settings.mayCancel() && pending.profile.lateShare() == 0
                && !(pending.profile.effect() == Effect.DEDUPLICATED && pending.profile.scope() == Scope.ALL);
        actions.send(pending.request.ticket(), server.id, isCancelledWhenLate
                ? Math.max(1, pending.targetAtNs - now) : 0);
    }

    private boolean mayAttempt(PendingRequest pending, long now) {
        if (pending.isFinished || pending.hasStreamBegun || now >= pending.targetAtNs
                || pending.attempts.size() >= settings.maxAttempts()
                || now >= pending.deadlineNs - settings.stepNs()) {
            return false;
        }
        Attempt binding = bindingAttempt(pending);
        return binding == null || pending.profile.effect() == Effect.IDEMPOTENT
                || pending.profile.effect() == Effect.DEDUPLICATED
                && now - binding.sentAtNs < pending.profile.windowNs() - settings.connectTimeoutNs()
                        - 2 * settings.stepNs();
    }

    private void retryOrFinish(PendingRequest pending, long now) {
        boolean wasReset = pending.attempts.get(pending.attempts.size() - 1).endStatus == Status.RESET;
        Attempt binding = bindingAttempt(pending);
        if ((wasReset ? resendBudget : retryBudget) < 1 || !mayAttempt(pending, now)
                || servers.stream().noneMatch(server -> isEligible(server, pending, binding, now))) {
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

    private void finishUnserved(PendingRequest pending) {
        if (bindingAttempt(pending) == null || pending.profile.effect() == Effect.IDEMPOTENT
                || pending.profile.effect() == Effect.DEDUPLICATED && pending.profile.scope() == Scope.ALL) {
            actions.refuse(pending.request.ticket(), settings.maxRetryAfterNs());
        } else {
            actions.fail(pending.request.ticket());
        }
        finish(pending);
    }

    private void finish(PendingRequest pending) {
        pending.isFinished = true;
        if (pending.inFlight == 0) {
            discard(pending);
        } else if (settings.mayCancel()) {
            actions.cancel(pending.request.ticket(), pending.attempts.size() - 1);
        }
    }

    private static boolean isNextOfKey(PendingRequest pending, long now) {
        return pending.keyQueue == null || pending.keyQueue.requests.peek() == pending
                && now >= pending.keyQueue.coolDownUntilNs;
    }

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
        totalInFlight--;
        if (pending.keyQueue != null
                && (outcome.status() == Status.TIMEOUT || outcome.status() == Status.RESET
                || outcome.status() == Status.CANCELLED)) {
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

    private void updateNetworkLatency(int zone, long elapsedNs, long now) {
        double retained = Math.exp((minResponseTimeUpdatedAtNs[zone] - now) / LATENCY_MEMORY_NS);
        minResponseTimeNs[zone] = Math.min(elapsedNs,
                elapsedNs - retained * (elapsedNs - minResponseTimeNs[zone]));
        minResponseTimeUpdatedAtNs[zone] = now;
        double nearestNs = Arrays.stream(minResponseTimeNs).min().orElse(0);
        for (int i = 0; i < networkLatencyNs.length; i++) {
            networkLatencyNs[i] = minResponseTimeNs[i] == Double.MAX_VALUE ? 0
                    : minResponseTimeNs[i] - nearestNs;
        }
    }

    private void learnFromOutcome(PendingRequest pending, Attempt attempt, Outcome outcome, long now) {
        Server server = attempt.sentTo;
        if (outcome.status() == Status.OK) {
            updateNetworkLatency(zoneIndex(server), outcome.elapsedNs(), now);
            double sampleNs = Math.max(1000, outcome.elapsedNs() - networkLatencyNs[zoneIndex(server)])
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
            double reportedTimeNs = server.lacksInFlightReport && outcome.report() != null
                    ? 1e6 * outcome.report().recentMs() : Double.NaN;
            boolean isLate = outcome.elapsedNs() > Math.max(pending.profile.promiseNs() / 2.0,
                    LATE_MULTIPLE * Math.max(medianNs, reportedTimeNs));
            recentServed += isLate ? 0 : 1;
            recentLost += isLate ? 1 : 0;
            server.awaitingSinceNs = now;
            server.consecutiveFailures = 0;
            server.isEjected = false;
            int kind = server.listEntry.kind() & 255;
            double retained = Math.exp((server.lastAnswerAtNs - now) / SERVICE_TIME_MEMORY_NS);
            server.lastAnswerAtNs = now;
            sampleNs *= warmFraction(server, now);
            double gain = 1 - Math.exp((kindLastAnswerAtNs[kind] - now) / KIND_MEMORY_NS);
            kindServiceTimeNs[kind] += gain * (sampleNs - kindServiceTimeNs[kind]);
            kindLastAnswerAtNs[kind] = now;
            server.measuredAnswers = Math.min(SERVICE_TIME_ANSWERS, server.measuredAnswers * retained + 1);
            server.measuredServiceTimeNs += (sampleNs - server.measuredServiceTimeNs)
                    / server.measuredAnswers;
            server.serviceTimeNs = (server.measuredAnswers * server.measuredServiceTimeNs
                    + KIND_ANSWERS * kindServiceTimeNs[kind]) / (server.measuredAnswers + KIND_ANSWERS);
        }
        if (outcome.status() == Status.FULL || outcome.status() == Status.TIMEOUT
                || outcome.status() == Status.CANCELLED) {
            recentLost++;
        } else if (outcome.status() != Status.OK) {
            recentSends = Math.max(0, recentSends - 1);
        }
        if (outcome.status() == Status.FULL) {
            updateZoneLoad(zoneIndex(server),
                    Math.max(minPromiseNs, outcome.elapsedNs()) / server.serviceTimeNs, now);
        }
        if (outcome.status() != Status.OK && outcome.status() != Status.MOOT
                && outcome.status() != Status.TIMEOUT
                && outcome.status() != Status.CANCELLED) {
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
