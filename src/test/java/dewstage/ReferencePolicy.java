package dewstage;

import dewstage.Ticket.Attempt;
import dewstage.Ticket.Turn;
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
 * scans all servers for each selection, list, ejection and decay, where {@link Policy} uses indexes. The
 * constants equal those of {@link Policy}, which gives the reasons for them.
 */
final class ReferencePolicy implements Balancer {
    private static final long FACTOR_UPDATE_INTERVAL_NS = 200_000_000L;

    private static final double SPARE_CAPACITY_GAIN = 0.5;

    private static final double MIN_SPARE_CAPACITY = 0.1;

    private static final double MAX_SERVICE_TIME_SAMPLES = 10;
    private static final double SERVICE_TIME_MEMORY_NS = 10e9;
    private static final double KIND_SAMPLES = 4;

    private static final double AVERAGE_MEMORY_NS = 2e9;
    private static final double KIND_MEMORY_NS = 5e9;

    private static final double LATENCY_MEMORY_NS = 60e9;

    private static final double REPORT_MEMORY_NS = 1e9;
    private static final double MAX_REPORTED_REQUESTS = 1000;

    private static final double CONCURRENCY_GAIN = 0.2;

    private static final int EJECTION_FAILURES = 4;

    private static final double MAX_EJECTED_FRACTION = 0.34;

    private static final double UNRESPONSIVE_SERVICE_TIMES = 6;
    private static final double UNRESPONSIVE_PROMISE_FRACTION = 0.8;

    private static final long TRIAL_DELAY_NS = 500_000_000L;

    private static final double COLD_BUDGET_FRACTION = 0.6;

    private static final double RETRIES_PER_REQUEST = 0.02;
    private static final double MAX_SAVED_RETRIES = 5;

    private static final double RESET_RETRIES_PER_REQUEST = 0.3;
    private static final double MAX_SAVED_RESET_RETRIES = 10;

    private static final double ADMISSION_FRACTION = 0.25;

    private static final double MAX_SENT_PER_SERVED = 1.2;
    private static final double MIN_THROTTLE_ALLOWANCE = 1;
    private static final double MIN_LOST_TO_THROTTLE = 0.7;

    private static final double THROTTLED_ARRIVAL_FRACTION = 0.3;

    private static final double QUANTILE_STEP = 0.05;

    private static final double FAST_QUANTILE = 0.1;

    private static final double LATE_FACTOR = 2;

    private static final double IN_FLIGHT_PER_UNIT = 3;
    private static final double MIN_IN_FLIGHT_SHARE = 4;
    private static final double CONGESTION_FACTOR = 4;

    private static final double MIN_SUBSET_SIZE = 2;
    private static final double REQUESTS_PER_PROMISE = 2;

    private static final double GOLDEN_RATIO = 0.6180339887;

    private static final long QUEUE_CHECK_INTERVAL_NS = 20_000_000L;

    private static final double RATE_MEMORY_NS = 15e9;
    private static final double MIN_RATE_AGE_NS = 1e9;
    private static final long DECAY_INTERVAL_NS = 50_000_000L;

    private static final long CALL_DELAY_NS = 250_000_000L;

    private static final long CALL_COST_NS = 200_000_000L;
    private static final double MAX_CALL_SPREAD_FRACTION = 0.2;

    private static final long HEARTBEAT_INTERVAL_NS = 50_000_000L;

    private static final long QUEUE_TOKEN = 1L << 32;
    private static final long HEARTBEAT_TOKEN = QUEUE_TOKEN + 1;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final IntMap<Server> serversById = new IntMap<>();
    private final List<Server> servers = new ArrayList<>();
    /** The index of each server in this proxy's order of its zone, as a fraction from 0 to 1. */
    private final Map<Server, Double> positions = new HashMap<>();
    /** The servers that had capacity in the last selection. */
    private final Set<Server> serversWithCapacity = new HashSet<>();
    private final IntMap<Ticket> pendingByTicket = new IntMap<>();
    private final Map<Long, Turn> keyQueues = new HashMap<>();
    /** Requests that wait for capacity, those of the highest worth first. */
    private final List<Ticket> queuedRequests = new ArrayList<>();

