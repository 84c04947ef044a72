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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Drives one instance of the decision module on a virtual clock. Records its actions, delivers its timers and
 * reports the outcomes of its attempts.
 */
final class Rig implements Balancer.Actions {
    static final long MS = 1_000_000L;
    static final long CONNECT_TIMEOUT_MS = 60;
    static final Profile IDEMPOTENT_PROFILE = profile(Effect.IDEMPOTENT, Scope.ALL, 0);
    static final Profile DEDUPLICATED_PROFILE = profile(Effect.DEDUPLICATED, Scope.ALL, 2000);
    static final Profile ZONE_DEDUPLICATED_PROFILE = profile(Effect.DEDUPLICATED, Scope.ZONE, 400);
    static final Profile AT_MOST_ONCE_PROFILE = profile(Effect.AT_MOST_ONCE, Scope.ALL, 0);
    static final Profile SEQUENTIAL_IDEMPOTENT_PROFILE = sequential(IDEMPOTENT_PROFILE);
    static final Profile SEQUENTIAL_AT_MOST_ONCE_PROFILE = sequential(AT_MOST_ONCE_PROFILE);

    final List<String> actions = new ArrayList<>();
    /** For each ticket the servers of its attempts, in order. */
    final Map<Integer, List<Integer>> serversByTicket = new HashMap<>();
    /** For each ticket its final answer; a second refusal or failure is appended to it. */
    final Map<Integer, String> answers = new HashMap<>();
    /** Pending timers: due time and token. */
    final PriorityQueue<long[]> timers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    final Policy policy;
    long now = 1_000_000_000_000L;
    long lastTimeoutNs;
    private int lastTicket;

    Rig(Settings settings) {
        this(settings, 7);
    }

    Rig(Settings settings, long seed) {
        policy = new Policy(settings, seed, now, this);
    }

    static Profile profile(Effect effect, Scope scope, long windowMs) {
        return new Profile(effect, scope, windowMs * MS, 250 * MS, 1000 * MS, 5, 0, false, false);
    }

    private static Profile sequential(Profile profile) {
        return new Profile(profile.effect(), profile.scope(), profile.windowNs(), profile.promiseNs(),
                profile.giveUpNs(), profile.worth(), profile.lateShare(), profile.streamed(), true);
    }

    static Settings settings(boolean askForList, Profile... profiles) {
        return settings(0, 3, askForList, profiles);
    }

    static Settings settings(int me, int balancers, boolean askForList, Profile... profiles) {
        return settings(me, balancers, askForList, false, profiles);
    }

    /** Settings where FULL does not prove that an attempt never ran, with a key cool-down of 300 ms. */
    static Settings strictSettings(Profile... profiles) {
        return settings(0, 3, false, true, profiles);
    }

    private static Settings settings(int me, int balancers, boolean askForList, boolean strict,
            Profile... profiles) {
        return new Settings(me, balancers, 0, List.of(profiles), askForList, true, 4, 1000 * MS, 0.3,
                9000 * MS, 3, 2000 * MS, askForList ? 10_000 * MS : 0, 5 * MS, 0.1, strict,
                strict ? 300 * MS : 0, CONNECT_TIMEOUT_MS * MS);
    }

    static Member member(int id, int zone, State state) {
        return new Member(id, 0, state, 0, zone, zone, 1);
    }

    static Member[] readyMembers(int count) {
        Member[] members = new Member[count];
        for (int i = 0; i < count; i++) {
            members[i] = member(i, 0, State.READY);
        }
        return members;
    }

    Rig updateMembers(ListKind kind, Member... members) {
        policy.onMembers(now, kind, 1, List.of(members));
        return this;
    }

    /** Submits a new request and returns its ticket. */
    int request(int profile, long remainingMs) {
        return request(profile, remainingMs, 0);
    }

    int request(int profile, long remainingMs, long key) {
        return submit(profile, remainingMs, key, false);
    }

    /** Submits a request marked as a client's repeat and returns its ticket. */
    int repeat(int profile, long remainingMs) {
        return submit(profile, remainingMs, 0, true);
    }

    private int submit(int profile, long remainingMs, long key, boolean repeat) {
        int ticket = ++lastTicket;
        policy.onRequest(now, new Request(ticket, profile, 0, key, remainingMs * MS, 0, repeat));
        return ticket;
    }

    int request() {
        return request(0, 1000);
    }

    /** Returns the server of an attempt, which is numbered from 0. */
    int server(int ticket, int attempt) {
        return serversByTicket.get(ticket).get(attempt);
    }

    int attemptCount(int ticket) {
        return serversByTicket.getOrDefault(ticket, List.of()).size();
    }

    /** Reports the outcome of an attempt to the module. */
    void complete(int ticket, int attempt, Status status, long elapsedMs, Report report) {
        boolean finished = status == Status.OK || answers.containsKey(ticket);
        policy.onOutcome(now, new Outcome(ticket, attempt, server(ticket, attempt), status, elapsedMs * MS,
                finished, report));
        if (status == Status.OK) {
            answers.putIfAbsent(ticket, "served");
        }
    }

    /** Reports success of the last attempt of a request. */
    void completeOk(int ticket, long elapsedMs) {
        complete(ticket, attemptCount(ticket) - 1, Status.OK, elapsedMs, null);
    }

    /** Advances the clock in steps of 5 ms and delivers the timers that are due. */
    Rig advance(long durationMs) {
        for (long endNs = now + durationMs * MS; now < endNs;) {
            now += 5 * MS;
            while (!timers.isEmpty() && timers.peek()[0] <= now) {
                policy.onTimer(now, timers.poll()[1]);
            }
        }
        return this;
    }

    static Report loadReport(double utilization, double inFlight) {
        return new Report(inFlight, Double.NaN, utilization, Double.NaN, Double.NaN, Double.NaN);
    }

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        lastTimeoutNs = timeoutNs;
        serversByTicket.computeIfAbsent(ticket, t -> new ArrayList<>()).add(server);
        actions.add("send " + ticket + " to " + server);
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        actions.add("refuse " + ticket);
        answers.merge(ticket, "refused", (first, second) -> first + " and " + second);
    }

    @Override
    public void fail(int ticket) {
        actions.add("fail " + ticket);
        answers.merge(ticket, "failed", (first, second) -> first + " and " + second);
    }

    @Override
    public void cancel(int ticket, int attempt) {
        actions.add("cancel " + ticket + " " + attempt);
    }

    @Override
    public void timer(long dueNs, long token) {
        timers.add(new long[] {dueNs, token});
    }

    @Override
    public void probe(int server) {
        actions.add("probe " + server);
    }

    @Override
    public void closeIdle(int server) {
        actions.add("close " + server);
    }

    @Override
    public void tell(int peer, byte[] message) {
        actions.add("tell " + peer);
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }

    @Override
    public void subscribe(boolean on) {
        actions.add("subscribe " + on);
    }

    @Override
    public void reload() {
        actions.add("reload");
    }
}
