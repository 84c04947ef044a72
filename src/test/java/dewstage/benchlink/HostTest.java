package dewstage.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Decodes and encodes frames; the expected record bytes are those of the wire protocol document. */
class HostTest {
    private static final String CONFIG =
            """
            balancers=3
            discovery=pushed
            limits.max_attempts=4
            limits.may_duplicate=true
            limits.retry_after=true
            limits.max_retry_after_ns=2000000000
            me=0
            profiles.count=1
            profiles.0.effect=deduplicated
            profiles.0.dedup_scope=zone
            profiles.0.give_up_ns=4000000000
            profiles.0.promise_ns=750000000
            profiles.0.window_ns=8000000000
            profiles.0.worth=8.0
            report.columns=backlog,utilization
            rules.cold_ns=9000000000
            rules.fall_ns=2000000000
            profiles.0.sequential=true
            rules.busy_is_no_proof=true
            rules.start_capacity=0.33
            rules.tip_multiple=4.0
            rules.turn_gap_ns=300000000
            some.unknown.key=yes
            step_ns=5000000
            weights=silent
            zone=0
            """;
    private static final String CLOCK = "90bf68f501000000";
    private static final String REQUEST_EVENT =
            "0303000000c4913a5d000000640ad2557c3bf091001c4e0e00000000" + "001bb70000000000" + "0100" + "00".repeat(10);
    private static final String TIMER_EVENT = "07030000004d00000000000000" + "00".repeat(35);
    private static final String OUTCOME_EVENT = "0503000000c4913a5d0000074a12030100a0491a0100000000010200004040"
            + "52b81e3f0000000000000000" + "00".repeat(5);

    private final List<String> moduleCalls = new ArrayList<>();
    private Balancer.Actions moduleActions;
    private Balancer.Settings settings;

    /** Records each call; the test supplies what it does on a request. */
    private final class Recorder implements Balancer {
        private final Runnable onRequest;

        Recorder(Runnable onRequest) {
            this.onRequest = onRequest;
        }

        @Override
        public void onMembers(long now, ListKind kind, long version, List<Member> members) {
            moduleCalls.add("members " + kind + " " + version + " " + members);
        }

        @Override
        public void onRequest(long now, Request request) {
            moduleCalls.add("request " + request);
            onRequest.run();
        }

        @Override
        public void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs) {
            moduleCalls.add("begun " + attempt + " " + server + " " + elapsedNs);
        }

        @Override
        public void onOutcome(long now, Outcome outcome) {
            moduleCalls.add("outcome " + outcome);
        }

        @Override
        public void onWithdrawn(long now, int ticket) {
            moduleCalls.add("withdrawn " + ticket);
        }

        @Override
        public void onTimer(long now, long token) {
            moduleCalls.add("timer " + now + " " + token);
        }

        @Override
        public void onProbe(long now, int server, Status status, long elapsedNs, Report report) {
            moduleCalls.add("probe " + server + " " + status + " " + elapsedNs + " " + report.util());
        }