    // Indexed by the low 8 bits of the zone or of the machine type.
    private final double[] sendRateByZone = new double[256];
    private final double[] averageShareByZone = new double[256];
    private final double[] serviceTimeByKind = new double[256];
    private final int[] readyCountByZone = new int[256];

    // Sums over the servers of the local zone (0) and of the other zones (1) in the last selection.
    private final double[] weightSums = new double[2];
    private final double[] weightedTimeSums = new double[2];
    private final double[] openWeights = new double[2];
    private final long[] kindUpdatedAtNs = new long[256];
    private final long[] averageUpdatedAtNs = new long[256];

    private final double[] fastestByZone = new double[256];
    private final double[] latencyByZone = new double[256];
    private final long[] fastestUpdatedAtNs = new long[256];
    /** Median and lower quantile of the response times of each class. */
    private final double[] medianByProfile;
    private final double[] fastByProfile;
    private final long[] maxRemainingByProfile;
    private final double meanWorth;
    private final long minPromiseNs;
    private double recentArrivals;
    private double recentSent;
    private double recentServed;
    private double recentLost;
    private double averageConcurrency = 1;
    private double minServiceTimeNs;
    private double retryBudget = MAX_SAVED_RETRIES / 2;
    private double resetRetryBudget = MAX_SAVED_RESET_RETRIES / 2;
    private final long startedAtNs;
    private long decayedAtNs;
    private long lastEventAtNs;
    private long resumedAtNs;
    private long callDelayNs = CALL_DELAY_NS;

    private double inFlightShare = Double.MAX_VALUE;
    private int totalInFlight;
    private int lastCallToken;

    private Profile congestedProfile;
    private boolean queueCheckScheduled;

    ReferencePolicy(Settings settings, long seed, long now, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.minPromiseNs = settings.profiles().stream().mapToLong(Profile::promiseNs).min().orElse(0);
        this.meanWorth = settings.profiles().stream().mapToDouble(Profile::worth).average().orElse(1);
        this.medianByProfile = new double[settings.profiles().size()];
        this.fastByProfile = new double[medianByProfile.length];
        this.maxRemainingByProfile = new long[medianByProfile.length];
        Arrays.fill(serviceTimeByKind, minPromiseNs / 6.0);
        Arrays.fill(kindUpdatedAtNs, now);
        Arrays.fill(fastestByZone, Double.MAX_VALUE);
        Arrays.fill(averageShareByZone, 1);
        Arrays.fill(averageUpdatedAtNs, now);
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
        actions.timer(at, ++lastCallToken);
    }

    @Override
    public void onMembers(long now, ListKind kind, long version, List<Member> members) {
        if (kind == ListKind.FAILED) {
            long spreadNs = Math.max(callDelayNs, Math.min(settings.balancers() * CALL_COST_NS,
                    (long) (settings.askWithinNs() * MAX_CALL_SPREAD_FRACTION)));
            scheduleCall(now + callDelayNs / 2 + (long) (spreadNs * random.nextDouble()));
            callDelayNs = Math.min(callDelayNs * 2, 8 * CALL_DELAY_NS);
            return;
        }
        if (kind != ListKind.CACHED) {
            lastCallToken++;
            callDelayNs = CALL_DELAY_NS;
        }
        for (Server server : servers) {
            server.named &= kind == ListKind.DELTA;
        }
        for (Member member : members) {
            Server server = serversById.get(member.id());
            if (server == null || member.bootNs() > server.bootNs) { server = addServer(member, now); }
            server.listed = member;
            server.named = true;
        }
        Arrays.fill(readyCountByZone, 0);
        servers.sort(Comparator.comparingInt(server -> server.id));
        for (Iterator<Server> remaining = servers.iterator(); remaining.hasNext();) {
            Server server = remaining.next();
            server.rank = readyCountByZone[zoneOf(server)];
            readyCountByZone[zoneOf(server)] += server.ready() ? 1 : 0;
            if (server.out == 0 && (!server.named || server.listed.state() == State.GONE)) {
                remaining.remove();
                serversById.remove(server.id);
            }
        }
        positions.clear();
        for (Server server : servers) {
            double position = server.rank / (double) Math.max(1, readyCountByZone[zoneOf(server)])
                    + settings.me() * GOLDEN_RATIO;
            positions.put(server, position - Math.floor(position));
        }
    }

