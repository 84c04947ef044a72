package dewstage.scale;

import dewstage.Balancer;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.Outcome;
import dewstage.Balancer.Report;
import dewstage.Balancer.Request;
import dewstage.Balancer.Settings;
import dewstage.Balancer.Status;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/**
 * Runs one module on a virtual clock, without sockets or waiting: requests arrive at the rate of a proxy in
 * service, synthetic backends respond by a rule and timers fire as the module requested. A stopwatch measures
 * the calls of the module and nothing else.
 */
final class VirtualHost implements Balancer.Actions {
    /** A proxy's share of the target's 1.3 million requests a second. */
    static final int REQUESTS_PER_SECOND = 245;
    private static final long SECOND_NS = 1_000_000_000;
    private static final long REQUEST_INTERVAL_NS = SECOND_NS / REQUESTS_PER_SECOND;
    /** Mean response time of a served attempt. */
    private static final long SERVED_NS = 20_000_000;
    /** Mean network round trip of a failed attempt. */
    private static final long FAILED_NS = 2_000_000;
    /** Start of the virtual clock; any time but 0, which means long ago. */
    private static final long START_NS = 1_000_000_000_000L;
    /** Of ten requests one is keyed and one is unsafe to repeat; the others are safe. */
    private static final int MIX_PERIOD = 10;
    /** Profile of a keyed request, and the remainder of its ticket. */
    private static final int KEYED_PROFILE = 1;
    /** Profile of a request that is unsafe to repeat, and the remainder of its ticket. */
    private static final int UNSAFE_PROFILE = 2;

    /** The kinds of calls whose cost is measured. */
    enum Call { REQUEST, OUTCOME, TIMER, MEMBERS }

    /** An event to run at a time; events of the same time run in the order of their sequence numbers. */
    private record ScheduledEvent(long atNs, long sequence, Runnable action) { }

