package dewstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.Outcome;
import dewstage.Balancer.Profile;
import dewstage.Balancer.Report;
import dewstage.Balancer.Request;
import dewstage.Balancer.Settings;
import dewstage.Balancer.State;
import dewstage.Balancer.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares the actions of {@link Policy} with those of {@link ReferencePolicy} on the same random events. */
class PolicyMatchesReferenceTest {
    private static final long MS = 1_000_000L;
    private static final Status[] FAILURES = {Status.ERROR, Status.FULL, Status.TIMEOUT,
        Status.CONNECT_FAILED, Status.RESET};
    private static final List<Profile> PROFILES = List.of(Rig.IDEMPOTENT_PROFILE, Rig.DEDUPLICATED_PROFILE,
            Rig.ZONE_DEDUPLICATED_PROFILE, Rig.AT_MOST_ONCE_PROFILE,
            Rig.profile(Balancer.Effect.DEDUPLICATED, Balancer.Scope.CELL, 900),
            Rig.SEQUENTIAL_AT_MOST_ONCE_PROFILE);

    /** Records the actions of a module as text, and its attempts and timers, which need an event later. */
    private static final class RecordedActions extends IgnoredActions {
        final List<String> actions = new ArrayList<>();
        final List<int[]> sends = new ArrayList<>();
        final List<long[]> timers = new ArrayList<>();

        @Override
        public void send(int ticket, int server, long timeoutNs) {
            actions.add("send " + ticket + " to " + server + " for " + timeoutNs);
            sends.add(new int[] {ticket, server});
        }

        @Override
        public void refuse(int ticket, long retryInNs) {
            actions.add("refuse " + ticket);
        }

        @Override
        public void fail(int ticket) {
            actions.add("fail " + ticket);
        }

        @Override
        public void cancel(int ticket, int attempt) {
            actions.add("cancel " + ticket + " " + attempt);
        }

        @Override
        public void timer(long dueNs, long token) {
            actions.add("timer " + dueNs + " " + token);
            timers.add(new long[] {dueNs, token});
        }

        @Override
        public void subscribe(boolean on) {
            actions.add("subscribe " + on);
        }
    }

    private interface Event {
        void deliverTo(Balancer balancer);
    }

    private final RecordedActions referenceActions = new RecordedActions();
    private final RecordedActions policyActions = new RecordedActions();
    private final PriorityQueue<long[]> timers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    /** Attempts in flight: ticket, number, server, time sent. */
    private final List<long[]> inFlight = new ArrayList<>();
    private final int[] attemptCounts = new int[100_000];
    private Balancer reference;
    private Balancer policy;
    private long now = 1_000_000_000_000L;

    private void deliver(Event event) {
        event.deliverTo(reference);
        event.deliverTo(policy);
        assertEquals(referenceActions.actions, policyActions.actions);
        policyActions.sends.forEach(send -> inFlight.add(
                new long[] {send[0], attemptCounts[send[0]]++, send[1], now}));
        timers.addAll(policyActions.timers);
        for (RecordedActions recorded : List.of(referenceActions, policyActions)) {
            recorded.actions.clear();
            recorded.sends.clear();
            recorded.timers.clear();
        }
    }

    /** Size and properties of the fleet of one random run. */
    private record Scenario(int servers, int zones, boolean withFailures, boolean withColdServers) {
        Member member(Random random, int id, long now) {
            int stateDraw = random.nextInt(10);
            State state = stateDraw == 0 ? State.GONE : stateDraw < 3 ? State.DRAINING : State.READY;
            long bootNs = withColdServers && random.nextInt(4) == 0 ? now - random.nextInt(3000) * MS : 0;
            int zone = Math.floorMod(id, 7) % zones;
            return new Member(id * 0x9E3779B9, Math.floorMod(id, 3), state, bootNs, Math.floorMod(id, 5),
                    zone, 1 + Math.floorMod(id, 2) / 2.0);
        }
    }