    private Server addServer(Member member, long now) {
        Server server = new Server(member, serviceTimeByKind[member.kind() & 255], averageConcurrency, now);
        server.named = true;
        Server previous = serversById.get(server.id);
        if (previous != null) { servers.remove(previous); }
        servers.add(server);
        serversById.put(server.id, server);
        updateFactor(server, now);
        server.tokens = random.nextDouble();
        server.tally = -random.nextDouble();
        return server;
    }

    private static int zoneOf(Server server) {
        return server.listed.zone() & 255;
    }

    private double warmth(Server server, long now) {
        double relativeAge = (now - server.bootNs) / (double) settings.coldNs();
        return server.bootNs <= 0 || relativeAge >= 1 ? 1
                : settings.startCapacity() + (1 - settings.startCapacity()) * Math.max(0, relativeAge);
    }

    private void applyReport(Server server, long now, Report loadReport) {
        if (loadReport == null) { return; }
        server.blind = !Double.isFinite(loadReport.inflight());
        double reportedRequests = Double.isFinite(loadReport.inflight()) ? loadReport.inflight()
                : loadReport.queue();
        if (reportedRequests >= 0 && reportedRequests < MAX_REPORTED_REQUESTS
                && (reportedRequests != server.held || loadReport.util() != server.util)) {
            server.held = reportedRequests;
            server.util = loadReport.util();
            double foreignLoad = Math.max(0, reportedRequests - server.out) / server.parallel;
            server.heard += SPARE_CAPACITY_GAIN * (foreignLoad - server.heard);
            server.others = server.heard;
            server.fresh = 1;
            updateAverageShare(zoneOf(server), foreignLoad, now);
        }
        if (loadReport.perSecond() > 0 && loadReport.util() > 0 && loadReport.perSecond() != server.told) {
            server.told = loadReport.perSecond();
            server.rate += CONCURRENCY_GAIN * (loadReport.perSecond() - server.rate);
            server.busy += CONCURRENCY_GAIN * (Math.min(1, loadReport.util()) - server.busy);
            server.parallel = Math.max(1, server.rate / server.busy * server.pace / 1e9);
            averageConcurrency += CONCURRENCY_GAIN * (server.parallel - averageConcurrency);
        }
        if (now - server.renewedAt >= FACTOR_UPDATE_INTERVAL_NS) {
            if (Double.isFinite(loadReport.util())) {
                server.spare += SPARE_CAPACITY_GAIN
                        * (1 - Math.max(0, Math.min(1, loadReport.util())) - server.spare);
            }
            updateFactor(server, now);
        }
    }

    private void updateAverageShare(int zoneIndex, double foreignLoad, long now) {
        averageShareByZone[zoneIndex] += (1
                - Math.exp((averageUpdatedAtNs[zoneIndex] - now) / AVERAGE_MEMORY_NS))
                * (1 / (1 + foreignLoad) - averageShareByZone[zoneIndex]);
        averageUpdatedAtNs[zoneIndex] = now;
    }

    private void updateFactor(Server server, long now) {
        server.renewedAt = now;
        server.factor = minPromiseNs / server.pace * server.parallel
                * Math.max(MIN_SPARE_CAPACITY, server.spare) * warmth(server, now);
    }

    private static double load(Server server) {
        return server.out / server.parallel + server.others;
    }

    private static double weight(Server server) {
        double queueLength = 1 + load(server);
        return server.factor / (queueLength * queueLength * queueLength * queueLength);
    }

    private boolean isUnresponsive(Server server, long now) {
        return server.out > 0
                && now - server.owedSince > minPromiseNs * UNRESPONSIVE_PROMISE_FRACTION
                + latencyByZone[zoneOf(server)]
                + UNRESPONSIVE_SERVICE_TIMES * server.pace * (1 + server.others / server.out);
    }