    private final Settings settings;
    private final LongSupplier stopwatch;
    private final SplittableRandom random;
    private final Balancer module;
    private final PriorityQueue<ScheduledEvent> scheduledEvents =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledEvent::atNs)
                    .thenComparingLong(ScheduledEvent::sequence));
    private final Map<Call, Long> costsNs = new EnumMap<>(Call.class);
    private final Map<Call, Long> callCounts = new EnumMap<>(Call.class);
    private final Map<Integer, Integer> attemptsByTicket = new HashMap<>();
    private final Map<Integer, Integer> inFlightByServer = new HashMap<>();
    private final Set<Integer> usedServers = new HashSet<>();
    private ResponseRule responseRule = ResponseRule.SERVED;
    private long nowNs = START_NS;
    private long nextSequence;
    private long sendCount;
    private long digest;
    private int lastTicket;
    private int served;
    private int rejected;

    VirtualHost(Balancer.Factory factory, Settings settings, long seed, LongSupplier stopwatch) {
        this.settings = settings;
        this.stopwatch = stopwatch;
        this.random = new SplittableRandom(seed);
        this.module = factory.create(settings, seed, nowNs, this);
    }

    long nowNs() {
        return nowNs;
    }

    /** Sets the rule for the responses to later attempts. */
    void respondBy(ResponseRule rule) {
        responseRule = rule;
    }

    void applyMembers(ListKind kind, List<Member> members) {
        measure(Call.MEMBERS, () -> module.onMembers(nowNs, kind, 1, members));
    }

    /** Delivers the given number of requests, each after all events that are due before it. */
    void runRequests(int count) {
        for (int i = 0; i < count; i++) {
            long arrivalNs = nowNs + REQUEST_INTERVAL_NS;
            while (!scheduledEvents.isEmpty() && scheduledEvents.peek().atNs() <= arrivalNs) {
                ScheduledEvent next = scheduledEvents.poll();
                nowNs = next.atNs();
                next.action().run();
            }
            nowNs = arrivalNs;
            deliverRequest();
        }
    }

    private void deliverRequest() {
        int ticket = ++lastTicket;
        int profile = ticket % MIX_PERIOD == KEYED_PROFILE ? KEYED_PROFILE
                : ticket % MIX_PERIOD == UNSAFE_PROFILE ? UNSAFE_PROFILE : 0;
        Request request = new Request(ticket, profile, 0, 0, settings.profiles().get(profile).giveUpNs(), 0,
                false);
        attemptsByTicket.put(ticket, 0);
        measure(Call.REQUEST, () -> module.onRequest(nowNs, request));
    }

    private void measure(Call call, Runnable moduleCall) {
        long startNs = stopwatch.getAsLong();
        moduleCall.run();
        long costNs = stopwatch.getAsLong() - startNs;
        costsNs.merge(call, costNs, Long::sum);
        callCounts.merge(call, 1L, Long::sum);
    }

    /** Returns and resets the total cost of the calls of one kind. */
    long takeCostNs(Call call) {
        Long sum = costsNs.remove(call);
        callCounts.remove(call);
        return sum == null ? 0 : sum;
    }

    /** Returns the mean cost of the calls of one kind and resets it; 0 if there was none. */
    double takeMeanCostNs(Call call) {
        long count = callCounts.getOrDefault(call, 0L);
        return count == 0 ? 0 : (double) takeCostNs(call) / count;
    }

    void resetCosts() {
        costsNs.clear();
        callCounts.clear();
    }

    /** Returns the number of requests served so far. */
    int served() {
        return served;
    }

    /** Returns the number of requests that the module refused or failed so far. */
    int rejected() {
        return rejected;
    }

    /** Returns the number of servers that received an attempt so far. */
    int usedServerCount() {
        return usedServers.size();
    }

    /** Returns a hash of the module's actions in order: equal if the module made the same decisions. */
    long digest() {
        return digest;
    }

    private void addToDigest(int action, int ticket) {
        digest = (digest * 31 + action) * 31 + ticket;
    }

    private void schedule(long atNs, Runnable action) {
        scheduledEvents.add(new ScheduledEvent(Math.max(nowNs, atNs), nextSequence++, action));
    }

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        addToDigest(server, ticket);
        usedServers.add(server);
        int attempt = attemptsByTicket.merge(ticket, 1, Integer::sum) - 1;
        inFlightByServer.merge(server, 1, Integer::sum);
        Status status = responseRule.statusOf(server, ++sendCount);
        long durationNs = (long) ((status == Status.OK ? SERVED_NS : FAILED_NS)
                * (0.5 + random.nextDouble()));
        long sentAtNs = nowNs;
        schedule(nowNs + durationNs, () -> deliverOutcome(ticket, attempt, server, status, nowNs - sentAtNs));
    }

    private void deliverOutcome(int ticket, int attempt, int server, Status status, long elapsedNs) {
        boolean isFinished = status == Status.OK || !attemptsByTicket.containsKey(ticket);
        if (status == Status.OK && attemptsByTicket.remove(ticket) != null) { served++; }
        int serverInFlight = inFlightByServer.merge(server, -1, Integer::sum);
        // The load from other proxies and the utilization vary a little between responses.
        Report report = new Report(serverInFlight + random.nextInt(2), 0, 0.2 + 0.4 * random.nextDouble(),
                Double.NaN, Double.NaN, Double.NaN);
        Outcome outcome = new Outcome(ticket, attempt, server, status, elapsedNs, isFinished,
                status == Status.CONNECT_FAILED ? null : report);
        measure(Call.OUTCOME, () -> module.onOutcome(nowNs, outcome));
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        reject(ticket);
    }

    @Override
    public void fail(int ticket) {
        reject(ticket);
    }

    private void reject(int ticket) {
        addToDigest(-1, ticket);
        if (attemptsByTicket.remove(ticket) != null) { rejected++; }
    }

    @Override
    public void cancel(int ticket, int attempt) {
        addToDigest(-2, ticket); // too late to have an effect: the response is already scheduled
    }

    @Override
    public void timer(long at, long token) {
        schedule(at, () -> measure(Call.TIMER, () -> module.onTimer(nowNs, token)));
    }

    @Override
    public void probe(int server) {
        throw new UnsupportedOperationException("probes are not supported");
    }

    @Override
    public void closeIdle(int server) {
        addToDigest(-3, server);
    }

    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("peer messages are not supported");
    }

    @Override
    public void log(String line) {
        System.err.println(line);
    }

    @Override
    public void subscribe(boolean on) {
        addToDigest(-4, on ? 1 : 0);
    }

    @Override
    public void reload() {
        addToDigest(-5, 0);
    }
}
