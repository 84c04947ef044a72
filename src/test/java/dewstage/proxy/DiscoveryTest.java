package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.Request;
import dewstage.Balancer.State;
import dewstage.Balancer.Status;
import dewstage.ListFreshness;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How the proxy applies the lists of discovery, and when it calls again. */
class DiscoveryTest extends LoopbackTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private int knownBackendId;

    @BeforeEach
    void awaitKnownList() throws Exception {
        knownBackendId = server;
        assertEquals(ListKind.CACHED, setup.awaitEvent("kind", ListKind.class));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private String listJson(int generation, boolean isFullList, String id, String lifecycle) {
        return """
                {"generation":%d,"reset":%b,"instances":[{"instanceId":"%s","hostPort":"%s","zone":"b",\
                "machineType":"m2","cell":3,"lifecycle":"%s","weight":0.5,"startedAtMs":1700000000000}]}
                """.formatted(generation, isFullList, id, backend.hostPort(), lifecycle);
    }

    private Member awaitMember() throws Exception {
        return (Member) setup.awaitEvent("members", List.class).get(0);
    }

    @Test
    void aListAppliesOnlyOnceCompleteAndTheWatchResumesByVersion() throws Exception {
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().startsWith("GET /catalog/members?stream=1&index=41 "));
        String line = listJson(42, false, "s-1", "terminating");
        watch.write(HEAD + chunk("\n" + line.substring(0, 30)) + chunk(line.substring(30)));
        Member member = awaitMember();
        assertEquals(new Member(knownBackendId, 1, State.DRAINING, 1_700_000_000_000_000_000L, 3, 1, 0.5),
                member);
        assertEquals(ListKind.DELTA, setup.awaitEvent("kind", ListKind.class));
        String truncated = listJson(43, false, "s-1", "in_service").trim();
        watch.write(chunk(truncated.substring(0, truncated.length() - 1))).close(); // without the last brace
        Peer.Wire second = discovery.accept();
        assertTrue(second.read().startsWith("GET /catalog/members?stream=1&index=42 "));
        second.write(HEAD + chunk(listJson(44, true, "s-2", "in_service")));
        List<?> changes = setup.awaitEvent("members", List.class);
        assertEquals(2, changes.size());
        assertNotEquals(knownBackendId, ((Member) changes.get(0)).id());
        assertEquals(State.READY, ((Member) changes.get(0)).state());
        // Missing from the full list, so it is reported as gone.
        assertEquals(new Member(knownBackendId, 1, State.GONE, 1_700_000_000_000_000_000L, 3, 1, 0.5),
                changes.get(1));
        assertEquals(ListKind.DELTA, setup.awaitEvent("kind", ListKind.class));
    }

    /** The change counts as delivered, and the next call may be answered only after the drain grace. */
    @Test
    void aServerLeavingInATruncatedListIsApplied() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        String truncated = listJson(42, false, "s-1", "terminating").trim();
        watch.write(HEAD + chunk(truncated.substring(0, truncated.length() - 2))).close();
        Member member = awaitMember();
        assertEquals(knownBackendId, member.id());
        assertEquals(State.DRAINING, member.state());
        assertTrue(discovery.accept().read().startsWith("GET /catalog/members?stream=1&index=41 "));
    }

    @Test
    void indentedListsAndSeveralListsInOneChunkAreApplied() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        String indented = listJson(42, false, "s-1", "terminating").replaceAll("([\\[{,])", "$1\n\n  ");
        watch.write(HEAD);
        for (String piece : indented.split("(?<=\\n)")) {
            watch.write(chunk(piece));
        }
        assertEquals(State.DRAINING, awaitMember().state());
        watch.write(chunk("\n" + listJson(43, false, "s-1", "in_service")
                + listJson(44, false, "s-1", "terminated").replace("{", "{\r\n\t")));
        assertEquals(State.READY, awaitMember().state());
        assertEquals(State.GONE, awaitMember().state());
        assertTrue(discovery.hasNoPendingConnection(), "all lists were received on one watch");
    }

    @Test
    void emptyLinesWithinAListAreNoHeartbeat() throws Exception {
        Config config = Setup.config(discovery, backend);
        discovery.accept().read(); // the call of the proxy
        Discovery discoveryClient = new Discovery(setup.loop, config, setup.proxy, 200, 100_000);
        discoveryClient.resumeFrom(41);
        setup.runOnLoop(() -> discoveryClient.setWatching(true));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk("{\"generation\":42,"));
        Thread heartbeats = new Thread(() -> {
            try {
                while (true) {
                    watch.write(chunk("\n"));
                    Thread.sleep(10);
                }
            } catch (IOException | InterruptedException e) {
                // the proxy has closed the connection, as expected
            }
        });
        heartbeats.setDaemon(true);
        heartbeats.start();
        assertTrue(watch.awaitClose());
        assertTrue(discovery.accept().read().contains("index=41 "));
        setup.runOnLoop(() -> discoveryClient.setWatching(false));
    }

    /** Replaces the watch of the proxy by a discovery client with a limit of 100 kB for lists. */
    private Discovery startWithSmallLimit(Config config) throws Exception {
        discovery.accept().read(); // the call of the proxy, which would call again before the pauses end
        setup.runOnLoop(() -> setup.actions.subscribe(false));
        Discovery discoveryClient = new Discovery(setup.loop, config, setup.proxy, 60_000, 100_000);
        discoveryClient.resumeFrom(41);
        setup.runOnLoop(() -> discoveryClient.setWatching(true));
        return discoveryClient;
    }

    private String largeListJson(int generation) {
        String one = listJson(generation, true, "s-1", "in_service").trim();
        String entry = one.substring(one.indexOf('[') + 1, one.indexOf(']'));
        return one.replace(entry, IntStream.range(0, 1000).mapToObj(i -> entry.replace("s-1", "more-" + i))
                .collect(Collectors.joining(",")));
    }

    /** Writes until done or until the proxy closes the connection. */
    private static void writeUntilClosed(Peer.Wire watch, String text) {
        try {
            watch.write(text);
        } catch (IOException e) {
            // The proxy closed the connection before the end; the test checks its next call.
        }
    }

    @Test
    void aWatchWithAnEndlessListIsClosed() throws Exception {
        startWithSmallLimit(Setup.config(discovery, backend));
        Peer.Wire watch = discovery.accept();
        watch.read();
        String endless = chunk("1, ".repeat(10_000));
        assertThrows(IOException.class, () -> {
            watch.write(HEAD + chunk("{\"more\":["));
            for (int i = 0; i < 2000; i++) {
                watch.write(endless); // 60 MB in total
            }
        });
        assertTrue(discovery.accept().read().contains("index=41 "));
    }

    /** Checks only the minimum of each pause: on a busy machine timers may be late, but never early. */
    @Test
    void pausesGrowAfterListsThatAreTooLargeEvenIfASmallerOneWasApplied() throws Exception {
        startWithSmallLimit(Setup.config(discovery, backend));
        long pauseMs = Discovery.MIN_TOO_LARGE_PAUSE_MS;
        Peer.Wire watch = discovery.accept();
        watch.read();
        for (int i = 0; i < 2; i++) {
            watch.write(HEAD + chunk(listJson(50 + i, false, "s-1", i == 0 ? "terminating" : "in_service")));
            assertEquals(i == 0 ? State.DRAINING : State.READY, awaitMember().state());
            long beforeNs = System.nanoTime();
            writeUntilClosed(watch, chunk(largeListJson(60)));
            Peer.Wire next = discovery.accept();
            assertTrue(System.nanoTime() - beforeNs >= TimeUnit.MILLISECONDS.toNanos(pauseMs), "call " + i);
            assertTrue(next.read().contains("index=" + (50 + i) + " "),
                    "nothing of the large list was applied");
            watch = next;
            pauseMs *= 2;
        }
        assertTrue(setup.events.stream().noneMatch(t -> t.kind().equals("members")));
    }

    @Test
    void callsRequestedByTheModuleWaitForThePauseAfterATooLargeList() throws Exception {
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root.path("settings")).put("discovery", "on_request");
        ((ObjectNode) root.at("/settings/rules")).put("ask_within_ns", 10_000_000_000L);
        Discovery discoveryClient = startWithSmallLimit(Config.parse(root, Map.of()));
        Peer.Wire watch = discovery.accept();
        watch.read();
        long beforeNs = System.nanoTime();
        writeUntilClosed(watch, HEAD + chunk(largeListJson(42)));
        while (setup.awaitEvent("kind", ListKind.class) != ListKind.FAILED) {
            continue;
        }
        for (int i = 0; i < 10; i++) {
            setup.runOnLoop(() -> discoveryClient.setWatching(true));
        }
        assertTrue(discovery.accept().read().contains("index=41 "));
        assertTrue(System.nanoTime() - beforeNs
                >= TimeUnit.MILLISECONDS.toNanos(Discovery.MIN_TOO_LARGE_PAUSE_MS));
        assertTrue(discovery.hasNoPendingConnection(), "ten requests of the module make one call");
    }

    @Test
    void anInvalidListChangesNothingAndTheWatchIsReopened() throws Exception {
        for (String invalid : List.of("{]\n", "{}\n", "[]\n", "42\n",
                "{\"generation\":42,\"instances\":[{}]}\n", listJson(42, false, "s-1", "resting"))) {
            Peer.Wire watch = discovery.accept();
            watch.read();
            watch.write(HEAD + chunk(invalid));
            assertTrue(watch.awaitClose());
        }
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().contains("index=41 "));
        assertTrue(setup.events.stream().noneMatch(t -> t.kind().equals("members")));
    }

    /** Guards against the end of a watch that had more to deliver being taken for an outage of discovery. */
    @ParameterizedTest
    @CsvSource({
        "'', outdated",
        "'\n', watch ended",
        "'{\"generation\":42,\"instances\":[]}\n', watch ended",
        "'{\"generation\":42,\"instances\":[]}\n{\"generation\":43,', outdated",
        "'{\"generation\":42,\"instances\":[]}\n[1]\n', outdated"})
    void onlyAWatchThatEndsUpToDateMayIndicateAnOutage(String text, String expectedState) throws Exception {
        discovery.accept().read(); // the call of the proxy
        Config config = Setup.config(discovery, backend);
        ListFreshness freshness = new ListFreshness(config.drainGraceNs(), 0);
        freshness.onConfirmed(System.nanoTime());
        Discovery discoveryClient =
                new Discovery(setup.loop, config, setup.proxy, 60_000, 100_000, freshness);
        discoveryClient.resumeFrom(41);
        setup.runOnLoop(() -> discoveryClient.setWatching(true));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + (text.isEmpty() ? "" : chunk(text))).halfClose();
        assertTrue(discovery.accept().read().startsWith("GET /catalog/members?stream=1"));
        String[] state = new String[1];
        setup.runOnLoop(() -> {
            state[0] = freshness.describeState();
            discoveryClient.setWatching(false);
        });
        assertEquals(expectedState, state[0]);
    }

    @Test
    void aStalledWatchIsReopened() throws Exception {
        Config config = Setup.config(discovery, backend);
        discovery.accept().read(); // the call of the proxy
        Discovery discoveryClient = new Discovery(setup.loop, config, setup.proxy, 200, 100_000);
        setup.loop.submit(() -> discoveryClient.setWatching(true)).get(20, TimeUnit.SECONDS);
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        assertTrue(watch.awaitClose());
        discovery.accept().read();
    }

    /** Changes missed by a stalled watch count as delivered 6 s after the last heartbeat, one every 2 s. */
    @Test
    void timeoutsAllowACallAfterAStallAndRetriesWithinTheDrainGrace() {
        assertTrue(Discovery.STALL_TIMEOUT_MS > 2500 && Discovery.STALL_TIMEOUT_MS <= 3000);
        for (long graceMs : new long[] {300, 500, 1500, 4000, 60_000}) {
            long connectMs = Discovery.connectTimeoutMs(graceMs * 1_000_000);
            long worstCaseMs = connectMs + Discovery.maxRetryPauseMs(graceMs * 1_000_000);
            assertTrue(connectMs >= 100 && worstCaseMs <= Math.min(3000, graceMs * 4 / 5),
                    graceMs + ": " + worstCaseMs);
        }
    }

    @Test
    void theProxyIsReadyOnlyAfterTheFirstList() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        try (Peer.Wire client = setup.client()) {
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            watch.write(HEAD + chunk(listJson(42, true, "s-1", "in_service")));
            setup.awaitEvent("kind", ListKind.class);
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    void anAttemptToABackendThatIsGoneIsNotSent() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(listJson(42, false, "s-1", "terminated")));
        assertEquals(State.GONE, awaitMember().state());
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request r = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), knownBackendId, 0));
            assertEquals(Status.MOOT, setup.awaitOutcome().status());
            assertTrue(backend.hasNoPendingConnection());
        }
    }

    @Test
    void numbersOfBackendsThatAreGoneAreReleased() throws Exception {
        Config config = Setup.config(discovery, backend);
        Discovery discoveryClient = new Discovery(setup.loop, config, setup.proxy, 60_000, 100_000);
        setup.runOnLoop(() -> discoveryClient.setWatching(true));
        discovery.accept(); // the call of the proxy
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        for (int i = 0; i < 3; i++) {
            watch.write(chunk(listJson(50 + i, false, "s-" + i, "in_service")));
            awaitMember();
        }
        assertEquals(3, setup.loop.submit(discoveryClient::backendCount).get(20, TimeUnit.SECONDS));
        for (int i = 0; i < 3; i++) {
            watch.write(chunk(listJson(60 + i, false, "s-" + i, "terminated")));
            awaitMember();
        }
        assertEquals(0, setup.loop.submit(discoveryClient::backendCount).get(20, TimeUnit.SECONDS));
    }

    @Test
    void aDrainAppliesToAnAttemptThatIsStillConnecting() throws Exception {
        setup.close();
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root.at("/settings/rules")).put("drain_grace_ns", 1); // ends before any connect
        setup = new Setup().start(Config.parse(root, Map.of()));
        Member draining = new Member(setup.backendId(), 0, State.DRAINING, 0, 3, 0, 1);
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request r = setup.awaitRequest();
            setup.runOnLoop(() -> {
                setup.actions.send(r.ticket(), draining.id(), 0);
                setup.proxy.onListUpdate(new Discovery.ListUpdate(ListKind.DELTA, 42,
                        List.of(new Discovery.ListedBackend(draining, backend.address()))));
            });
            assertEquals(Status.MOOT, setup.awaitOutcome().status());
            assertEquals("", backend.accept().read());
        }
    }

    @Test
    void anInvalidConfigurationIsReportedInOneLine() throws Exception {
        for (String invalid : List.of("/limits/sockets", "/settings/profiles", "/listen",
                "/settings/limits/keepalive_ns")) {
            JsonNode root =
                    Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 100);
            int slash = invalid.lastIndexOf('/');
            ((ObjectNode) root.at(invalid.substring(0, slash)))
                    .remove(invalid.substring(slash + 1));
            String message = assertThrows(ConfigException.class,
                    () -> Config.parse(root, Map.of())).getMessage();
            assertEquals(1, message.lines().count(), message);
        }
    }
}