    private void eject(Server server, long now) {
        long readyCount = servers.stream().filter(Server::ready).count();
        long ejectedCount = servers.stream().filter(other -> other.ready() && other.ejected).count();
        if (server.ejected || ejectedCount + 1 <= readyCount * MAX_EJECTED_FRACTION) {
            server.trialPause = server.ejected ? Math.min(server.trialPause * 2, 4 * TRIAL_DELAY_NS)
                    : TRIAL_DELAY_NS;
            server.trialAt = now + server.trialPause;
            server.ejected = true;
        }
    }

    private void ejectForTrial(Server server, long now) {
        eject(server, now);
        server.trialAt = now;
        server.trialPause = TRIAL_DELAY_NS / 2;
    }

    private boolean hasColdBudget(Server server, long now) {
        double currentWarmth = warmth(server, now);
        if (currentWarmth >= 1) { return true; }
        double rateAgeNs = RATE_MEMORY_NS
                * (1 - Math.exp(-Math.max(MIN_RATE_AGE_NS, now - startedAtNs) / RATE_MEMORY_NS));
        double ownRate = sendRateByZone[zoneOf(server)] / rateAgeNs
                * Math.max(1, readyCountByZone[zoneOf(server)] / subsetSize());
        double idleFraction = Math.min(1, 2 * Math.max(MIN_SPARE_CAPACITY, server.spare));
        double budgetRate = COLD_BUDGET_FRACTION * idleFraction
                * Math.max(ownRate * settings.tipMultiple() * currentWarmth,
                1.0 / settings.fallNs() / Math.max(1, settings.balancers()));
        server.tokens = Math.min(Math.max(1, budgetRate * settings.fallNs() / 2),
                server.tokens + budgetRate * (now - server.tokensAt));
        server.tokensAt = now;
        return server.tokens >= 1;
    }

    private double subsetSize() {
        double observable = recentArrivals * minPromiseNs / AVERAGE_MEMORY_NS / REQUESTS_PER_PROMISE;
        return Math.max(observable,
                MIN_SUBSET_SIZE * Math.max(1, servers.size() / (double) settings.balancers()));
    }

    private Attempt bindingAttempt(Ticket pending) {
        for (Attempt attempt : pending.attempts) {
            boolean provenNotRun = attempt.ended != null && attempt.ended.neverRan
                    && !(attempt.ended == Status.FULL && settings.fullIsNoProof());
            if (!provenNotRun) { return attempt; }
        }
        return null;
    }

    private boolean isEligible(Server server, Ticket pending, Attempt binding, long now) {
        if (!server.ready() || !hasColdBudget(server, now)) { return false; }
        for (Attempt attempt : pending.attempts) {
            if (attempt.to.id == server.id) { return false; }
        }
        if (binding == null || pending.profile.effect() != Effect.DEDUPLICATED
                || pending.profile.scope() == Scope.ALL) {
            return true;
        }
        return zoneOf(server) == zoneOf(binding.to)
                && (pending.profile.scope() == Scope.ZONE
                || server.listed.cell() == binding.to.listed.cell());
    }

    private Server selectServer(Ticket pending, long now) {
        Server server = selectServer(pending, pending.attempts.size() > 0, now);
        return server == null && minServiceTimeNs == Double.MAX_VALUE ? selectServer(pending, true, now)
                : server;
    }