        @Override
        public void onPeer(long now, int peer, byte[] message) {
            moduleCalls.add("peer " + peer + " " + new String(message, StandardCharsets.UTF_8));
        }
    }

    /** Returns a value as the hex digits of 4 little-endian bytes. */
    private static String u32(int value) {
        return HexFormat.of().toHexDigits(Integer.reverseBytes(value));
    }

    private static String hex(String text) {
        return HexFormat.of().formatHex(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a frame of hex records followed by a hex tail. */
    private static String frame(String tail, String... records) {
        String body = String.join("", records) + tail;
        return u32(body.length() / 2) + u32(records.length) + CLOCK + body;
    }

    private static String start(String config) {
        return frame(hex(config), "0103000000" + "2a00000000000000" + u32(0) + u32(config.length()) + "00".repeat(27));
    }

    private String run(Runnable onRequest, String... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Host((startSettings, seed, now, actions) -> {
                    settings = startSettings;
                    moduleActions = actions;
                    moduleCalls.add("start " + seed);
                    return new Recorder(onRequest);
                })
                .serve(new ByteArrayInputStream(HexFormat.of().parseHex(String.join("", frames))), out);
        return HexFormat.of().formatHex(out.toByteArray());
    }

    private String run(String... frames) throws IOException {
        return run(() -> {}, frames);
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("0000000000000000", run("0000000000000000" + CLOCK));
    }

    @Test
    void replyMatchesTheWireDocumentByteForByte() throws IOException {
        String reply = run(
                () -> {
                    moduleActions.send(0x5d3a91c4, 0x03124a07, 80_000_000L);
                    moduleActions.timer(0x213362490L, 0x4d);
                    moduleActions.log("two servers known");
                },
                start(CONFIG),
                frame("", REQUEST_EVENT));
        assertEquals(
                "0000000000000000" + "0300000059000000"
                        + "4103000000c4913a5d074a120300b4c40400000000000000"
                        + "45030000009024361302000000" + "4d00000000000000000000"
                        + "49030000000000000011000000" + "00".repeat(11)
                        + "74776f2073657276657273206b6e6f776e",
                reply);
    }

    @Test
    void remainingActionsAreEncodedWithTheirCodesAndFields() throws IOException {
        String reply = run(
                () -> {
                    moduleActions.refuse(0x0e6f2b19, 0x0ee6b280L);
                    moduleActions.fail(0x0e6f2b19);
                    moduleActions.cancel(0x5d3a91c4, 2);
                    moduleActions.probe(0x2c9011f2);
                    moduleActions.closeIdle(0x2c9011f2);
                    moduleActions.tell(-1, "hi 7".getBytes(StandardCharsets.UTF_8));
                    moduleActions.subscribe(true);
                    moduleActions.subscribe(false);
                    moduleActions.reload();
                },
                start(CONFIG),
                frame("", REQUEST_EVENT));
        assertEquals(
                "0000000000000000" + "09000000" + u32(9 * 24 + 4)
                        + "4203000000192b6f0e80b2e60e00000000" + "00".repeat(7)
                        + "4303000000192b6f0e" + "00".repeat(15)
                        + "4403000000c4913a5d0200" + "00".repeat(13)
                        + "4603000000f211902c" + "00".repeat(15)
                        + "4703000000f211902c" + "00".repeat(15)
                        + "4803000000ffffffff0000000004000000" + "00".repeat(7)
                        + "4b0300000001" + "00".repeat(18)
                        + "4b0300000000" + "00".repeat(18)
                        + "4c03000000" + "00".repeat(19)
                        + "68692037",
                reply);
    }

    @Test
    void eventsOfTheWireDocumentAreDecoded() throws IOException {
        String entries = "074a1203" + "0000" + "01" + "0000000000000000" + "0000" + "00" + "0000803f" + "f211902c"
                + "0000" + "01" + "009d966b01000000" + "0000" + "01" + "0000c03f";
        run(
                start(CONFIG),
                frame(
                        entries,
                        "0b00000000000002000000" + "00".repeat(37),
                        "02030000000229000000000000000000" + "00".repeat(32)),
                frame("", REQUEST_EVENT, TIMER_EVENT, OUTCOME_EVENT, "0603000000192b6f0e" + "00".repeat(39)),
                frame(
                        "68692037",
                        "0403000000c4913a5d0000074a1203d0248d0000000000" + "00".repeat(25),
                        "0803000000f211902c0100c05c1500000000000200004040" + "52b81e3f0000000000000000"
                                + "00".repeat(12),
                        "0903000000020000000000000004000000" + "00".repeat(31)));
        assertEquals(
                List.of(
                        "start 42",
                        "members CACHED 41 [Member[id=51530247, kind=0, state=READY, bootNs=0, cell=0, zone=0, "
                                + "units=1.0], "
                                + "Member[id=747639282, kind=0, state=READY, bootNs=6100000000, "
                                + "cell=0, zone=1, units=1.5]]",
                        "request Request[ticket=1564119492, profile=0, tenant=0, key=-7930773538597631388, "
                                + "leftNs=240000000, "
                                + "hintNs=12000000, repeat=false]",
                        "timer 8412250000 77",
                        "outcome Outcome[ticket=1564119492, attempt=0, server=51530247, status=OK, "
                                + "elapsedNs=18500000, "
                                + "over=true, report=Report[inflight=NaN, queue=3.0, "
                                + "util=0.6200000047683716, recentMs=NaN, "
                                + "perSecond=NaN, errorsPerSecond=NaN]]",
                        "withdrawn 242166553",
                        "begun 0 51530247 9250000",
                        "probe 747639282 OK 1400000 0.6200000047683716",
                        "peer 2 hi 7"),
                moduleCalls);
    }

    @Test
    void settingsAreParsedAndUnknownKeysIgnored() throws IOException {
        run(start(CONFIG));
        assertEquals(3, settings.balancers());
        assertEquals(Balancer.Scope.ZONE, settings.profiles().get(0).scope());
        assertEquals(8_000_000_000L, settings.profiles().get(0).windowNs());
        assertEquals(0.33, settings.startCapacity());
        assertEquals(2_000_000_000L, settings.maxRetryAfterNs());
        assertEquals(4, settings.maxAttempts());
        assertTrue(settings.fullIsNoProof());
        assertTrue(settings.profiles().get(0).sequential());
        assertEquals(300_000_000L, settings.turnGapNs());
    }

    @Test
    void absentRulesAreDisabled() throws IOException {
        run(start(CONFIG.replaceAll("rules.busy.*\n|rules.turn.*\n|.*sequential.*\n", "")));
        assertFalse(settings.fullIsNoProof());
        assertFalse(settings.profiles().get(0).sequential());
        assertEquals(0, settings.turnGapNs());
    }

    private void assertRejected(String message, String... frames) {
        WireException e = assertThrows(WireException.class, () -> run(frames));
        assertEquals(message, e.getMessage());
    }

    @Test
    void malformedInputIsRejectedWithItsCause() {
        assertRejected("input ends inside a frame header", "0000000000");
        assertRejected("input ends inside a frame", "3000000001000000" + CLOCK + "03");
        assertRejected("2 records do not fit in a frame of 48 bytes", "3000000002000000" + CLOCK + "00".repeat(48));
        assertRejected("unknown event code 12", frame("", "0c" + "00".repeat(47)));
        assertRejected("unknown event code 0", frame("", "00".repeat(48)));
        assertRejected("event 7 for instance 3, which is not running", frame("", TIMER_EVENT));
        assertRejected("event 10 for instance 3, which is not running", frame("", "0a03000000" + "00".repeat(43)));
        assertRejected(
                "request has class 1, number of classes is 1",
                start(CONFIG),
                frame("", REQUEST_EVENT.replace("5d00", "5d01")));
        assertRejected(
                "list number 5 was not defined",
                start(CONFIG),
                frame("", "0203000000022900000000000000" + "0500" + "00".repeat(32)));
        assertRejected(
                "tail reference of 44 bytes at 0 exceeds the tail of 4 bytes",
                frame("00000000", "0b00000000000002000000" + "00".repeat(37)));
        assertRejected(
                "unknown outcome 9", start(CONFIG), frame("", OUTCOME_EVENT.replace("074a12030100", "074a12030900")));
        assertRejected(
                "load report has 7 values, maximum is 4",
                start(CONFIG),
                frame("", OUTCOME_EVENT.replace("000102000040", "000107000040")));
    }

    @Test
    void missingAndInvalidSettingsAreRejectedByName() {
        assertRejected("setting rules.cold_ns is missing", start(CONFIG.replace("rules.cold_ns=9000000000\n", "")));
        assertRejected("setting me is not a whole number: first", start(CONFIG.replace("me=0", "me=first")));
        assertRejected(
                "setting rules.tip_multiple is not a number: NaN",
                start(CONFIG.replace("tip_multiple=4.0", "tip_multiple=NaN")));
        assertRejected(
                "setting profiles.0.effect has an unknown value: twice",
                start(CONFIG.replace("effect=deduplicated", "effect=twice")));
    }

    @Test
    void anExceptionOfTheModuleBecomesAnExceptionAction() throws IOException {
        String reply = run(
                () -> {
                    throw new IllegalStateException("index out of range");
                },
                start(CONFIG),
                frame("", REQUEST_EVENT));
        String text = new String(HexFormat.of().parseHex(reply.substring(16 + 16 + 48)), StandardCharsets.UTF_8);
        assertEquals("4a", reply.substring(32, 34));
        assertTrue(text.contains("index out of range"), text);
    }

    @Test
    void aListNumberCanBeRedefinedWithinABatch() throws IOException {
        String singleEntry = "074a1203" + "0000" + "01" + "0000000000000000" + "0000" + "00" + "0000803f";
        String membersEvent = "0203000000002900000000000000" + "0000" + "00".repeat(32);
        run(
                start(CONFIG),
                frame(
                        singleEntry,
                        "0b00000000000001000000" + "00".repeat(37),
                        membersEvent,
                        "0b00000000000000000000" + "00".repeat(37),
                        membersEvent));
        assertTrue(moduleCalls.get(1).contains("51530247"), moduleCalls.get(1));
        assertTrue(moduleCalls.get(2).endsWith("[]"), moduleCalls.get(2));
    }

    @Test
    void eventsForAStoppedInstanceAreRejected() {
        assertRejected(
                "event 7 for instance 3, which is not running",
                start(CONFIG),
                frame("", "0a03000000" + "00".repeat(43)),
                frame("", TIMER_EVENT));
    }
}
