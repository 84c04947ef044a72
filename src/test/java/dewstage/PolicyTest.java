package dewstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.Report;
import dewstage.Balancer.State;
import dewstage.Balancer.Status;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the decisions of {@link Policy} through the {@link Balancer} interface. */
class PolicyTest {
    private static final State READY = State.READY;

    private static Rig newRig(Balancer.Profile... profiles) {
        return new Rig(Rig.settings(false, profiles));
    }

    /** Serves requests one after another and returns how many were sent to each server. */
    private static int[] serve(Rig rig, int requests, int servers, long elapsedMs, Report[] reports) {
        int[] counts = new int[servers];
        for (int i = 0; i < requests; i++) {
            int ticket = rig.request();
            if (rig.attemptCount(ticket) > 0) {
                int serverId = rig.server(ticket, 0);
                counts[serverId]++;
                rig.advance(elapsedMs);
                rig.complete(ticket, 0, Status.OK, elapsedMs, reports == null ? null : reports[serverId]);
            }
        }
        return counts;
    }

    // ---- weighted rotation ----

    @Test
    void serversWithEqualFactorsAreSelectedInRoundRobinOrder() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
        serve(rig, 60, 3, 20, null); // until the subset grows to all three
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int ticket = rig.request();
            order.add(rig.server(ticket, 0));
            rig.advance(20);
            rig.completeOk(ticket, 20);
        }
        assertEquals(order.subList(0, 3), order.subList(3, 6));
        assertEquals(3, order.stream().distinct().count());
    }

    @Test
    void serverWithMoreSpareCapacityReceivesMoreRequests() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(2));
        int[] counts = serve(rig, 200, 2, 30, new Report[] {Rig.loadReport(0.1, 0), Rig.loadReport(0.8, 0)});
        assertTrue(counts[0] > 2 * counts[1], counts[0] + " to " + counts[1]);
    }

    @Test
    void busyServerStillReceivesRequestsThatUpdateItsFactor() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(2));
        int[] counts = serve(rig, 300, 2, 30, new Report[] {Rig.loadReport(0, 0), Rig.loadReport(1, 0)});
        assertTrue(counts[1] > 10, "requests sent to the busy server: " + counts[1]);
    }

    @Test
    void extremeOrInvalidReportsDoNotBreakTheRotation() {
        for (double invalid : new double[] {1, Double.NaN, Double.POSITIVE_INFINITY, -5, 1e30}) {
            Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(2));
            Report report = Rig.loadReport(invalid, invalid);
            int[] counts = serve(rig, 100, 2, 20, new Report[] {report, report});
            assertEquals(100, counts[0] + counts[1], "requests sent with reports of " + invalid);
            assertTrue(counts[0] > 20 && counts[1] > 20, "shared unevenly with reports of " + invalid);
        }
    }

    @Test
    void coldServerReceivesFewRequests() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE);
        Member cold = new Member(1, 0, READY, rig.now, 0, 0, 1);
        rig.updateMembers(ListKind.FULL, Rig.member(0, 0, READY), cold);
        int[] counts = serve(rig, 60, 2, 20, null);
        assertTrue(counts[1] > 0 && counts[1] < counts[0] / 2, counts[0] + " to " + counts[1]);
    }

    @Test
    void unansweredAttemptsLowerTheWeightOfAServer() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(2));
        int first = rig.request();
        int stuck = rig.server(first, 0);
        for (int i = 0; i < 3; i++) {
            int ticket = rig.request();
            assertNotEquals(stuck, rig.server(ticket, 0));
            rig.completeOk(ticket, 20);
        }
    }

    // ---- one final answer before the deadline ----

    @Test
    void requestWithoutServersWaitsAndIsRefusedBeforeItsDeadline() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL);
        int ticket = rig.request(0, 120);
        assertTrue(rig.actions.isEmpty(), "not queued at first");
        rig.advance(120);
        assertEquals("refused", rig.answers.get(ticket));
    }

    @Test
    void queuedRequestWithAnEarlierDeadlineIsRefusedBeforeTheHeadOfTheQueue() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL);
        int head = rig.request(0, 1000);
        int shortDeadline = rig.request(0, 90);
        rig.advance(90);
        assertEquals("refused", rig.answers.get(shortDeadline));
        assertFalse(rig.answers.containsKey(head), "the head has time left");
    }

    @Test
    void queuedRequestIsSentWhenAServerIsListed() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL);
        int ticket = rig.request();
        rig.updateMembers(ListKind.DELTA, Rig.member(4, 0, READY)).advance(25);
        assertEquals(4, rig.server(ticket, 0));
    }

    @Test
    void timeoutAtTheDeadlineIsAnswered() {
        Rig rig = newRig(Rig.AT_MOST_ONCE_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(2));
        int ticket = rig.request(0, 300);
        rig.advance(300);
        rig.complete(ticket, 0, Status.TIMEOUT, 300, null);
        assertEquals("failed", rig.answers.get(ticket));
    }

    @Test
    void requestQueuedDuringAProcessPauseIsRefusedOnceAfterIt() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL);
        int ticket = rig.request(0, 400);
        rig.now += 380 * Rig.MS; // the process is paused until shortly before the deadline
        rig.updateMembers(ListKind.FULL, Rig.readyMembers(2)).advance(5);
        assertEquals("refused", rig.answers.get(ticket));
        assertEquals(0, rig.attemptCount(ticket), "sent although the client will not wait for the answer");
    }

    @Test
    void noActionFollowsTheFinalAnswer() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
        int ticket = rig.request();
        rig.completeOk(ticket, 20);
        int before = rig.actions.size();
        rig.policy.onOutcome(rig.now,
                new Balancer.Outcome(ticket, 0, rig.server(ticket, 0), Status.OK, 1, true, null));
        rig.policy.onWithdrawn(rig.now, ticket);
        rig.policy.onStreamBegun(rig.now, ticket, 0, 0, 1);
        rig.advance(2000);
        assertEquals(before, rig.actions.size());
    }

    @Test
    void eventsForUnknownTicketsAreIgnored() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(1));
        rig.policy.onOutcome(rig.now, new Balancer.Outcome(99, 0, 0, Status.OK, 1, false, null));
        rig.policy.onWithdrawn(rig.now, 99);
        rig.policy.onTimer(rig.now, 99);
        assertTrue(rig.actions.isEmpty());
    }

    // ---- no effect twice ----

    @Test
    void atMostOnceRequestThatMayHaveRunIsFailedWithoutARetry() {
        for (Status status : new Status[] {Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED}) {
            Rig rig = newRig(Rig.AT_MOST_ONCE_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
            int ticket = rig.request();
            rig.advance(100);
            rig.complete(ticket, 0, status, 100, null);
            assertEquals(1, rig.attemptCount(ticket), status.toString());
            assertEquals("failed", rig.answers.get(ticket), status.toString());
        }
    }

    @Test
    void atMostOnceRequestThatNeverRanIsRetriedOnAnotherServer() {
        for (Status status : new Status[] {Status.FULL, Status.CONNECT_FAILED, Status.MOOT}) {
            Rig rig = newRig(Rig.AT_MOST_ONCE_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
            int ticket = rig.request();
            rig.complete(ticket, 0, status, 5, null);
            assertEquals(2, rig.attemptCount(ticket), status.toString());
            assertNotEquals(rig.server(ticket, 0), rig.server(ticket, 1));
        }
    }

    @Test
    void slowAtMostOnceRequestIsNotDuplicated() {
        Rig rig = newRig(Rig.AT_MOST_ONCE_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
        int ticket = rig.request();
        rig.advance(900);
        assertEquals(1, rig.attemptCount(ticket));
    }

    @Test
    void zoneDeduplicatedRequestIsFailedWhenItsZoneHasNoOtherServer() {
        Rig rig = newRig(Rig.ZONE_DEDUPLICATED_PROFILE)
                .updateMembers(ListKind.FULL, Rig.member(0, 0, READY), Rig.member(1, 1, READY));
        int ticket = rig.request();
        assertEquals(0, rig.server(ticket, 0));
        rig.complete(ticket, 0, Status.ERROR, 5, null);
        assertEquals(1, rig.attemptCount(ticket), "sent to a server that would not drop the repeat");
        assertEquals("failed", rig.answers.get(ticket));
    }

    @Test
    void deduplicatedRequestIsRetriedOnlyWithinItsWindow() {
        // The window is 200 ms, of which connecting may take 60 ms. It ends well before the promise of
        // 250 ms, which also ends retries.
        for (long elapsedMs : new long[] {100, 125, 145, 195}) {
            Rig rig = newRig(Rig.profile(Balancer.Effect.DEDUPLICATED, Balancer.Scope.ZONE, 200))
                    .updateMembers(ListKind.FULL, Rig.readyMembers(1));
            int ticket = rig.request();
            rig.updateMembers(ListKind.DELTA, Rig.member(1, 0, READY));
            rig.advance(elapsedMs);
            int sent = rig.attemptCount(ticket);
            if (sent == 1) {
                rig.complete(ticket, 0, Status.RESET, elapsedMs, null);
                assertEquals(elapsedMs < 130 ? 2 : 1, rig.attemptCount(ticket), "after " + elapsedMs + " ms");
            }
        }
    }

    @Test
    void attemptsDoNotExceedTheMaximum() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(8));
        int ticket = rig.request();
        for (int i = 0; i < rig.attemptCount(ticket); i++) {
            rig.complete(ticket, i, Status.FULL, 1, null);
        }
        assertTrue(rig.attemptCount(ticket) <= 4);
        assertEquals("refused", rig.answers.get(ticket));
    }

    // ---- draining servers ----

    @Test
    void drainingGoneAndUnlistedServersReceiveNoRequests() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(4));
        rig.updateMembers(ListKind.DELTA, Rig.member(0, 0, State.DRAINING), Rig.member(1, 0, State.GONE));
        assertEquals(0, serve(rig, 20, 4, 20, null)[0]);
        rig.updateMembers(ListKind.FULL, Rig.member(2, 0, READY));
        int[] counts = serve(rig, 20, 4, 20, null);
        assertEquals(20, counts[2]);
    }

    @Test
    void unlistedServerWithAnAttemptInFlightReceivesNoRequestsUntilListedAgain() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(2));
        int ticket = rig.request();
        int busy = rig.server(ticket, 0);
        rig.updateMembers(ListKind.FULL, Rig.member(1 - busy, 0, READY));
        assertEquals(0, serve(rig, 10, 2, 20, null)[busy]);
        rig.completeOk(ticket, 100);
        rig.updateMembers(ListKind.FULL, Rig.readyMembers(2));
        assertTrue(serve(rig, 60, 2, 20, null)[busy] > 0);
    }

    // ---- cold servers ----

    /**
     * Returns how many requests are sent in 2 s to a cold server that replaces a fleet of three and reports
     * this utilization.
     */
    private static int requestsSentToOneColdServer(double utilization) {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
        serve(rig, 1000, 3, 20, null);
        Member cold = new Member(9, 0, READY, rig.now, 0, 0, 1);
        rig.updateMembers(ListKind.FULL, cold);
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            int newest = rig.request();
            rig.advance(5);
            for (int ticket = Math.max(1001, newest - 100); ticket <= newest; ticket++) {
                if (rig.attemptCount(ticket) > 0 && !rig.answers.containsKey(ticket)) {
                    rig.complete(ticket, 0, Status.OK, 1, Rig.loadReport(utilization, 0));
                    sent++;
                }
            }
        }
        return sent;
    }

    @Test
    void burstToAColdServerStaysWithinItsBudget() {
        // A fleet of three received 50 requests/s; the budget for 2 s is 3 x 0.3..0.5 x 16.7 requests/s.
        int sent = requestsSentToOneColdServer(0);
        assertTrue(sent > 1 && sent < 60, "sent " + sent);
    }

    @Test
    void coldServerThatReportsHighUtilizationReceivesFewerRequests() {
        int idle = requestsSentToOneColdServer(0.2);
        int busy = requestsSentToOneColdServer(1);
        assertTrue(busy > 0 && busy < idle * 0.6, busy + " sent when busy, " + idle + " when idle");
    }

    /** Returns how many of 300 requests in 6 s are sent to a fleet of four servers that are all cold. */
    private static int requestsSentToAColdFleet(Rig rig) {
        Member[] cold = new Member[4];
        for (int i = 0; i < 4; i++) {
            cold[i] = new Member(10 + i, 0, READY, rig.now, 0, 0, 1);
        }
        rig.updateMembers(ListKind.FULL, cold);
        int sent = 0;
        for (int i = 0; i < 300; i++) {
            int newest = rig.request();
            rig.advance(20);
            for (int ticket = Math.max(1, newest - 50); ticket <= newest; ticket++) {
                if (rig.attemptCount(ticket) > 0 && !rig.answers.containsKey(ticket)) {
                    rig.completeOk(ticket, 20);
                    sent++;
                }
            }
        }
        return sent;
    }

    @Test
    void coldFleetIsNotThrottledByTheLowRateOfTheProxy() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(4));
        serve(rig, 1000, 4, 20, null);
        int sent = requestsSentToAColdFleet(rig);
        assertTrue(sent > 180, "sent " + sent + " of 300 in the first 6 s");
    }

    @Test
    void recentlyStartedProxyGrantsColdServersAFullBudget() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(4));
        serve(rig, 50, 4, 20, null);
        int sent = requestsSentToAColdFleet(rig);
        assertTrue(sent > 180, "sent " + sent + " of 300 in the first 6 s");
    }

    // ---- many proxies ----

    /** Creates proxies of one zone, each with its own seed and index, that know the servers of this zone. */
    private static List<Rig> createRigs(int proxies, int servers) {
        List<Rig> rigs = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            rigs.add(new Rig(Rig.settings(i, proxies, false, Rig.IDEMPOTENT_PROFILE), 1000 + i)
                    .updateMembers(ListKind.FULL, Rig.readyMembers(servers)));
        }
        return rigs;
    }

    /** Sends one request per proxy and round of 100 ms; returns how many were sent to each server. */
    private static int[] runRounds(List<Rig> rigs, int rounds, int servers) {
        int[] counts = new int[servers];
        for (int i = 0; i < rounds; i++) {
            for (Rig rig : rigs) {
                int ticket = rig.request();
                rig.advance(20);
                if (rig.attemptCount(ticket) > 0) {
                    counts[rig.server(ticket, 0)]++;
                    rig.completeOk(ticket, 20);
                }
                rig.advance(80);
            }
        }
        return counts;
    }

    @Test
    void allProxiesTogetherStayWithinAColdServersBudget() {
        List<Rig> rigs = createRigs(200, 20);
        runRounds(rigs, 100, 20);
        for (Rig rig : rigs) {
            rig.updateMembers(ListKind.DELTA, new Member(20, 0, READY, rig.now, 0, 0, 1));
        }
        int first = runRounds(rigs, 2, 21)[20];
        int sent = first + runRounds(rigs, 18, 21)[20];
        // 20 servers receive 2000 requests/s, 100 each. A cold one has 0.3 of that capacity at first, and its
        // budget for 2 s is three times as much. A tenth of the budget in the first 0.2 s means no burst.
        assertTrue(sent < 3 * 0.3 * 100 * 2, "sent " + sent);
        assertTrue(first < 3 * 0.3 * 100 * 0.2, "sent at first " + first);
    }

    @Test
    void onlyServerOfAFleetIsNotOverloadedWhileCold() {
        List<Rig> rigs = createRigs(200, 20);
        runRounds(rigs, 100, 20);
        for (Rig rig : rigs) {
            for (int s = 0; s < 20; s++) {
                rig.updateMembers(ListKind.DELTA, Rig.member(s, 0, State.DRAINING));
            }
            rig.updateMembers(ListKind.DELTA, new Member(20, 0, READY, rig.now, 0, 0, 1));
        }
        int sent = 0;
        for (Rig rig : rigs) {
            for (int i = 0; i < 40; i++) {
                rig.request();
                rig.advance(50);
            }
            sent += (int) rig.serversByTicket.values().stream()
                    .filter(servers -> servers.contains(20)).count();
        }
        assertTrue(sent > 20 && sent < 3 * 0.4 * 100 * 2, "sent " + sent + " in 2 s");
    }

    @Test
    void proxiesWithLittleTrafficDoNotOverloadAColdServerTogether() {
        List<Rig> rigs = createRigs(200, 20);
        for (Rig rig : rigs) {
            rig.updateMembers(ListKind.FULL, new Member(20, 0, READY, rig.now, 0, 0, 1));
        }
        int sent = 0;
        for (Rig rig : rigs) { // without a known request rate only the min budget applies
            for (int i = 0; i < 5; i++) {
                rig.request();
                rig.advance(240);
            }
            sent += rig.serversByTicket.size();
        }
        assertTrue(sent < 20, "sent " + sent + " in 1.2 s");
    }

    @Test
    void newServerReceivesRequestsFromManyProxies() {
        List<Rig> rigs = createRigs(200, 20);
        runRounds(rigs, 100, 20);
        for (Rig rig : rigs) {
            rig.updateMembers(ListKind.DELTA, new Member(20, 0, READY, rig.now, 0, 0, 1));
        }
        int sent = runRounds(rigs, 40, 21)[20];
        assertTrue(sent > 20, "a budget divided by all servers of the zone would starve it; sent " + sent);
    }

    @Test
    void subsetsAreSmallAndSpreadEvenlyOverTheServers() {
        List<Rig> rigs = createRigs(200, 20);
        int[] counts = runRounds(rigs, 30, 20);
        for (int s = 0; s < 20; s++) {
            assertTrue(counts[s] > 150 && counts[s] < 600, "sent to server " + s + ": " + counts[s]
                    + " of 6000");
        }
        for (Rig rig : rigs) {
            long used = rig.serversByTicket.values().stream()
                    .map(servers -> servers.get(0)).distinct().count();
            assertTrue(used >= 2 && used <= 4, "servers used by a proxy with 10 requests/s: " + used);
        }
    }

    @Test
    void hotProxyUsesAllServersAndADrainingSubsetIsReplaced() {
        Balancer.Settings settings = Rig.settings(3, 200, false, Rig.IDEMPOTENT_PROFILE);
        Rig hot = new Rig(settings).updateMembers(ListKind.FULL, Rig.readyMembers(20));
        assertEquals(20, Arrays.stream(serve(hot, 1000, 20, 5, null)).filter(n -> n > 0).count());
        Rig rig = new Rig(settings).updateMembers(ListKind.FULL, Rig.readyMembers(20));
        rig.updateMembers(ListKind.DELTA, Rig.member(rig.server(rig.request(), 0), 0, State.DRAINING));
        rig.updateMembers(ListKind.DELTA, Rig.member(rig.server(rig.request(), 0), 0, State.DRAINING));
        assertEquals(1, rig.attemptCount(rig.request()), "no other server of the zone takes over at once");
    }

    @Test
    void extremeProxyCountsAndListsAreTolerated() {
        for (int balancers : new int[] {0, 1, 3, Integer.MAX_VALUE}) {
            for (int me : new int[] {-5, 0, 7, Integer.MAX_VALUE}) {
                Rig rig = new Rig(Rig.settings(me, balancers, false, Rig.IDEMPOTENT_PROFILE));
                rig.updateMembers(ListKind.FULL, Rig.readyMembers(3000));
                assertEquals(1, rig.attemptCount(rig.request()), "a list of 3000 servers");
                rig.updateMembers(ListKind.FULL, Rig.member(5, 3, READY)); // none in the own zone
                int ticket = rig.request();
                rig.advance(100);
                assertEquals(5, rig.server(ticket, 0), "the only server, in another zone");
                rig.complete(ticket, 0, Status.OK, 100, new Report(1e300, -1e300, -7, -1, 1e300, Double.NaN));
                rig.updateMembers(ListKind.FULL);
                int none = rig.request();
                rig.advance(1000);
                assertEquals("refused", rig.answers.get(none), "an empty list");
            }
        }
    }

    @Test
    void fewProxiesTogetherUseEveryServer() {
        List<Rig> rigs = createRigs(3, 14);
        int[] counts = runRounds(rigs, 40, 14);
        assertTrue(Arrays.stream(counts).allMatch(n -> n > 0), Arrays.toString(counts));
    }

    @Test
    void serverWithoutReportsIsNotAssumedIdle() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
        int unreported = 0;
        for (int i = 0; i < 300; i++) {
            int newest = rig.request();
            rig.advance(20);
            for (int ticket = Math.max(1, newest - 20); ticket <= newest; ticket++) {
                if (rig.attemptCount(ticket) > 0 && !rig.answers.containsKey(ticket)) {
                    boolean reports = rig.server(ticket, 0) != 2;
                    rig.complete(ticket, 0, Status.OK, 20,
                            reports ? Rig.loadReport(0.5 + 0.001 * i, 3) : null);
                    unreported += reports ? 0 : 1;
                }
            }
        }
        assertTrue(unreported > 20 && unreported < 240,
                "sent to the server without reports: " + unreported + " of 300");
    }

    @Test
    void unreportedOverloadIsThrottledAndTestedAgain() {
        Rig rig = newRig(Rig.AT_MOST_ONCE_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(6));
        for (int i = 0; i < 100; i++) { // all servers are overloaded: no answers, no reports
            int newest = rig.request();
            rig.advance(20);
            for (int ticket = Math.max(1, newest - 20); ticket <= newest; ticket++) {
                if (rig.attemptCount(ticket) > 0 && !rig.answers.containsKey(ticket)
                        && ticket <= newest - 12) {
                    rig.complete(ticket, 0, Status.TIMEOUT, 250, null);
                }
            }
        }
        assertTrue(rig.serversByTicket.size() < 42,
                "sent to overloaded servers: " + rig.serversByTicket.size());
        int before = rig.serversByTicket.size();
        for (int i = 0; i < 100; i++) {
            rig.request();
            rig.advance(100);
        }
        assertTrue(rig.serversByTicket.size() > before, "not sent again later");
    }

    // ---- ejection and retries ----

    @Test
    void singleLostAnswerDoesNotPauseAServer() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
        serve(rig, 100, 3, 65, null);
        int lost = rig.request();
        int sentAgain = 0;
        for (int i = 0; i < 14; i++) { // 0.9 s; the server counts as unresponsive after about 0.6 s
            int ticket = rig.request();
            sentAgain += rig.server(ticket, 0) == rig.server(lost, 0) ? 1 : 0;
            rig.advance(65);
            rig.completeOk(ticket, 65);
        }
        assertTrue(sentAgain > 0, "not sent to again in 0.9 s");
    }

    @Test
    void unresponsiveServerIsEjected() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE, Rig.AT_MOST_ONCE_PROFILE)
                .updateMembers(ListKind.FULL, Rig.readyMembers(4));
        serve(rig, 80, 4, 20, null);
        int toUnresponsive = 0;
        for (int i = 0; i < 100; i++) {
            int ticket = rig.request(1, 1000);
            if (rig.server(ticket, 0) == 2) {
                toUnresponsive++;
            } else {
                rig.completeOk(ticket, 20);
            }
            rig.advance(20);
        }
        assertTrue(toUnresponsive <= 4, "sent to the unresponsive server: " + toUnresponsive);
    }

    @Test
    void fastFailingServerDoesNotAttractRequests() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(4));
        int toFailing = 0;
        for (int i = 0; i < 200; i++) {
            int ticket = rig.request();
            for (int a = 0; a < rig.attemptCount(ticket); a++) {
                boolean fails = rig.server(ticket, a) == 0;
                toFailing += fails ? 1 : 0;
                rig.advance(fails ? 5 : 30);
                rig.complete(ticket, a, fails ? Status.ERROR : Status.OK, fails ? 1 : 30,
                        Rig.loadReport(fails ? 0 : 0.6, 0));
            }
        }
        assertTrue(toFailing < 20, "sent to the failing server: " + toFailing);
    }

    @Test
    void ejectionKeepsMostServersInUse() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(6));
        serve(rig, 200, 6, 20, null); // until the subset grows to all six
        for (int i = 0; i < 60; i++) {
            int ticket = rig.request();
            for (int a = 0; a < rig.attemptCount(ticket); a++) {
                rig.complete(ticket, a, Status.ERROR, 1, null);
            }
            rig.advance(5);
        }
        int[] used = new int[6];
        for (int i = 0; i < 60; i++) {
            int ticket = rig.request();
            used[rig.server(ticket, 0)]++;
            rig.complete(ticket, 0, Status.ERROR, 1, null);
        }
        assertTrue(Arrays.stream(used).filter(n -> n > 0).count() >= 4, Arrays.toString(used));
    }

    @Test
    void slowAttemptIsNotDuplicatedOnAnotherServer() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(1));
        int slow = rig.request();
        int fast = rig.request();
        rig.updateMembers(ListKind.DELTA, Rig.member(1, 0, READY));
        rig.advance(30);
        rig.completeOk(fast, 30);
        rig.advance(400);
        assertEquals(1, rig.attemptCount(slow));
    }

    @Test
    void attemptTimesOutAtThePromiseUnlessARepeatWouldRunBesideIt() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE, Rig.AT_MOST_ONCE_PROFILE, Rig.DEDUPLICATED_PROFILE)
                .updateMembers(ListKind.FULL, Rig.readyMembers(3));
        int ticket = rig.request(0, 1000);
        assertEquals(250 * Rig.MS, rig.lastTimeoutNs, "the promise");
        rig.advance(250);
        int sent = rig.attemptCount(ticket);
        for (int a = 0; a < sent; a++) {
            rig.complete(ticket, a, Status.TIMEOUT, 250, null);
        }
        assertEquals(sent, rig.attemptCount(ticket), "sent a retry that would be late");
        assertEquals("refused", rig.answers.get(ticket), "not answered at the promise");
        Rig idle = newRig(Rig.IDEMPOTENT_PROFILE, Rig.AT_MOST_ONCE_PROFILE, Rig.DEDUPLICATED_PROFILE)
                .updateMembers(ListKind.FULL, Rig.readyMembers(3));
        idle.request(1, 1000);
        assertEquals(250 * Rig.MS, idle.lastTimeoutNs);
        idle.request(2, 1000);
        assertEquals(0, idle.lastTimeoutNs, "cut short although the client's repeat would run beside it");
    }

    @Test
    void retryBudgetLimitsARetryStorm() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(10));
        int attempts = 0;
        for (int i = 0; i < 200; i++) {
            int ticket = rig.request();
            for (int a = 0; a < rig.attemptCount(ticket); a++) {
                rig.complete(ticket, a, Status.FULL, 1, null);
            }
            attempts += rig.attemptCount(ticket);
        }
        assertTrue(attempts < 215, "attempts " + attempts);
    }

    /**
     * A reset is no sign of overload, and resets come in bursts. So they have a larger retry budget of their
     * own.
     */
    @Test
    void resetConnectionsAreRetriedWithinTheirOwnBudget() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(6));
        int retried = 0;
        for (int i = 0; i < 200; i++) {
            int ticket = rig.request();
            boolean resets = i % 5 == 0 || i >= 100; // one request in five, then all
            rig.complete(ticket, 0, resets ? Status.RESET : Status.OK, 1, null);
            if (rig.attemptCount(ticket) > 1) {
                retried++;
                rig.completeOk(ticket, 1);
            }
            assertTrue(i != 99 || retried == 20, "retried " + retried + " of 20");
            rig.advance(5);
        }
        assertTrue(retried < 70, "retried " + retried + " of 120");
    }

    // ---- admission, zones and estimates ----

    @Test
    void requestThatNoServerCanAnswerInTimeIsQueued() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(1));
        serve(rig, 50, 1, 100, null);
        int first = rig.request();
        int second = rig.request();
        int third = rig.request();
        assertEquals(1, rig.attemptCount(first));
        assertEquals(0, rig.attemptCount(third), "not queued");
        rig.advance(50);
        rig.completeOk(first, 50);
        assertEquals(1, rig.attemptCount(third), "the newest request has most time left");
        assertEquals(0, rig.attemptCount(second));
    }

    @Test
    void requestWithLessTimeThanAnswersTakeIsRefusedAtOnce() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
        serve(rig, 200, 3, 100, null);
        int shortDeadline = rig.request(0, 60);
        assertEquals("refused", rig.answers.get(shortDeadline));
        assertEquals(0, rig.attemptCount(shortDeadline));
        assertEquals(1, rig.attemptCount(rig.request(0, 200)));
    }

    @Test
    void requestWithLittleTimeIsSentWhenSomeAnswersAreFastEnough() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
        for (int i = 0; i < 300; i++) {
            serve(rig, 1, 3, i % 3 == 0 ? 20 : 60, null);
        }
        assertEquals(1, rig.attemptCount(rig.request(0, 50)), "one request in three is answered in 20 ms");
    }

    @Test
    void attemptRateFollowsTheServedRateWhenMostAreLost() {
        Rig rig = newRig(Rig.AT_MOST_ONCE_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(6));
        int sent = 0;
        for (int i = 0; i < 400; i++) { // 50 requests/s for 8 s; one in three is answered
            int newest = rig.request();
            rig.advance(20);
            for (int ticket = Math.max(1, newest - 20); ticket <= newest; ticket++) {
                if (rig.attemptCount(ticket) > 0 && !rig.answers.containsKey(ticket)
                        && ticket <= newest - 3) {
                    rig.complete(ticket, 0, ticket % 3 == 0 ? Status.OK : Status.TIMEOUT, 60, null);
                    sent++;
                }
            }
        }
        assertTrue(sent > 4 && sent < 200, "sent " + sent + " of 400 to servers that lose two in three");
    }

    @Test
    void lostInitialAttemptsDoNotBlockLaterRequests() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(6));
        List<Integer> first = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            first.add(rig.request());
            rig.advance(5);
        }
        rig.advance(50);
        for (int ticket : first) {
            if (rig.attemptCount(ticket) > 0 && !rig.answers.containsKey(ticket)) {
                rig.complete(ticket, 0, Status.TIMEOUT, 150, null);
            }
        }
        int served = 0;
        for (int i = 0; i < 100; i++) { // 100 requests in 1 s; those sent are answered at once
            int ticket = rig.request();
            if (rig.attemptCount(ticket) > 0) {
                rig.completeOk(ticket, 1);
                served++;
            }
            rig.advance(10);
        }
        assertTrue(served > 25, "served " + served + " of 100");
    }

    @Test
    void occasionalLostAnswersDoNotCauseThrottling() {
        Rig rig = newRig(Rig.AT_MOST_ONCE_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(6));
        serve(rig, 100, 6, 50, null);
        Deque<Integer> lost = new ArrayDeque<>();
        int sent = 0;
        for (int i = 0; i < 200; i++) { // one at a time: only the lost answers are outstanding
            int ticket = rig.request();
            rig.advance(50);
            if (rig.attemptCount(ticket) > 0) {
                sent++;
                if (i % 7 == 0) {
                    lost.add(ticket);
                } else {
                    rig.completeOk(ticket, 50);
                }
            }
            if (i % 7 == 6 && !lost.isEmpty()) {
                rig.complete(lost.poll(), 0, Status.TIMEOUT, 350, null);
            }
        }
        assertEquals(200, sent, "queued although the servers have capacity: six in seven are answered");
    }

    /** Returns how many of 50 requests/s are sent in 4 s when every answer arrives after this latency. */
    private static int requestsSentAtLatency(int latencyMs, Report report) {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(6));
        serve(rig, 100, 6, 20, null);
        int sentBefore = rig.serversByTicket.size();
        for (int i = 0; i < 200; i++) {
            int newest = rig.request();
            rig.advance(20);
            int newestAnswered = newest - latencyMs / 20 + 1;
            for (int ticket = Math.max(101, newestAnswered - 20); ticket <= newestAnswered; ticket++) {
                if (rig.attemptCount(ticket) > 0 && !rig.answers.containsKey(ticket)) {
                    rig.complete(ticket, 0, Status.OK, latencyMs, report);
                }
            }
        }
        return rig.serversByTicket.size() - sentBefore;
    }

    @Test
    void answersDelayedByQueueingReduceTheSendRate() {
        Report serviceTime20Ms = new Report(Double.NaN, Double.NaN, 0.5, 20, Double.NaN, Double.NaN);
        Report serviceTime200Ms = new Report(Double.NaN, Double.NaN, 0.5, 200, Double.NaN, Double.NaN);
        int queued = requestsSentAtLatency(200, serviceTime20Ms);
        int slow = requestsSentAtLatency(200, serviceTime200Ms);
        assertTrue(queued < 0.7 * slow, queued + " sent with a queue, " + slow + " with a long service time");
    }

    @Test
    void capacityIsEstimatedAsThroughputOverUtilization() {
        // Both servers answer after 1 s and report equal utilization; the one with a third of the throughput
        // has less capacity.
        Rig rig = newRig(new Balancer.Profile(Balancer.Effect.IDEMPOTENT, Balancer.Scope.ALL, 0,
                3000 * Rig.MS, 6000 * Rig.MS, 1, 0, false, false))
                .updateMembers(ListKind.FULL, Rig.readyMembers(2));
        int[] counts = new int[2];
        for (int i = 0; i < 600; i++) {
            int newest = rig.request(0, 6000);
            rig.advance(25);
            int ticket = newest - 40;
            if (ticket > 0 && rig.attemptCount(ticket) > 0) {
                int serverId = rig.server(ticket, 0);
                counts[serverId]++;
                rig.complete(ticket, 0, Status.OK, 1000, new Report(Double.NaN, 0, 0.6 + i * 1e-5, 1000,
                        (serverId == 0 ? 30 : 10) + i * 1e-5, Double.NaN));
            }
        }
        assertTrue(counts[0] > 1.5 * counts[1], Arrays.toString(counts));
    }

    @Test
    void promiseOfAMarkedRepeatCountsFromTheFirstTry() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(3));
        serve(rig, 100, 3, 20, null); // first tries have 1000 ms, the give-up time of the class
        int late = rig.repeat(0, 700); // 300 ms after the first try, past the promise of 250 ms
        assertEquals(0, rig.attemptCount(late));
        assertEquals("refused", rig.answers.get(late));
        int early = rig.repeat(0, 900);
        assertEquals(1, rig.attemptCount(early));
        assertEquals(150 * Rig.MS, rig.lastTimeoutNs);
        assertEquals(1, rig.attemptCount(rig.request(0, 700)), "a first try with as little time is not late");
    }

    @Test
    void outcomesDeliveredAfterAProcessPauseDoNotAffectEstimates() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(4));
        serve(rig, 200, 4, 20, null);
        List<Integer> inFlight = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            inFlight.add(rig.request());
        }
        rig.now += 600 * Rig.MS; // the process is paused
        inFlight.forEach(ticket -> rig.complete(ticket, 0, Status.TIMEOUT, 250, null));
        rig.advance(5);
        for (int i = 0; i < 8; i++) {
            assertEquals(1, rig.attemptCount(rig.request()), "queued after the pause");
        }
    }

    @Test
    void fullOwnZoneSpillsOverToIdleServersOfOtherZones() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE)
                .updateMembers(ListKind.FULL, Rig.member(0, 0, READY), Rig.member(1, 1, READY));
        for (int i = 0; i < 200; i++) { // in pairs: the second sometimes goes to the other zone
            int first = rig.request();
            int second = rig.request();
            rig.advance(15);
            rig.completeOk(first, rig.server(first, 0) == 0 ? 10 : 50);
            rig.completeOk(second, rig.server(second, 0) == 0 ? 15 : 50);
        }
        List<Integer> targets = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            int ticket = rig.request();
            assertEquals(1, rig.attemptCount(ticket), "queued with a server idle: " + targets);
            targets.add(rig.server(ticket, 0));
        }
        assertEquals(0, targets.get(0));
        assertTrue(targets.contains(1), "sent to " + targets);
    }

    @Test
    void requestAfterAResetWaitsForCapacityOfAnotherServer() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(2));
        serve(rig, 100, 2, 50, null);
        int broken = rig.request();
        int other = 0;
        // Requests are submitted until both servers are full.
        for (int ticket = rig.request(); rig.attemptCount(ticket) > 0; ticket = rig.request()) {
            other = rig.server(ticket, 0) == rig.server(broken, 0) ? other : ticket;
        }
        rig.complete(broken, 0, Status.RESET, 20, null);
        assertEquals(null, rig.answers.get(broken), "answered although time is left for another server");
        rig.completeOk(other, 50);
        assertEquals(2, rig.attemptCount(broken));
        assertEquals(rig.server(other, 0), rig.server(broken, 1));
    }

    @Test
    void requestAfterAResetIsRefusedWhenNoOtherServerExists() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(1));
        serve(rig, 50, 1, 50, null);
        int broken = rig.request();
        rig.complete(broken, 0, Status.RESET, 20, null);
        assertEquals("refused", rig.answers.get(broken));
    }

    /**
     * Returns how many of 28 requests one of 14 proxies sends to 28 servers in four zones, after answers that
     * first took firstMs and then laterMs.
     */
    private static int inFlightOfOneProxyAmongMany(long firstMs, long laterMs) {
        Member[] fleet = new Member[28];
        Arrays.setAll(fleet, i -> Rig.member(i, i % 4, READY));
        Rig rig = new Rig(Rig.settings(0, 14, false, Rig.IDEMPOTENT_PROFILE))
                .updateMembers(ListKind.FULL, fleet);
        serve(rig, 100, 28, firstMs, null);
        serve(rig, 80, 28, laterMs, null);
        int inFlight = 0;
        for (int i = 0; i < 28; i++) {
            inFlight += rig.attemptCount(rig.request());
        }
        return inFlight;
    }

    @Test
    void slowAnswersLimitAProxyToItsShareOfRequestsInFlight() {
        assertTrue(inFlightOfOneProxyAmongMany(20, 20) > 2 * 6, "limited although answers are fast");
        assertEquals(6, inFlightOfOneProxyAmongMany(20, 120), "three per server: 28 servers, 14 proxies");
        assertEquals(6, inFlightOfOneProxyAmongMany(140, 140), "for a proxy without any fast answers");
    }

    @Test
    void networkLatencyToAnotherZoneIsNotCountedAsServiceTime() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.member(0, 0, READY));
        serve(rig, 50, 2, 10, null);
        rig.updateMembers(ListKind.FULL, Rig.member(0, 0, State.DRAINING), Rig.member(1, 1, READY));
        serve(rig, 50, 2, 60, null); // the same service time with a network latency of 50 ms
        for (int i = 0; i < 4; i++) {
            assertEquals(1, rig.attemptCount(rig.request()), "full with " + i + " in flight");
        }
    }

    @Test
    void ownZoneIsPreferredAndSpillsOverWhenFull() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE)
                .updateMembers(ListKind.FULL, Rig.member(0, 0, READY), Rig.member(1, 1, READY));
        List<Integer> targets = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int ticket = rig.request();
            if (rig.attemptCount(ticket) > 0) {
                targets.add(rig.server(ticket, 0));
            }
        }
        assertEquals(0, targets.get(0));
        assertTrue(targets.contains(1), "does not spill over: " + targets);
        Rig idle = newRig(Rig.IDEMPOTENT_PROFILE)
                .updateMembers(ListKind.FULL, Rig.member(0, 0, READY), Rig.member(1, 1, READY));
        assertEquals(50, serve(idle, 50, 2, 20, null)[0]);
    }

    /** Returns how many of 200 requests leave an own zone whose server reports a utilization of 0.9. */
    private static int requestsLeavingABusyZone(double inFlight) {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE)
                .updateMembers(ListKind.FULL, Rig.member(0, 0, READY), Rig.member(1, 1, READY));
        Report[] reports = {Rig.loadReport(0.9, inFlight), Rig.loadReport(0.1, inFlight)};
        return serve(rig, 200, 2, 60, reports)[1];
    }

    @Test
    void busyZoneSpillsOverWhenReportsLackRequestsInFlight() {
        assertTrue(requestsLeavingABusyZone(Double.NaN) > 50,
                "without requests in flight: " + requestsLeavingABusyZone(Double.NaN));
        assertTrue(requestsLeavingABusyZone(0) < 10,
                "with 0 requests in flight: " + requestsLeavingABusyZone(0));
    }

    // ---- discovery ----

    @Test
    void discoveryIsCalledAtStartAndAgainAfterAFailure() {
        Rig rig = new Rig(Rig.settings(true, Rig.IDEMPOTENT_PROFILE));
        assertEquals(List.of("subscribe true"), rig.actions);
        rig.updateMembers(ListKind.CACHED, Rig.readyMembers(1));
        rig.updateMembers(ListKind.FAILED);
        rig.advance(1000);
        assertTrue(rig.actions.size() >= 2, "not called again");
        rig.updateMembers(ListKind.FULL, Rig.readyMembers(2));
        int actionsBefore = rig.actions.size();
        rig.advance(60_000);
        assertEquals(actionsBefore, rig.actions.size(), "called again while subscribed");
    }

    @Test
    void proxiesThatLoseTheirWatchesTogetherSpreadTheirCalls() {
        int[] calls = new int[20]; // in each 200 ms
        for (int i = 0; i < 14; i++) {
            Rig rig = new Rig(Rig.settings(i, 14, true, Rig.IDEMPOTENT_PROFILE), i + 1)
                    .updateMembers(ListKind.FULL, Rig.readyMembers(2));
            rig.actions.clear();
            rig.updateMembers(ListKind.FAILED);
            int interval = 0;
            while (!rig.advance(200).actions.contains("subscribe true")) {
                interval++;
            }
            calls[interval]++;
        }
        assertTrue(Arrays.stream(calls).max().orElse(0) <= 4, Arrays.toString(calls));
        assertEquals(14, Arrays.stream(calls, 0, 15).sum(), "within 3 s: " + Arrays.toString(calls));
    }

    /** After a stall of the watch the proxy soon counts as notified of the changes that it missed. */
    @Test
    void largeFleetThatLosesItsWatchesCallsAgainWellBeforeTheLimit() {
        int[] calls = new int[100]; // in each 100 ms
        for (int i = 0; i < 100; i++) {
            Rig rig = new Rig(Rig.settings(i, 100, true, Rig.IDEMPOTENT_PROFILE), i + 1)
                    .updateMembers(ListKind.FULL, Rig.readyMembers(2));
            rig.actions.clear();
            rig.updateMembers(ListKind.FAILED);
            int interval = 0;
            while (!rig.advance(100).actions.contains("subscribe true")) {
                interval++;
            }
            calls[interval]++;
        }
        assertEquals(100, Arrays.stream(calls, 0, 25).sum(), "within 2.5 s: " + Arrays.toString(calls));
        assertTrue(Arrays.stream(calls).max().orElse(0) <= 20,
                "simultaneous calls: " + Arrays.toString(calls));
    }

    @Test
    void unansweredCallIsRepeatedWithinTheLimit() {
        Rig rig = new Rig(Rig.settings(true, Rig.IDEMPOTENT_PROFILE))
                .updateMembers(ListKind.CACHED, Rig.readyMembers(1));
        rig.advance(9000);
        assertEquals(List.of("subscribe true", "subscribe true"), rig.actions);
    }

    // ---- determinism ----

    @Test
    void equalEventsYieldEqualActionsBesideAnotherInstance() {
        Rig alone = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(5));
        Rig interleaved = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(5));
        Rig other = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(2));
        serve(alone, 50, 5, 20, null);
        for (int i = 0; i < 50; i++) {
            serve(other, 1, 2, 35, null);
            serve(interleaved, 1, 5, 20, null);
        }
        assertEquals(alone.actions, interleaved.actions);
    }

    @Test
    void stoppedClockIsTolerated() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE).updateMembers(ListKind.FULL, Rig.readyMembers(2));
        for (int i = 0; i < 100; i++) {
            rig.complete(rig.request(), 0, Status.OK, 0, Rig.loadReport(0.5, 0));
        }
        assertEquals(100, rig.answers.size());
    }

    @Test
    void contradictoryListEntriesAreAppliedInOrder() {
        Rig rig = newRig(Rig.IDEMPOTENT_PROFILE);
        rig.updateMembers(ListKind.FULL, Rig.member(0, 0, READY), Rig.member(0, 0, State.DRAINING),
                Rig.member(1, 0, READY));
        assertEquals(10, serve(rig, 10, 2, 20, null)[1]);
    }
}
