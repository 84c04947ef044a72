package dewstage;

import dewstage.Balancer.Effect;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.Outcome;
import dewstage.Balancer.Profile;
import dewstage.Balancer.Report;
import dewstage.Balancer.Request;
import dewstage.Balancer.Scope;
import dewstage.Balancer.Settings;
import dewstage.Balancer.State;
import dewstage.Balancer.Status;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates a fleet on one virtual clock: many instances of the decision module, and servers that process one
 * request at a time. Requests arrive at random; one proxy in ten receives a multiple of the mean load.
 */
final class FleetRig {
    static final double SECOND_NS = 1e9;
    /** Load of a hot proxy, as a multiple of the mean. */
    private static final double HOT_PROXY_LOAD = 4;
    private static final double HOT_PROXY_FRACTION = 0.1;
    /** Time constant of the reported utilization. */
    private static final double UTILIZATION_WINDOW_NS = 0.5e9;

    /** Size and load of the fleet, throughput of a warm server, and the settings for cold servers. */
    record Deployment(int proxyCount, int serverCount, double requestsPerSecond, double load,
            double startCapacity, double coldNs, double tipMultiple, double fallNs) {
        /** Returns the fraction of its capacity that a server of this age has. */
        double warmFraction(double ageNs) {
            return ageNs >= coldNs ? 1 : startCapacity + (1 - startCapacity) * ageNs / coldNs;
        }

        /** Returns the budget of a cold server of this age within fallNs, plus an allowance for chance. */
        double maxRequests(double ageNs) {
            double expected = tipMultiple * warmFraction(ageNs) * requestsPerSecond * fallNs / SECOND_NS;
            return expected + 2 * Math.sqrt(expected) + 2;
        }
    }

