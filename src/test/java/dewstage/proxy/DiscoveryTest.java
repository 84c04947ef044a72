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
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What discovery says, and what the proxy makes of it. */
class DiscoveryTest extends LoopbackTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private int known;

    @BeforeEach
    void hearTheKnownList() throws Exception {
        known = server;
        assertEquals(ListKind.CACHED, setup.awaitEvent("kind", ListKind.class));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private String list(int generation, boolean whole, String id, String lifecycle) {
        return """
                {"generation":%d,"reset":%b,"instances":[{"instanceId":"%s","hostPort":"%s","zone":"b",\
                "machineType":"m2","cell":3,"lifecycle":"%s","weight":0.5,"startedAtMs":1700000000000}]}
                """.formatted(generation, whole, id, backend.hostPort(), lifecycle);
    }

    private Member member() throws Exception {
        return (Member) setup.awaitEvent("members", List.class).get(0);
    }

    @Test
    void aListCountsOnceItsEndHasComeAndTheWatchResumesByVersion() throws Exception {
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().startsWith("GET /catalog/members?stream=1&index=41 "));
        String line = list(42, false, "s-1", "terminating");
        watch.write(HEAD + chunk("\n" + line.substring(0, 30)) + chunk(line.substring(30)));
        Member m = member();
        assertEquals(new Member(known, 1, State.DRAINING, 1_700_000_000_000_000_000L, 3, 1, 0.5), m);
        assertEquals(ListKind.DELTA, setup.awaitEvent("kind", ListKind.class));
        String cut = list(43, false, "s-1", "in_service").trim();
        watch.write(chunk(cut.substring(0, cut.length() - 1))).close(); // all but its end: no news
        Peer.Wire second = discovery.accept();
        assertTrue(second.read().startsWith("GET /catalog/members?stream=1&index=42 "));
        second.write(HEAD + chunk(list(44, true, "s-2", "in_service")));
        List<?> changes = setup.awaitEvent("members", List.class);
        assertEquals(2, changes.size());
        assertNotEquals(known, ((Member) changes.get(0)).id());
        assertEquals(State.READY, ((Member) changes.get(0)).state());
        // Not named by the whole list: gone, and said so.
        assertEquals(new Member(known, 1, State.GONE, 1_700_000_000_000_000_000L, 3, 1, 0.5), changes.get(1));
        assertEquals(ListKind.DELTA, setup.awaitEvent("kind", ListKind.class));
    }

    /** What was written of a list counts as told, and the next call may be answered only after the grace. */
    @Test
    void aServerThatAListNamesAsLeavingIsTakenOutAlsoIfTheListBreaksOff() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        String cut = list(42, false, "s-1", "terminating").trim();
        watch.write(HEAD + chunk(cut.substring(0, cut.length() - 2))).close();
        Member m = member();
        assertEquals(known, m.id());
        assertEquals(State.DRAINING, m.state());
        assertTrue(discovery.accept().read().startsWith("GET /catalog/members?stream=1&index=41 "));
    }

    @Test
    void aListMayComeIndentedAndSeveralInOnePiece() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        String indented = list(42, false, "s-1", "terminating").replaceAll("([\\[{,])", "$1\n\n  ");
        watch.write(HEAD);
        for (String piece : indented.split("(?<=\\n)")) {
            watch.write(chunk(piece));
        }
        assertEquals(State.DRAINING, member().state());
        watch.write(chunk("\n" + list(43, false, "s-1", "in_service")
                + list(44, false, "s-1", "terminated").replace("{", "{\r\n\t")));
        assertEquals(State.READY, member().state());
        assertEquals(State.GONE, member().state());
        assertTrue(discovery.hasNoPendingConnection(), "all of it came on one watch");
    }

    @Test
    void emptyLinesInsideAListAreNoSignOfLife() throws Exception {
        Config config = Setup.config(discovery, backend);
        discovery.accept().read(); // that of the proxy
        Discovery quick = new Discovery(setup.loop, config, setup.proxy, 200, 100_000);
        quick.startFrom(41);
        setup.runOnLoop(() -> quick.watch(true));
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk("{\"generation\":42,"));
        Thread beats = new Thread(() -> {
            try {
                while (true) {
                    watch.write(chunk("\n"));
                    Thread.sleep(10);
                }
            } catch (IOException | InterruptedException e) {
                // the proxy has closed it: the test is over
            }
        });
        beats.setDaemon(true);
        beats.start();
        assertTrue(watch.awaitClose());
        assertTrue(discovery.accept().read().contains("index=41 "));
        setup.runOnLoop(() -> quick.watch(false));
    }

    /** A Discovery with little room for its list, which watches in the place of that of the proxy. */
    private Discovery small(Config config) throws Exception {
        discovery.accept().read(); // that of the proxy, which would call again before the pauses are over
        setup.runOnLoop(() -> setup.actions.subscribe(false));
        Discovery small = new Discovery(setup.loop, config, setup.proxy, 60_000, 100_000);
        small.startFrom(41);
        setup.runOnLoop(() -> small.watch(true));
        return small;
    }

    private String large(int generation) {
        String one = list(generation, true, "s-1", "in_service").trim();
        String entry = one.substring(one.indexOf('[') + 1, one.indexOf(']'));
        return one.replace(entry, IntStream.range(0, 1000).mapToObj(i -> entry.replace("s-1", "more-" + i))
                .collect(Collectors.joining(",")));
    }

    /** Writes what the proxy may end the watch in the middle of. */
    private static void refusedWrite(Peer.Wire watch, String text) {
        try {
            watch.write(text);
        } catch (IOException e) {
            // It has had enough before the end. What it does next is what the test looks at.
        }
    }

    @Test
    void aListWithoutEndIsNotReadForEver() throws Exception {
        small(Setup.config(discovery, backend));
        Peer.Wire watch = discovery.accept();
        watch.read();
        String endless = chunk("1, ".repeat(10_000));
        assertThrows(IOException.class, () -> {
            watch.write(HEAD + chunk("{\"more\":["));
            for (int i = 0; i < 2000; i++) {
                watch.write(endless); // 60 MB in all
            }
        });
        assertTrue(discovery.accept().read().contains("index=41 "));
    }

    /** Timers are late on a busy machine, never early. */
    @Test
    void aListThatIsTooLargeIsCalledForInEverLongerPausesAlsoBehindOneThatIsTaken() throws Exception {
        small(Setup.config(discovery, backend));
        long pauseMs = Discovery.FIRST_REFUSAL_MS;
        Peer.Wire watch = discovery.accept();
        watch.read();
        for (int i = 0; i < 2; i++) {
            watch.write(HEAD + chunk(list(50 + i, false, "s-1", i == 0 ? "terminating" : "in_service")));
            assertEquals(i == 0 ? State.DRAINING : State.READY, member().state());
            long before = System.nanoTime();
            refusedWrite(watch, chunk(large(60)));
            Peer.Wire next = discovery.accept();
            assertTrue(System.nanoTime() - before >= TimeUnit.MILLISECONDS.toNanos(pauseMs), "call " + i);
            assertTrue(next.read().contains("index=" + (50 + i) + " "), "nothing of it was taken");
            watch = next;
            pauseMs *= 2;
        }
        assertTrue(setup.events.stream().noneMatch(t -> t.kind().equals("members")));
    }

    @Test
    void theModulesOwnAskingIsNoTightLoopEither() throws Exception {
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root.path("settings")).put("discovery", "on_request");
        ((ObjectNode) root.at("/settings/rules")).put("ask_within_ns", 10_000_000_000L);
        Discovery small = small(Config.parse(root, Map.of()));
        Peer.Wire watch = discovery.accept();
        watch.read();
        long before = System.nanoTime();
        refusedWrite(watch, HEAD + chunk(large(42)));
        while (setup.awaitEvent("kind", ListKind.class) != ListKind.FAILED) {
            continue;
        }
        for (int i = 0; i < 10; i++) {
            setup.runOnLoop(() -> small.watch(true));
        }
        assertTrue(discovery.accept().read().contains("index=41 "));
        assertTrue(System.nanoTime() - before >= TimeUnit.MILLISECONDS.toNanos(Discovery.FIRST_REFUSAL_MS));
        assertTrue(discovery.hasNoPendingConnection(), "ten times asked is one call");
    }

    @Test
    void aListThatIsNotUnderstoodChangesNothingAndTheWatchIsOpenedAgain() throws Exception {
        for (String bad : List.of("{]\n", "{}\n", "[]\n", "42\n", "{\"generation\":42,\"instances\":[{}]}\n",
                list(42, false, "s-1", "resting"))) {
            Peer.Wire watch = discovery.accept();
            watch.read();
            watch.write(HEAD + chunk(bad));
            assertTrue(watch.awaitClose());
        }
        Peer.Wire watch = discovery.accept();
        assertTrue(watch.read().contains("index=41 "));
        assertTrue(setup.events.stream().noneMatch(t -> t.kind().equals("members")));
    }

    @Test
    void aSilentWatchIsGivenUp() throws Exception {
        Config config = Setup.config(discovery, backend);
        discovery.accept().read(); // that of the proxy
        Discovery quick = new Discovery(setup.loop, config, setup.proxy, 200, 100_000);
        setup.loop.submit(() -> quick.watch(true)).get(20, TimeUnit.SECONDS);
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        assertTrue(watch.awaitClose());
        discovery.accept().read();
    }

    /** What a silent watch misses counts as told 6 s after its last beat, and beats come every 2 s. */
    @Test
    void theTimesLeaveRoomForACallAfterASilenceAndForTriesWithinADrainsGrace() {
        assertTrue(Discovery.SILENCE_MS > 2500 && Discovery.SILENCE_MS <= 3000);
        for (long graceMs : new long[] {300, 500, 1500, 4000, 60_000}) {
            long tryMs = Discovery.connectMs(graceMs * 1_000_000);
            long late = tryMs + Discovery.longestPauseMs(graceMs * 1_000_000);
            assertTrue(tryMs >= 100 && late <= Math.min(3000, graceMs * 4 / 5), graceMs + ": " + late);
        }
    }

    @Test
    void readyOnlyOnceTheListIsIn() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        try (Peer.Wire client = setup.client()) {
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            watch.write(HEAD + chunk(list(42, true, "s-1", "in_service")));
            setup.awaitEvent("kind", ListKind.class);
            client.write("GET /_health HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    void nothingGoesToABackendThatIsGone() throws Exception {
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD + chunk(list(42, false, "s-1", "terminated")));
        assertEquals(State.GONE, member().state());
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request r = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), known, 0));
            assertEquals(Status.MOOT, setup.awaitOutcome().status());
            assertTrue(backend.hasNoPendingConnection());
        }
    }

    @Test
    void numbersOfBackendsThatAreGoneAreGivenUp() throws Exception {
        Config config = Setup.config(discovery, backend);
        Discovery d = new Discovery(setup.loop, config, setup.proxy, 60_000, 100_000);
        setup.runOnLoop(() -> d.watch(true));
        discovery.accept(); // that of the proxy
        Peer.Wire watch = discovery.accept();
        watch.read();
        watch.write(HEAD);
        for (int i = 0; i < 3; i++) {
            watch.write(chunk(list(50 + i, false, "s-" + i, "in_service")));
            member();
        }
        assertEquals(3, setup.loop.submit(d::numbered).get(20, TimeUnit.SECONDS));
        for (int i = 0; i < 3; i++) {
            watch.write(chunk(list(60 + i, false, "s-" + i, "terminated")));
            member();
        }
        assertEquals(0, setup.loop.submit(d::numbered).get(20, TimeUnit.SECONDS));
    }

    @Test
    void newsOfADrainCountsForAnAttemptThatIsStillConnecting() throws Exception {
        setup.close();
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root.at("/settings/rules")).put("drain_grace_ns", 1); // over before any connect
        setup = new Setup().start(Config.parse(root, Map.of()));
        Member drains = new Member(setup.backendId(), 0, State.DRAINING, 0, 3, 0, 1);
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request r = setup.awaitRequest();
            setup.runOnLoop(() -> {
                setup.actions.send(r.ticket(), drains.id(), 0);
                setup.proxy.onListUpdate(new Discovery.ListUpdate(ListKind.DELTA, 42,
                        List.of(new Discovery.Listed(drains, backend.address()))));
            });
            assertEquals(Status.MOOT, setup.awaitOutcome().status());
            assertEquals("", backend.accept().read());
        }
    }

    @Test
    void aBadConfigurationIsSaidInOneLine() throws Exception {
        for (String bad : List.of("/limits/sockets", "/settings/profiles", "/listen",
                "/settings/limits/keepalive_ns")) {
            JsonNode root =
                    Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 100);
            int slash = bad.lastIndexOf('/');
            ((ObjectNode) root.at(bad.substring(0, slash)))
                    .remove(bad.substring(slash + 1));
            String message = assertThrows(ConfigException.class,
                    () -> Config.parse(root, Map.of())).getMessage();
            assertEquals(1, message.lines().count(), message);
        }
    }
}