    @ParameterizedTest(name = "seed {0}: {1} servers in {2} zones, failing {3}, cold {4}")
    @CsvSource({"1,30,1,true,false", "2,60,3,true,false", "3,240,4,true,false", "4,240,2,true,false",
        "5,12,5,true,false", "6,200,1,false,true", "7,60,1,false,true", "8,1500,6,false,false",
        "9,2000,1,false,false", "10,5,1,true,false", "11,700,7,false,false"})
    void actionsEqualThoseOfTheReference(long seed, int servers, int zones, boolean withFailures,
            boolean withColdServers) {
        Random random = new Random(seed);
        Scenario scenario = new Scenario(servers, zones, withFailures, withColdServers);
        int balancers = 1 + random.nextInt(40);
        Settings settings = new Settings(random.nextInt(balancers), balancers, 0, PROFILES, seed % 2 == 0,
                true, 4, 1000 * MS, 0.3, 9000 * MS, 3, 2000 * MS, 10_000 * MS, 5 * MS, 0.1, seed % 3 == 0,
                seed % 3 == 0 ? 300 * MS : 0, 60 * MS);
        reference = new ReferencePolicy(settings, seed, now, referenceActions);
        policy = new Policy(settings, seed, now, policyActions);
        deliver(balancer -> { });
        List<Member> allMembers = new ArrayList<>();
        for (int id = 0; id < servers; id++) {
            allMembers.add(scenario.member(random, id, now));
        }
        deliver(balancer -> balancer.onMembers(now, ListKind.FULL, 1, allMembers));
        int lastTicket = 0;
        int inFlightSum = 0;
        for (int step = 0; step < 8000; step++) {
            inFlightSum += inFlight.size();
            now += random.nextInt(3000) == 0 ? 80_000 * MS : random.nextInt(400) == 0 ? 150 * MS
                    : random.nextInt(6) * MS / 2;
            while (!timers.isEmpty() && timers.peek()[0] <= now) {
                long token = timers.poll()[1];
                deliver(balancer -> balancer.onTimer(now, token));
            }
            int eventDraw = random.nextInt(100);
            if (eventDraw < 2) {
                updateMembers(random, scenario);
            } else if (eventDraw < 40) {
                Request request = new Request(++lastTicket, random.nextInt(PROFILES.size()), 0,
                        random.nextInt(20), (30 + random.nextInt(900)) * MS, 0, random.nextInt(9) == 0);
                deliver(balancer -> balancer.onRequest(now, request));
            } else if (eventDraw < 41 && lastTicket > 0) {
                int ticket = 1 + random.nextInt(lastTicket);
                deliver(balancer -> balancer.onWithdrawn(now, ticket));
            } else if (eventDraw < 90 && !inFlight.isEmpty()) {
                int i = random.nextInt(inFlight.size());
                // One in 11 servers answers slowly, unless servers are cold: a budget grows between two
                // checks at the rate that holds at the second, and a trial ends the scan of the reference
                // early.
                boolean slow = !withColdServers && Math.floorMod(inFlight.get(i)[2], 11) == 0;
                if (slow && now - inFlight.get(i)[3] < 1500 * MS) {
                    continue;
                }
                long[] attempt = inFlight.remove(i);
                boolean succeeds = !withFailures || random.nextInt(12) > 0;
                Status status = succeeds ? Status.OK : FAILURES[random.nextInt(FAILURES.length)];
                Report report = random.nextInt(3) == 0 ? null : Rig.loadReport(random.nextDouble(),
                        random.nextInt(20) == 0 ? Double.NaN : random.nextInt(9));
                deliver(balancer -> balancer.onOutcome(now, new Outcome((int) attempt[0], (int) attempt[1],
                        (int) attempt[2], status, now - attempt[3], status == Status.OK, report)));
            }
        }
        assertTrue(inFlightSum > 1000, "attempts in flight, summed over the steps: " + inFlightSum);
    }

    private void updateMembers(Random random, Scenario scenario) {
        int updateDraw = random.nextInt(20);
        if (updateDraw == 0) {
            deliver(balancer -> balancer.onMembers(now, ListKind.FAILED, 0, List.of()));
            return;
        }
        List<Member> members = new ArrayList<>();
        int count = updateDraw == 1 ? scenario.servers() : 1 + random.nextInt(6);
        for (int i = 0; i < count; i++) {
            int id = updateDraw == 1 ? i : random.nextInt(scenario.servers() + 5);
            if (updateDraw > 1 || random.nextInt(10) > 0) {
                members.add(scenario.member(random, id, now));
            }
        }
        deliver(balancer -> balancer.onMembers(now, updateDraw == 1 ? ListKind.FULL : ListKind.DELTA, 2,
                members));
    }
}
