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
    private final IntMap<Ticket> pendingByTicket = new IntMap<>();
    private final Map<Long, Turn> keyQueues = new HashMap<>();
    /** Queued requests in descending order of worth; of equal worth the newest first. */
    private final List<Ticket> waiting = new ArrayList<>();

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
            server.named &= kind == ListKind.DELTA;
        }
        for (Member entry : members) {
            Server server = serversById.get(entry.id());
            if (server == null || entry.bootNs() > server.bootNs) { server = registerStarted(entry, now); }
            server.listed = entry;
            server.named = true;
        }
        Arrays.fill(readyCounts, 0);
        servers.sort(Comparator.comparingInt(server -> server.id));
        for (Iterator<Server> remaining = servers.iterator(); remaining.hasNext();) {
            Server server = remaining.next();
            server.rank = readyCounts[zoneIndex(server)];
            readyCounts[zoneIndex(server)] += server.ready() ? 1 : 0;
            if (server.out == 0 && (!server.named || server.listed.state() == State.GONE)) {
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

    private static int zoneIndex(Server server) {
        return server.listed.zone() & 255;
    }

    private double warmFraction(Server server, long now) {
        double coldFraction = (now - server.bootNs) / (double) settings.coldNs();
        return server.bootNs <= 0 || coldFraction >= 1 ? 1
                : settings.startCapacity() + (1 - settings.startCapacity()) * Math.max(0, coldFraction);
    }

    private void applyReport(Server server, long now, Report report) {
        if (report == null) { return; }
        server.blind = !Double.isFinite(report.inflight());
        double reported = Double.isFinite(report.inflight()) ? report.inflight() : report.queue();
        if (reported >= 0 && reported < MAX_REPORTED_IN_FLIGHT
                && (reported != server.held || report.util() != server.util)) {
            server.held = reported;
            server.util = report.util();
            double otherLoad = Math.max(0, reported - server.out) / server.parallel;
            server.heard += REPORT_GAIN * (otherLoad - server.heard);
            server.others = server.heard;
            server.fresh = 1;
            updateZoneLoad(zoneIndex(server), otherLoad, now);
        }
        if (report.perSecond() > 0 && report.util() > 0 && report.perSecond() != server.told) {
            server.told = report.perSecond();
            server.rate += PARALLELISM_GAIN * (report.perSecond() - server.rate);
            server.busy += PARALLELISM_GAIN * (Math.min(1, report.util()) - server.busy);
            server.parallel = Math.max(1, server.rate / server.busy * server.pace / 1e9);
            meanParallelism += PARALLELISM_GAIN * (server.parallel - meanParallelism);
        }
        if (now - server.renewedAt >= FACTOR_UPDATE_INTERVAL_NS) {
            if (Double.isFinite(report.util())) {
                server.spare += REPORT_GAIN * (1 - Math.max(0, Math.min(1, report.util())) - server.spare);
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
        server.renewedAt = now;
        server.factor = minPromiseNs / server.pace * server.parallel
                * Math.max(MIN_SPARE_FRACTION, server.spare) * warmFraction(server, now);
    }

    private static double load(Server server) {
        return server.out / server.parallel + server.others;
    }

    private static double weight(Server server) {
        double occupancy = 1 + load(server);
        return server.factor / (occupancy * occupancy * occupancy * occupancy);
    }

    private boolean isUnresponsive(Server server, long now) {
        return server.out > 0
                && now - server.owedSince > minPromiseNs * UNRESPONSIVE_PROMISE_FRACTION
                + networkLatencyNs[zoneIndex(server)]
                + UNRESPONSIVE_GAPS * server.pace * (1 + server.others / server.out);
    }

    private void eject(Server server, long now) {
        long readyCount = servers.stream().filter(Server::ready).count();
        long ejectedCount = servers.stream().filter(other -> other.ready() && other.ejected).count();
        if (server.ejected || ejectedCount + 1 <= readyCount * MAX_EJECTED_FRACTION) {
            server.trialPause = server.ejected ? Math.min(server.trialPause * 2, 4 * FIRST_TRIAL_DELAY_NS)
                    : FIRST_TRIAL_DELAY_NS;
            server.trialAt = now + server.trialPause;
            server.ejected = true;
        }
    }

    private void ejectWithImmediateTrial(Server server, long now) {
        eject(server, now);
        server.trialAt = now;
        server.trialPause = FIRST_TRIAL_DELAY_NS / 2;
    }

    private boolean hasColdBudget(Server server, long now) {
        double warmFraction = warmFraction(server, now);
        if (warmFraction >= 1) { return true; }
        double memoryNs = SEND_RATE_MEMORY_NS
                * (1 - Math.exp(-Math.max(MIN_SEND_RATE_PERIOD_NS, now - startedAtNs) / SEND_RATE_MEMORY_NS));
        double ownSendsPerNs = sendsPerServer[zoneIndex(server)] / memoryNs
                * Math.max(1, readyCounts[zoneIndex(server)] / subsetSize());
        double idleFraction = Math.min(1, 2 * Math.max(MIN_SPARE_FRACTION, server.spare));
        double tokensPerNs = COLD_BUDGET_FRACTION * idleFraction
                * Math.max(ownSendsPerNs * settings.tipMultiple() * warmFraction,
                1.0 / settings.fallNs() / Math.max(1, settings.balancers()));
        server.tokens = Math.min(Math.max(1, tokensPerNs * settings.fallNs() / 2),
                server.tokens + tokensPerNs * (now - server.tokensAt));
        server.tokensAt = now;
        return server.tokens >= 1;
    }

    private double subsetSize() {
        double reportingServers = recentArrivals * minPromiseNs / LOAD_MEMORY_NS / REPORTS_PER_PROMISE;
        return Math.max(reportingServers,
                MIN_SUBSET_SIZE * Math.max(1, servers.size() / (double) settings.balancers()));
    }

    private Attempt bindingAttempt(Ticket pending) {
        for (Attempt attempt : pending.attempts) {
            boolean certainlyNeverRan = attempt.ended != null && attempt.ended.neverRan
                    && !(attempt.ended == Status.FULL && settings.fullIsNoProof());
            if (!certainlyNeverRan) { return attempt; }
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
        return zoneIndex(server) == zoneIndex(binding.to)
                && (pending.profile.scope() == Scope.ZONE
                || server.listed.cell() == binding.to.listed.cell());
    }

    private Server pick(Ticket pending, long now) {
        Server server = pick(pending, pending.attempts.size() > 0, now);
        return server == null && minServiceTimeNs == Double.MAX_VALUE ? pick(pending, true, now) : server;
    }

    private Server pick(Ticket pending, boolean isWide, long now) {
        Arrays.fill(totalWeights, 0);
        Arrays.fill(weightedTimesNs, 0);
        Arrays.fill(openWeights, 0);
        minServiceTimeNs = Double.MAX_VALUE;
        double maxWorkNs = (pending.aim - now) * MAX_WORK_AHEAD_FRACTION;
        withCapacity.clear();
        Attempt binding = bindingAttempt(pending);
        double width = isWide ? Double.MAX_VALUE : subsetSize();
        for (Server server : servers) {
            int side = zoneIndex(server) == settings.zone() ? 0 : 1;
            if (!(windowPositions.get(server) * readyCounts[zoneIndex(server)] < width - side
                    && isEligible(server, pending, binding, now))) { continue; }
            if (!server.ejected && isUnresponsive(server, now)) { ejectWithImmediateTrial(server, now); }
            if (server.ejected) {
                if (now >= server.trialAt && binding == null
                        && (server.out == 0 || pending.profile.effect() != Effect.AT_MOST_ONCE)) {
                    eject(server, now);
                    return server;
                }
                continue;
            }
            double currentTimeNs = server.pace / warmFraction(server, now);
            minServiceTimeNs = Math.min(minServiceTimeNs, server.pace);
            totalWeights[side] += weight(server);
            double waitFactor = server.blind ? 1 / Math.max(MIN_SPARE_FRACTION, server.spare) : 1;
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
                server.tally += weight(server) / totalOpenWeight;
                best = best == null || server.tally > best.tally ? server : best;
            }
        }
        if (best != null) { best.tally--; }
        return best;
    }

    private double expectedLoss(int side, Ticket pending, long now) {
        double expectedTimeNs = totalWeights[side] > 0 ? weightedTimesNs[side] / totalWeights[side]
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
        Ticket pending = new Ticket(request, profile, targetTimeNs(request, profile, now),
                now + request.leftNs());
        pendingByTicket.put(request.ticket(), pending);
        if (pending.profile.sequential() && request.key() != 0) {
            pending.turn = keyQueues.computeIfAbsent(request.key(), k -> new Turn());
            pending.turn.queue.add(pending);
        }
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRIES_PER_REQUEST);
        resendBudget = Math.min(MAX_RESEND_BUDGET, resendBudget + RESENDS_PER_REQUEST);
        if (!trySend(pending, now)) { enqueue(pending, now); }
    }

    private void enqueue(Ticket pending, long now) {
        pending.held = true;
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
                units += server.ready() ? server.listed.units() * warmFraction(server, now) : 0;
                server.fresh *= retained;
                server.others = server.fresh * server.heard
                        + (1 - server.fresh) * (1 / averageShares[zoneIndex(server)] - 1);
            }
            inFlightLimit = Math.max(MIN_IN_FLIGHT_LIMIT,
                    IN_FLIGHT_PER_UNIT * units / Math.max(1, settings.balancers()));
            keyQueues.values().removeIf(keyQueue -> keyQueue.queue.isEmpty() && now >= keyQueue.restUntil);
            decayedAtNs = now;
        }
    }

    private boolean trySend(Ticket pending, long now) {
        if (pending.over) { return true; }
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

    private boolean isOverInFlightLimit(Ticket pending) {
        int profileIndex = pending.request.profile();
        return totalInFlight >= inFlightLimit
                && medianResponseNs[profileIndex] > Math.min(SLOW_MULTIPLE * quickResponseNs[profileIndex],
                pending.profile.promiseNs() / 2.0);
    }

    private boolean finishIfTooLate(Ticket pending, long now) {
        double minTimeNs = (pending.held ? medianResponseNs : quickResponseNs)[pending.request.profile()];
        if (!pending.over && (pending.aim - now < Math.min(minTimeNs, pending.profile.promiseNs() / 2.0)
                || now >= pending.deadline - WAITING_CHECK_INTERVAL_NS - 2 * settings.stepNs())) {
            finishUnserved(pending);
        }
        return pending.over;
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

    private void send(Ticket pending, Server server, long now) {
        pending.attempts.add(new Attempt(server, load(server), now));
        pending.out++;
        totalInFlight++;
        server.owedSince = server.out++ == 0 ? now : server.owedSince;
        server.tokens--;
        recentSends++;
        sendsPerServer[zoneIndex(server)] += 1.0 / readyCounts[zoneIndex(server)];
        boolean isCancelledWhenLate = settings.mayCancel() && pending.profile.lateShare() == 0
                && !(pending.profile.effect() == Effect.DEDUPLICATED && pending.profile.scope() == Scope.ALL);
        actions.send(pending.request.ticket(), server.id, isCancelledWhenLate ? Math.max(1, pending.aim - now)
                : 0);
    }

    private boolean mayAttempt(Ticket pending, long now) {
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

    private void retryOrFinish(Ticket pending, long now) {
        boolean wasReset = pending.attempts.get(pending.attempts.size() - 1).ended == Status.RESET;
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

    private void finishUnserved(Ticket pending) {
        if (bindingAttempt(pending) == null || pending.profile.effect() == Effect.IDEMPOTENT
                || pending.profile.effect() == Effect.DEDUPLICATED && pending.profile.scope() == Scope.ALL) {
            actions.refuse(pending.request.ticket(), settings.maxRetryAfterNs());
        } else {
            actions.fail(pending.request.ticket());
        }
        finish(pending);
    }

    private void finish(Ticket pending) {
        pending.over = true;
        if (pending.out == 0) {
            discard(pending);
        } else if (settings.mayCancel()) {
            actions.cancel(pending.request.ticket(), pending.attempts.size() - 1);
        }
    }

    private static boolean isNextOfKey(Ticket pending, long now) {
        return pending.turn == null || pending.turn.queue.peek() == pending && now >= pending.turn.restUntil;
    }

    private void discard(Ticket pending) {
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
        if (now != resumedAtNs) { learnFromOutcome(pending, completed, outcome, now); }
        applyReport(completed.to, now, outcome.report());
        if (outcome.over() && !pending.over) {
            finish(pending);
        } else if (pending.over && pending.out == 0) {
            discard(pending);
        } else if (!pending.over && pending.out == 0) {
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

    private void learnFromOutcome(Ticket pending, Attempt attempt, Outcome outcome, long now) {
        Server server = attempt.to;
        if (outcome.status() == Status.OK) {
            updateNetworkLatency(zoneIndex(server), outcome.elapsedNs(), now);
            double sampleNs = Math.max(1000, outcome.elapsedNs() - networkLatencyNs[zoneIndex(server)])
                    / (attempt.ahead + 1);
            double medianNs = medianResponseNs[pending.request.profile()] == 0 ? outcome.elapsedNs()
                    : medianResponseNs[pending.request.profile()];
            medianResponseNs[pending.request.profile()] = medianNs
                    * (outcome.elapsedNs() > medianNs ? 1 + QUANTILE_STEP : 1 - QUANTILE_STEP);
            double quickNs = quickResponseNs[pending.request.profile()] == 0 ? outcome.elapsedNs()
                    : quickResponseNs[pending.request.profile()];
            quickResponseNs[pending.request.profile()] = quickNs
                    * (outcome.elapsedNs() > quickNs ? 1 + QUANTILE_STEP * QUICK_QUANTILE
                    : 1 - QUANTILE_STEP * (1 - QUICK_QUANTILE));
            double reportedTimeNs = server.blind && outcome.report() != null
                    ? 1e6 * outcome.report().recentMs() : Double.NaN;
            boolean isLate = outcome.elapsedNs() > Math.max(pending.profile.promiseNs() / 2.0,
                    LATE_MULTIPLE * Math.max(medianNs, reportedTimeNs));
            recentServed += isLate ? 0 : 1;
            recentLost += isLate ? 1 : 0;
            server.owedSince = now;
            server.failures = 0;
            server.ejected = false;
            int kind = server.listed.kind() & 255;
            double retained = Math.exp((server.learntAt - now) / SERVICE_TIME_MEMORY_NS);
            server.learntAt = now;
            sampleNs *= warmFraction(server, now);
            double gain = 1 - Math.exp((kindLastAnswerAtNs[kind] - now) / KIND_MEMORY_NS);
            kindServiceTimeNs[kind] += gain * (sampleNs - kindServiceTimeNs[kind]);
            kindLastAnswerAtNs[kind] = now;
            server.seen = Math.min(SERVICE_TIME_ANSWERS, server.seen * retained + 1);
            server.ownPace += (sampleNs - server.ownPace) / server.seen;
            server.pace = (server.seen * server.ownPace + KIND_ANSWERS * kindServiceTimeNs[kind])
                    / (server.seen + KIND_ANSWERS);
        }
        if (outcome.status() == Status.FULL || outcome.status() == Status.TIMEOUT
                || outcome.status() == Status.CANCELLED) {
            recentLost++;
        } else if (outcome.status() != Status.OK) {
            recentSends = Math.max(0, recentSends - 1);
        }
        if (outcome.status() == Status.FULL) {
            updateZoneLoad(zoneIndex(server), Math.max(minPromiseNs, outcome.elapsedNs()) / server.pace, now);
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
        if (pending != null && !pending.over) { finish(pending); }
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