    private Server selectServer(Ticket pending, boolean wide, long now) {
        Arrays.fill(weightSums, 0);
        Arrays.fill(weightedTimeSums, 0);
        Arrays.fill(openWeights, 0);
        minServiceTimeNs = Double.MAX_VALUE;
        double maxQueueNs = (pending.aim - now) * ADMISSION_FRACTION;
        serversWithCapacity.clear();
        Attempt binding = bindingAttempt(pending);
        double width = wide ? Double.MAX_VALUE : subsetSize();
        for (Server server : servers) {
            int side = zoneOf(server) == settings.zone() ? 0 : 1;
            if (!(positions.get(server) * readyCountByZone[zoneOf(server)] < width - side
                    && isEligible(server, pending, binding, now))) { continue; }
            if (!server.ejected && isUnresponsive(server, now)) { ejectForTrial(server, now); }
            if (server.ejected) {
                if (now >= server.trialAt && binding == null
                        && (server.out == 0 || pending.profile.effect() != Effect.AT_MOST_ONCE)) {
                    eject(server, now);
                    return server;
                }
                continue;
            }
            double serviceTimeNs = server.pace / warmth(server, now);
            minServiceTimeNs = Math.min(minServiceTimeNs, server.pace);
            weightSums[side] += weight(server);
            double queueFactor = server.blind ? 1 / Math.max(MIN_SPARE_CAPACITY, server.spare) : 1;
            weightedTimeSums[side] += weight(server)
                    * (latencyByZone[zoneOf(server)] + serviceTimeNs * (load(server) + 1) * queueFactor);
            if (serviceTimeNs * load(server) <= maxQueueNs
                    - latencyByZone[zoneOf(server)] * ADMISSION_FRACTION) {
                serversWithCapacity.add(server);
                openWeights[side] += weight(server);
            }
        }
        boolean crossesZones = openWeights[0] == 0
                || expectedLoss(0, pending, now) - expectedLoss(1, pending, now) > settings.crossZonePrice();
        Server best = null;
        double totalWeight = openWeights[0] + (crossesZones ? openWeights[1] : 0);
        for (Server server : servers) {
            if (serversWithCapacity.contains(server) && (crossesZones || zoneOf(server) == settings.zone())) {
                server.tally += weight(server) / totalWeight;
                best = best == null || server.tally > best.tally ? server : best;
            }
        }
        if (best != null) { best.tally--; }
        return best;
    }

    private double expectedLoss(int side, Ticket pending, long now) {
        double expectedTimeNs = weightSums[side] > 0 ? weightedTimeSums[side] / weightSums[side]
                : Double.MAX_VALUE;
        double missProbability = Math.exp(-Math.max(1, pending.aim - now) / Math.max(1, expectedTimeNs));
        return missProbability * pending.profile.worth() / meanWorth * (1 - pending.profile.lateShare());
    }

    private void detectPause(long now) {
        if (now - lastEventAtNs > 2 * HEARTBEAT_INTERVAL_NS) {
            resumedAtNs = now;
            servers.forEach(server -> server.owedSince = now);
        }
        lastEventAtNs = now;
    }

    private long usefulUntil(Request request, Profile requestClass, long now) {
        maxRemainingByProfile[request.profile()] = Math.max(maxRemainingByProfile[request.profile()],
                request.leftNs());
        long waitedNs = request.repeat()
                && request.leftNs() < maxRemainingByProfile[request.profile()] - settings.stepNs()
                ? requestClass.giveUpNs() - request.leftNs() : 0;
        return now + Math.min(request.leftNs(), requestClass.promiseNs() - waitedNs);
    }

    @Override
    public void onRequest(long now, Request request) {
        detectPause(now);
        decayEstimates(now);
        recentArrivals++;
        Profile profile = settings.profiles().get(request.profile());
        Ticket pending = new Ticket(request, profile, usefulUntil(request, profile, now),
                now + request.leftNs());
        pendingByTicket.put(request.ticket(), pending);
        if (pending.profile.sequential() && request.key() != 0) {
            pending.turn = keyQueues.computeIfAbsent(request.key(), k -> new Turn());
            pending.turn.queue.add(pending);
        }
        retryBudget = Math.min(MAX_SAVED_RETRIES, retryBudget + RETRIES_PER_REQUEST);
        resetRetryBudget = Math.min(MAX_SAVED_RESET_RETRIES, resetRetryBudget + RESET_RETRIES_PER_REQUEST);
        if (!trySend(pending, now)) { enqueue(pending, now); }
    }

    private void enqueue(Ticket pending, long now) {
        pending.held = true;
        int index = queuedRequests.size();
        while (index > 0
                && queuedRequests.get(index - 1).profile.worth() <= pending.profile.worth()) { index--; }
        queuedRequests.add(index, pending);
        scheduleQueueCheck(now);
    }