    private record Event(long dueNs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return dueNs != other.dueNs ? Long.compare(dueNs, other.dueNs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final Deployment deployment;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<Integer, Backend> backends = new HashMap<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private long now = 1_000_000_000_000L;
    private long nextSequence;

    FleetRig(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < deployment.serverCount(); i++) {
            backends.put(i, new Backend(i, 0));
        }
        for (int i = 0; i < deployment.proxyCount(); i++) {
            proxies.add(new Proxy(i));
        }
        proxies.forEach(Proxy::start);
    }

    private void schedule(long dueNs, Runnable action) {
        events.add(new Event(dueNs, nextSequence++, action));
    }

    /** Advances the clock and runs the events that are due. */
    void advance(double seconds) {
        long endNs = now + (long) (seconds * SECOND_NS);
        while (!events.isEmpty() && events.peek().dueNs <= endNs) {
            Event event = events.poll();
            now = Math.max(now, event.dueNs);
            event.action.run();
        }
        now = endNs;
    }

    /** Starts the servers of these ids, replacing those that exist, and updates the list of every proxy. */
    void startServers(int from, int to) {
        for (int i = from; i < to; i++) {
            backends.put(i, new Backend(i, now));
        }
        proxies.forEach(proxy -> proxy.updateMembers(ListKind.DELTA));
    }

    /** Restarts all proxies at once. */
    void restartProxies() {
        proxies.forEach(Proxy::restart);
    }

    /**
     * Returns the largest fraction of its budget that a server received in any window of fallNs that began
     * while it was cold; 1 is the whole budget.
     */
    double maxBudgetFraction(int server) {
        Backend backend = backends.get(server);
        Deque<Long> window = new ArrayDeque<>();
        double maxFraction = 0;
        for (long arrivalNs : backend.arrivalTimes) {
            window.addLast(arrivalNs);
            while (arrivalNs - window.peekFirst() > deployment.fallNs()) {
                window.removeFirst();
            }
            double ageNs = window.peekFirst() - backend.bootNs;
            if (ageNs < deployment.coldNs()) {
                maxFraction = Math.max(maxFraction, window.size() / deployment.maxRequests(ageNs));
            }
        }
        return maxFraction;
    }

    /** A server that processes one request at a time, more slowly while cold. */
    private final class Backend {
        final int id;
        final long bootNs;
        final List<Long> arrivalTimes = new ArrayList<>();
        long idleAtNs;
        int inFlight;
        double utilization;
        long utilizationAtNs;

        Backend(int id, long bootNs) {
            this.id = id;
            this.bootNs = bootNs;
        }

        double ageNs() {
            return bootNs == 0 ? deployment.coldNs() : now - bootNs;
        }

        /** Accepts a request and returns the time of its answer. */
        long accept() {
            arrivalTimes.add(now);
            inFlight++;
            long serviceTimeNs = (long) (SECOND_NS / deployment.requestsPerSecond()
                    / deployment.warmFraction(ageNs()) * (0.5 + random.nextDouble()));
            idleAtNs = Math.max(now, idleAtNs) + serviceTimeNs;
            return idleAtNs;
        }

        Report report() {
            double retained = Math.exp((utilizationAtNs - now) / UTILIZATION_WINDOW_NS);
            utilization = retained * utilization + (1 - retained) * (inFlight > 0 ? 1 : 0);
            utilizationAtNs = now;
            return new Report(inFlight, Double.NaN, utilization, Double.NaN, Double.NaN, Double.NaN);
        }

        Member member() {
            return new Member(id, 0, State.READY, bootNs, 0, 0, 1);
        }
    }

    /** A proxy with its load of requests. */
    private final class Proxy extends IgnoredActions {
        private final int me;
        private final Settings settings;
        private final double meanGapNs;
        private Balancer policy;
        /** Number of starts: events of an earlier instance of the module are dropped. */
        private int incarnation;
        private int lastTicket;
        private final Map<Integer, Integer> attemptsByTicket = new HashMap<>();

        Proxy(int me) {
            this.me = me;
            long promiseNs = (long) (8 / deployment.requestsPerSecond() * SECOND_NS);
            this.settings = new Settings(me, deployment.proxyCount(), 0,
                    List.of(new Profile(Effect.IDEMPOTENT, Scope.ALL, 0, promiseNs, 3 * promiseNs, 5, 0.3,
                            false, false)), false, true, 4, (long) SECOND_NS, deployment.startCapacity(),
                    (long) deployment.coldNs(), deployment.tipMultiple(), (long) deployment.fallNs(), 0,
                    5_000_000L, 0.1, false, 0, 60_000_000L);
            double meanRate = deployment.load() * deployment.serverCount() * deployment.requestsPerSecond()
                    / deployment.proxyCount();
            double relativeLoad = me < deployment.proxyCount() * HOT_PROXY_FRACTION ? HOT_PROXY_LOAD
                    : (1 - HOT_PROXY_LOAD * HOT_PROXY_FRACTION) / (1 - HOT_PROXY_FRACTION);
            this.meanGapNs = SECOND_NS / (meanRate * relativeLoad);
        }

        void start() {
            restart();
            schedule(now + nextGapNs(), this::submitRequest);
        }

        void restart() {
            incarnation++;
            policy = new Policy(settings, random.nextLong(), now, this);
            updateMembers(ListKind.FULL);
        }

        void updateMembers(ListKind kind) {
            policy.onMembers(now, kind, 1, backends.values().stream().map(Backend::member).toList());
        }

        private long nextGapNs() {
            return (long) (-Math.log(1 - random.nextDouble()) * meanGapNs);
        }

        private void submitRequest() {
            int newTicket = ++lastTicket;
            policy.onRequest(now, new Request(newTicket, 0, 0, 0, settings.profiles().get(0).giveUpNs(), 0,
                    false));
            schedule(now + nextGapNs(), this::submitRequest);
        }

        @Override
        public void send(int ticket, int server, long timeoutNs) {
            int attempt = attemptsByTicket.merge(ticket, 1, Integer::sum) - 1;
            Backend backend = backends.get(server);
            long sentAtNs = now;
            int incarnationAtSend = incarnation;
            long answerNs = backend.accept();
            long timeoutAtNs = timeoutNs > 0 ? now + timeoutNs : Long.MAX_VALUE;
            schedule(answerNs, () -> backend.inFlight--);
            schedule(Math.min(answerNs, timeoutAtNs), () -> {
                if (incarnationAtSend == incarnation) {
                    policy.onOutcome(now, new Outcome(ticket, attempt, server,
                            answerNs <= timeoutAtNs ? Status.OK : Status.TIMEOUT, now - sentAtNs,
                            answerNs <= timeoutAtNs, answerNs <= timeoutAtNs ? backend.report() : null));
                }
            });
        }

        @Override
        public void timer(long dueNs, long token) {
            int incarnationAtStart = incarnation;
            schedule(Math.max(now, dueNs), () -> {
                if (incarnationAtStart == incarnation) {
                    policy.onTimer(now, token);
                }
            });
        }
    }
}
