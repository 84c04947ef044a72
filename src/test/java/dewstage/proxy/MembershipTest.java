package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.State;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What is told of lists, however they come, against what they say. */
class MembershipTest {
    private Membership membership = new Membership(Long.MAX_VALUE);
    private Config config;

    @BeforeEach
    void read() throws Exception {
        config = Config.parse(Setup.json("127.0.0.1:1", "127.0.0.1:2", 1024, 100), Map.of());
    }

    /** What comes of a text in pieces of so many bytes. */
    private List<Discovery.ListUpdate> read(String text, int piece) throws IOException {
        ListReader lists = new ListReader(membership, config);
        List<Discovery.ListUpdate> updates = new ArrayList<>();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try (Json.Stream stream = new Json.Stream()) {
            for (int i = 0; i < bytes.length; i += piece) {
                byte[] part = Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + piece));
                stream.feed(part, (parser, token) -> {
                    Discovery.ListUpdate n = lists.take(parser, token);
                    if (n != null) {
                        updates.add(n);
                    }
                });
            }
        }
        return updates;
    }

    private Discovery.ListUpdate one(String text) throws IOException {
        List<Discovery.ListUpdate> updates = read(text, text.length());
        assertEquals(1, updates.size());
        return updates.get(0);
    }

    private static String entry(String id, int cell, String lifecycle, int weight) {
        return """
                {"instanceId":"%s","later":{"a":[{"instances":[]}],"cell":7},"hostPort":"10.0.0.%d:%d",
                "zone":"b","machineType":"m2","cell":%d,"lifecycle":"%s","weight":%d,"startedAtMs":5,
                "more":[1,[2]]}
                """.formatted(id, cell, 9000 + weight, cell, lifecycle, weight);
    }

    private static String list(boolean whole, boolean late, String entries) {
        String head = "\"generation\":7,\"x\":{\"generation\":[{}]},\"reset\":" + whole;
        return "{" + (late ? "" : head + ",") + "\"instances\":[" + entries + "]" + (late ? "," + head : "")
                + "}";
    }

    private static String entries(int from, int to) {
        List<String> entries = new ArrayList<>();
        for (int i = from; i < to; i++) {
            entries.add(entry("more-" + i, i & 255, "in_service", 1));
        }
        return String.join(",", entries);
    }

    /** The first two ids that wish for one number. */
    private static List<String> ofOneNumber() {
        Map<Integer, String> seen = new HashMap<>();
        for (int i = 0;; i++) {
            String other = seen.put(Entries.number("s-" + i), "s-" + i);
            if (other != null) {
                return List.of(other, "s-" + i);
            }
        }
    }

    /** Lists of all kinds in any order, some cut short: after each, what was told is what the lists say. */
    @Test
    void whatIsToldAddsUpToWhatIsListedAndNothingIsToldTwice() throws Exception {
        List<String> ids = new ArrayList<>(ofOneNumber());
        ids.addAll(List.of("a", "b", "c", "d"));
        Map<Integer, String> listed = new TreeMap<>(); // by place in the ids, which is the cell
        Map<Integer, Discovery.Listed> told = new HashMap<>();
        Random random = new Random(11);
        Set<ListKind> kinds = new HashSet<>();
        for (int round = 0; round < 3000; round++) {
            boolean whole = random.nextInt(3) == 0;
            boolean cut = random.nextInt(4) == 0;
            Map<Integer, String> next = whole ? new TreeMap<>() : new TreeMap<>(listed);
            List<String> entries = new ArrayList<>();
            for (int i = random.nextInt(8); i > 0; i--) {
                int cell = random.nextInt(ids.size());
                String state = List.of("in_service", "in_service", "terminating", "terminated")
                        .get(random.nextInt(4));
                int weight = 1 + random.nextInt(2);
                entries.add(entry(ids.get(cell), cell, state, weight));
                if (state.equals("terminated")) {
                    next.remove(cell);
                } else {
                    next.put(cell, state + weight);
                }
            }
            String text = list(whole, random.nextBoolean(), String.join(",", entries));
            int end = cut ? random.nextInt(text.length()) : text.length();
            List<Discovery.ListUpdate> updates = read(text.substring(0, end), 1 + random.nextInt(90));
            assertEquals(cut ? 0 : 1, updates.size());
            listed = cut ? listed : next;
            for (Discovery.ListUpdate n : updates) {
                kinds.add(n.kind());
                for (Discovery.Listed l : n.list()) {
                    Discovery.Listed before = told.get(l.member().id());
                    assertTrue(before == null || !before.same(l), "told twice");
                    assertEquals(l.member().cell(),
                            before == null ? l.member().cell() : before.member().cell(),
                            "a number went over from one to another");
                    assertTrue(before != null || l.member().state() != State.GONE);
                    told.put(l.member().id(), l);
                }
                told.values().removeIf(l -> l.member().state() == State.GONE);
            }
            Map<Integer, String> said = new TreeMap<>();
            told.values().forEach(l -> assertNull(said.put(l.member().cell(),
                    (l.member().state() == State.READY ? "in_service" : "terminating")
                            + (l.address().getPort() - 9000)), "one backend under two numbers"));
            assertEquals(listed, said, "round " + round);
            assertEquals(listed.size(), membership.size());
        }
        assertEquals(Set.of(ListKind.FULL, ListKind.DELTA), kinds, "the first whole list, and what differs");
    }

    @Test
    void twoIdsOfOneHashAreTwoBackendsAlsoOnceTheFirstHasLeft() throws Exception {
        List<String> ids = ofOneNumber();
        Discovery.ListUpdate both = one(list(true, false, entry(ids.get(0), 1, "in_service", 1) + ","
                + entry(ids.get(1), 2, "in_service", 1)));
        int second = both.list().get(1).member().id();
        assertNotEquals(both.list().get(0).member().id(), second);
        one(list(false, false, entry(ids.get(0), 1, "terminated", 1)));
        Discovery.ListUpdate moved = one(list(false, false, entry(ids.get(1), 2, "in_service", 2)));
        assertEquals(second, moved.list().get(0).member().id());
        assertEquals(1, membership.size());
    }

    @Test
    void anEntryIsHeldOnceAndIsTheOneThatTheModuleGets() throws Exception {
        Discovery.ListUpdate first = one(list(true, true, entries(0, 3)));
        Member m = first.members().get(1);
        assertEquals(new Member(m.id(), 1, State.READY, 5_000_000, 1, 1, 1), m);
        assertEquals("/10.0.0.1:9001", first.list().get(1).address().toString());
        assertEquals(List.of(), one(list(true, true, entries(0, 3))).list());
        Discovery.Listed six = new Discovery.Listed(m, Config.address("[2001:db8::1]:80"));
        assertEquals(Config.address("[2001:db8::1]:80"), six.address());
        assertTrue(!six.same(new Discovery.Listed(m, Config.address("[2001:db8::2]:80"))));
    }

    @Test
    void whatFitsIsTakenAgainAndAgainAndWhatDoesNotLeavesTheOldStanding() throws Exception {
        membership = new Membership(100 * 470); // 160 each here, 300 in the module, and the id's letters
        String most = list(true, true, entries(0, 98));
        assertEquals(98, one(most).list().size());
        for (int i = 0; i < 5; i++) {
            assertEquals(0, one(most).list().size());
            assertThrows(TooLargeException.class, () -> one(list(true, false, entries(0, 103))));
            assertThrows(TooLargeException.class, () -> one(list(true, false, entries(50, 150))));
            assertThrows(StreamConstraintsException.class,
                    () -> one(list(false, false, entry("x".repeat(1 << 20), 1, "in_service", 1))));
        }
        assertEquals(98, membership.size());
        assertEquals(97, one(list(true, false, entries(0, 1))).list().size());
        assertEquals(97, one(most).list().size(), "room was given back");
    }

    /** The least time of the thread's own, of some, that a list of so many entries takes when heard again. */
    private long heardAgainNs(int entries) throws IOException {
        String text = list(true, false, entries(0, entries));
        membership = new Membership(Long.MAX_VALUE);
        assertEquals(entries, one(text).list().size());
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            assertEquals(0, one(text).list().size());
            least = Math.min(least, ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before);
        }
        return least;
    }

    @Test
    void aWholeListHeardAgainCostsByItsLengthAndNotByTheSquare() throws Exception {
        heardAgainNs(2000); // loads and compiles
        long few = heardAgainNs(1000);
        long many = heardAgainNs(16_000);
        assertTrue(many < 64 * few, "16 times the entries, " + many / few + " times the work");
    }
}