    private void decayEstimates(long now) {
        if (now - decayedAtNs > DECAY_INTERVAL_NS) {
            double retained = Math.exp((decayedAtNs - now) / RATE_MEMORY_NS);
            double retainedAverage = Math.exp((decayedAtNs - now) / KIND_MEMORY_NS);
            for (int zoneIndex = 0; zoneIndex < sendRateByZone.length; zoneIndex++) {
                sendRateByZone[zoneIndex] *= retained;
                averageShareByZone[zoneIndex] = 1 - retainedAverage * (1 - averageShareByZone[zoneIndex]);
            }
            retained = Math.exp((decayedAtNs - now) / AVERAGE_MEMORY_NS);
            recentArrivals *= retained;
            recentSent *= retained;
            recentServed *= retained;
            recentLost *= retained;
            retained = Math.exp((decayedAtNs - now) / REPORT_MEMORY_NS);
            double units = 0;
            for (Server server : servers) {
                units += server.ready() ? server.listed.units() * warmth(server, now) : 0;
                server.fresh *= retained;
                server.others = server.fresh * server.heard
                        + (1 - server.fresh) * (1 / averageShareByZone[zoneOf(server)] - 1);
            }
            inFlightShare = Math.max(MIN_IN_FLIGHT_SHARE,
                    IN_FLIGHT_PER_UNIT * units / Math.max(1, settings.balancers()));
            keyQueues.values().removeIf(keyQueue -> keyQueue.queue.isEmpty() && now >= keyQueue.restUntil);
            decayedAtNs = now;
        }
    }

    private boolean trySend(Ticket pending, long now) {
        if (pending.over) { return true; }
        if (!pending.attempts.isEmpty() && !mayRetry(pending, now)) {
            refuseOrFail(pending);
            return true;
        }
        boolean mustWait = pending.attempts.isEmpty() && !isNextOfKey(pending, now) || isThrottled()
                || isCongested(pending);
        Server server = mustWait || endIfTooLate(pending, now) ? null : selectServer(pending, now);
        if (server != null) {
            startAttempt(pending, server, now);
            return true;
        }
        congestedProfile = mustWait || !pending.attempts.isEmpty() ? congestedProfile : pending.profile;
        return endIfTooLate(pending, now);
    }

    private boolean isThrottled() {
        double allowance = Math.max(MIN_THROTTLE_ALLOWANCE,
                THROTTLED_ARRIVAL_FRACTION * recentArrivals - recentServed);
        return recentLost >= MIN_LOST_TO_THROTTLE
                && recentSent > MAX_SENT_PER_SERVED * recentServed + allowance;
    }

    private boolean isCongested(Ticket pending) {
        int profileIndex = pending.request.profile();
        return totalInFlight >= inFlightShare
                && medianByProfile[profileIndex] > Math.min(CONGESTION_FACTOR * fastByProfile[profileIndex],
                pending.profile.promiseNs() / 2.0);
    }

    private boolean endIfTooLate(Ticket pending, long now) {
        double minNs = (pending.held ? medianByProfile : fastByProfile)[pending.request.profile()];
        if (!pending.over && (pending.aim - now < Math.min(minNs, pending.profile.promiseNs() / 2.0)
                || now >= pending.deadline - QUEUE_CHECK_INTERVAL_NS - 2 * settings.stepNs())) {
            refuseOrFail(pending);
        }
        return pending.over;
    }

    private void scheduleQueueCheck(long now) {
        if (!queueCheckScheduled && !queuedRequests.isEmpty()) {
            queueCheckScheduled = true;
            actions.timer(now + QUEUE_CHECK_INTERVAL_NS, QUEUE_TOKEN);
        }
    }

    private void processQueue(long now) {
        congestedProfile = null;
        queuedRequests.removeIf(pending -> pending.profile == congestedProfile ? endIfTooLate(pending, now)
                : trySend(pending, now));
    }

    private void startAttempt(Ticket pending, Server server, long now) {
        pending.attempts.add(new Attempt(server, load(server), now));
        pending.out++;
        totalInFlight++;
        server.owedSince = server.out++ == 0 ? now : server.owedSince;
        server.tokens--;
        recentSent++;
        sendRateByZone[zoneOf(server)] += 1.0 / readyCountByZone[zoneOf(server)];
        boolean timesOutAtAim = settings.mayCancel() && pending.profile.lateShare() == 0
                && !(pending.profile.effect() == Effect.DEDUPLICATED && pending.profile.scope() == Scope.ALL);
        actions.send(pending.request.ticket(), server.id, timesOutAtAim ? Math.max(1, pending.aim - now) : 0);
    }

    private boolean mayRetry(Ticket pending, long now) {
        if (pending.over || pending.begun || now >= pending.aim
                || pending.attempts.size() >= settings.maxAttempts()
                || now >= pending.deadline - settings.stepNs()) {
            return false;
        }
        Attempt binding = bindingAttempt(pending);
        return binding == null || pending.profile.effect() == Effect.IDEMPOTENT
                || pending.profile.effect() == Effect.DEDUPLICATED
                && now - binding.sentAt < pending.profile.windowNs() - settings.connectTimeoutNs()
                        - 2 * settings.stepNs();
    }

    private void retry(Ticket pending, long now) {
        boolean wasReset = pending.attempts.get(pending.attempts.size() - 1).ended == Status.RESET;
        Attempt binding = bindingAttempt(pending);
        if ((wasReset ? resetRetryBudget : retryBudget) < 1 || !mayRetry(pending, now)
                || servers.stream().noneMatch(server -> isEligible(server, pending, binding, now))) {
            refuseOrFail(pending);
            return;
        }
        if (!trySend(pending, now)) {
            if (!wasReset) {
                refuseOrFail(pending);
                return;
            }
            enqueue(pending, now);
        }
        resetRetryBudget -= wasReset ? 1 : 0;
        retryBudget -= wasReset ? 0 : 1;
    }

    private void refuseOrFail(Ticket pending) {
        if (bindingAttempt(pending) == null || pending.profile.effect() == Effect.IDEMPOTENT
                || pending.profile.effect() == Effect.DEDUPLICATED && pending.profile.scope() == Scope.ALL) {
            actions.refuse(pending.request.ticket(), settings.maxRetryAfterNs());
        } else {
            actions.fail(pending.request.ticket());
        }
        complete(pending);
    }

    private void complete(Ticket pending) {
        pending.over = true;
        if (pending.out == 0) {
            removePending(pending);
        } else if (settings.mayCancel()) {
            actions.cancel(pending.request.ticket(), pending.attempts.size() - 1);
        }
    }

    private static boolean isNextOfKey(Ticket pending, long now) {
        return pending.turn == null || pending.turn.queue.peek() == pending && now >= pending.turn.restUntil;
    }

    private void removePending(Ticket pending) {
        pendingByTicket.remove(pending.request.ticket());
        if (pending.turn != null) { pending.turn.queue.remove(pending); }
    }

    @Override
    public void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs) {
        Ticket pending = pendingByTicket.get(ticket);
        if (pending != null) { pending.begun = true; }
    }

    @Override
    public void onOutcome(long now, Outcome outcome) {
        detectPause(now);
        Ticket pending = pendingByTicket.get(outcome.ticket());
        if (pending == null || outcome.attempt() >= pending.attempts.size()
                || pending.attempts.get(outcome.attempt()).ended != null) {
            return;
        }
        Attempt completed = pending.attempts.get(outcome.attempt());
        completed.ended = outcome.status();
        pending.out--;
        completed.to.out--;
        totalInFlight--;
        if (pending.turn != null && (outcome.status() == Status.TIMEOUT || outcome.status() == Status.RESET
                || outcome.status() == Status.CANCELLED)) {
            pending.turn.restUntil = now + settings.turnGapNs();
        }
        if (now != resumedAtNs) { updateEstimates(pending, completed, outcome, now); }
        applyReport(completed.to, now, outcome.report());
        if (outcome.over() && !pending.over) {
            complete(pending);
        } else if (pending.over && pending.out == 0) {
            removePending(pending);
        } else if (!pending.over && pending.out == 0) {
            retry(pending, now);
        }
        processQueue(now);
    }

    private void updateLatency(int zoneIndex, long elapsedNs, long now) {
        double retained = Math.exp((fastestUpdatedAtNs[zoneIndex] - now) / LATENCY_MEMORY_NS);
        fastestByZone[zoneIndex] = Math.min(elapsedNs,
                elapsedNs - retained * (elapsedNs - fastestByZone[zoneIndex]));
        fastestUpdatedAtNs[zoneIndex] = now;
        double minFastestNs = Arrays.stream(fastestByZone).min().orElse(0);
        for (int i = 0; i < latencyByZone.length; i++) {
            latencyByZone[i] = fastestByZone[i] == Double.MAX_VALUE ? 0 : fastestByZone[i] - minFastestNs;
        }
    }

    private void updateEstimates(Ticket pending, Attempt attempt, Outcome outcome, long now) {
        Server server = attempt.to;
        if (outcome.status() == Status.OK) {
            updateLatency(zoneOf(server), outcome.elapsedNs(), now);
            double serviceTimeNs = Math.max(1000, outcome.elapsedNs() - latencyByZone[zoneOf(server)])
                    / (attempt.ahead + 1);
            double medianNs = medianByProfile[pending.request.profile()] == 0 ? outcome.elapsedNs()
                    : medianByProfile[pending.request.profile()];
            medianByProfile[pending.request.profile()] = medianNs
                    * (outcome.elapsedNs() > medianNs ? 1 + QUANTILE_STEP : 1 - QUANTILE_STEP);
            double fastNs = fastByProfile[pending.request.profile()] == 0 ? outcome.elapsedNs()
                    : fastByProfile[pending.request.profile()];
            fastByProfile[pending.request.profile()] = fastNs
                    * (outcome.elapsedNs() > fastNs ? 1 + QUANTILE_STEP * FAST_QUANTILE
                    : 1 - QUANTILE_STEP * (1 - FAST_QUANTILE));
            double reportedNs = server.blind && outcome.report() != null ? 1e6 * outcome.report().recentMs()
                    : Double.NaN;
            boolean isLate = outcome.elapsedNs() > Math.max(pending.profile.promiseNs() / 2.0,
                    LATE_FACTOR * Math.max(medianNs, reportedNs));
            recentServed += isLate ? 0 : 1;
            recentLost += isLate ? 1 : 0;
            server.owedSince = now;
            server.failures = 0;
            server.ejected = false;
            int kind = server.listed.kind() & 255;
            double retained = Math.exp((server.learntAt - now) / SERVICE_TIME_MEMORY_NS);
            server.learntAt = now;
            serviceTimeNs *= warmth(server, now);
            double gain = 1 - Math.exp((kindUpdatedAtNs[kind] - now) / KIND_MEMORY_NS);
            serviceTimeByKind[kind] += gain * (serviceTimeNs - serviceTimeByKind[kind]);
            kindUpdatedAtNs[kind] = now;
            server.seen = Math.min(MAX_SERVICE_TIME_SAMPLES, server.seen * retained + 1);
            server.ownPace += (serviceTimeNs - server.ownPace) / server.seen;
            server.pace = (server.seen * server.ownPace + KIND_SAMPLES * serviceTimeByKind[kind])
                    / (server.seen + KIND_SAMPLES);
        }
        if (outcome.status() == Status.FULL || outcome.status() == Status.TIMEOUT
                || outcome.status() == Status.CANCELLED) {
            recentLost++;
        } else if (outcome.status() != Status.OK) {
            recentSent = Math.max(0, recentSent - 1);
        }
        if (outcome.status() == Status.FULL) {
            updateAverageShare(zoneOf(server), Math.max(minPromiseNs, outcome.elapsedNs()) / server.pace,
                    now);
        }
        if (outcome.status() != Status.OK && outcome.status() != Status.MOOT
                && outcome.status() != Status.TIMEOUT
                && outcome.status() != Status.CANCELLED) {
            server.owedSince = now;
            if (++server.failures >= EJECTION_FAILURES || outcome.status() == Status.CONNECT_FAILED) {
                eject(server, now);
            }
        }
    }

    @Override
    public void onWithdrawn(long now, int ticket) {
        Ticket pending = pendingByTicket.get(ticket);
        if (pending != null && !pending.over) { complete(pending); }
    }

    @Override
    public void onTimer(long now, long token) {
        detectPause(now);
        if (token == HEARTBEAT_TOKEN) {
            actions.timer(now + HEARTBEAT_INTERVAL_NS, HEARTBEAT_TOKEN);
        } else if (token == QUEUE_TOKEN) {
            queueCheckScheduled = false;
            processQueue(now);
            scheduleQueueCheck(now);
        } else if (token == lastCallToken) {
            callDiscovery(now);
        }
    }
}
