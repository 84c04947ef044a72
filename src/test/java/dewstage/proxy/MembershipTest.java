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

/** Compares the updates made from lists, in any form and order, with the contents of the lists. */
class MembershipTest {
    private Membership membership = new Membership(Long.MAX_VALUE);
    private Config config;

    @BeforeEach
    void readConfig() throws Exception {
        config = Config.parse(Setup.json("127.0.0.1:1", "127.0.0.1:2", 1024, 100), Map.of());
    }

    /** Reads a text in pieces of this size; returns the updates. */
    private List<ListUpdate> read(String text, int pieceBytes) throws IOException {
        ListReader reader = new ListReader(membership, config);
        List<ListUpdate> updates = new ArrayList<>();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try (Json.TokenStream stream = new Json.TokenStream()) {
            for (int i = 0; i < bytes.length; i += pieceBytes) {
                byte[] part = Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + pieceBytes));
                stream.feed(part, (parser, token) -> {
                    ListUpdate update = reader.accept(parser, token);
                    if (update != null) {
                        updates.add(update);
                    }
                });
            }
        }
        return updates;
    }

    private ListUpdate readOne(String text) throws IOException {
        List<ListUpdate> updates = read(text, text.length());
        assertEquals(1, updates.size());
        return updates.get(0);
    }

    private static String entryJson(String id, int cell, String lifecycle, int weight) {
        return """
                {"instanceId":"%s","later":{"a":[{"instances":[]}],"cell":7},"hostPort":"10.0.0.%d:%d",
                "zone":"b","machineType":"m2","cell":%d,"lifecycle":"%s","weight":%d,"startedAtMs":5,
                "more":[1,[2]]}
                """.formatted(id, cell, 9000 + weight, cell, lifecycle, weight);
    }

    private static String listJson(boolean isFullList, boolean isHeadLast, String entries) {
        String head = "\"generation\":7,\"x\":{\"generation\":[{}]},\"reset\":" + isFullList;
        return "{" + (isHeadLast ? "" : head + ",") + "\"instances\":[" + entries + "]"
                + (isHeadLast ? "," + head : "") + "}";
    }

    private static String entriesJson(int from, int to) {
        List<String> entries = new ArrayList<>();
        for (int i = from; i < to; i++) {
            entries.add(entryJson("more-" + i, i & 255, "in_service", 1));
        }
        return String.join(",", entries);
    }

    /** Returns the first two ids with the same preferred number. */
    private static List<String> collidingIds() {
        Map<Integer, String> seen = new HashMap<>();
        for (int i = 0;; i++) {
            String other = seen.put(Entries.preferredNumber("s-" + i), "s-" + i);
            if (other != null) {
                return List.of(other, "s-" + i);
            }
        }
    }

    /** Reads random lists, some truncated. After each, all updates together equal the current list. */
    @Test
    void updatesAddUpToTheListAndRepeatNothing() throws Exception {
        List<String> ids = new ArrayList<>(collidingIds());
        ids.addAll(List.of("a", "b", "c", "d"));
        Map<Integer, String> expected = new TreeMap<>(); // by index of the id, which is also the cell
        Map<Integer, ListedBackend> received = new HashMap<>();
        Random random = new Random(11);
        Set<ListKind> kinds = new HashSet<>();
        for (int round = 0; round < 3000; round++) {
            boolean isFullList = random.nextInt(3) == 0;
            boolean isTruncated = random.nextInt(4) == 0;
            Map<Integer, String> next = isFullList ? new TreeMap<>() : new TreeMap<>(expected);
            List<String> instances = new ArrayList<>();
            for (int i = random.nextInt(8); i > 0; i--) {
                int cell = random.nextInt(ids.size());
                String state = List.of("in_service", "in_service", "terminating", "terminated")
                        .get(random.nextInt(4));
                int weight = 1 + random.nextInt(2);
                instances.add(entryJson(ids.get(cell), cell, state, weight));
                if (state.equals("terminated")) {
                    next.remove(cell);
                } else {
                    next.put(cell, state + weight);
                }
            }
            String text = listJson(isFullList, random.nextBoolean(), String.join(",", instances));
            int end = isTruncated ? random.nextInt(text.length()) : text.length();
            List<ListUpdate> updates = read(text.substring(0, end), 1 + random.nextInt(90));
            assertEquals(isTruncated ? 0 : 1, updates.size());
            expected = isTruncated ? expected : next;
            for (ListUpdate update : updates) {
                kinds.add(update.kind());
                for (ListedBackend backend : update.entries()) {
                    ListedBackend before = received.get(backend.member().id());
                    assertTrue(before == null || !before.isSameAs(backend),
                            "an unchanged entry was reported again");
                    assertEquals(backend.member().cell(),
                            before == null ? backend.member().cell() : before.member().cell(),
                            "a number was reassigned to another backend");
                    assertTrue(before != null || backend.member().state() != State.GONE);
                    received.put(backend.member().id(), backend);
                }
                received.values().removeIf(backend -> backend.member().state() == State.GONE);
            }
            Map<Integer, String> actual = new TreeMap<>();
            received.values().forEach(backend -> assertNull(actual.put(backend.member().cell(),
                    (backend.member().state() == State.READY ? "in_service" : "terminating")
                            + (backend.address().getPort() - 9000)), "one backend has two numbers"));
            assertEquals(expected, actual, "round " + round);
            assertEquals(expected.size(), membership.size());
        }
        assertEquals(Set.of(ListKind.FULL, ListKind.DELTA), kinds, "the first full list, then differences");
    }

    @Test
    void idsWithCollidingHashesKeepTheirNumbersAfterOneLeaves() throws Exception {
        List<String> ids = collidingIds();
        ListUpdate update = readOne(listJson(true, false,
                entryJson(ids.get(0), 1, "in_service", 1) + "," + entryJson(ids.get(1), 2, "in_service", 1)));
        int second = update.entries().get(1).member().id();
        assertNotEquals(update.entries().get(0).member().id(), second);
        readOne(listJson(false, false, entryJson(ids.get(0), 1, "terminated", 1)));
        ListUpdate moved =
                readOne(listJson(false, false, entryJson(ids.get(1), 2, "in_service", 2)));
        assertEquals(second, moved.entries().get(0).member().id());
        assertEquals(1, membership.size());
    }

    @Test
    void anEntryIsConvertedToAMemberAndReportedOnce() throws Exception {
        ListUpdate first = readOne(listJson(true, true, entriesJson(0, 3)));
        Member member = first.members().get(1);
        assertEquals(new Member(member.id(), 1, State.READY, 5_000_000, 1, 1, 1), member);
        assertEquals("/10.0.0.1:9001", first.entries().get(1).address().toString());
        assertEquals(List.of(), readOne(listJson(true, true, entriesJson(0, 3))).entries());
        ListedBackend ipv6Backend =
                new ListedBackend(member, Config.address("[2001:db8::1]:80"));
        assertEquals(Config.address("[2001:db8::1]:80"), ipv6Backend.address());
        assertTrue(!ipv6Backend.isSameAs(
                new ListedBackend(member, Config.address("[2001:db8::2]:80"))));
    }

    /** Only the last entry of an id counted, while all of them were kept until the end of the list. */
    @Test
    void entriesRepeatedInOneListCountTowardsItsLimit() throws Exception {
        membership = new Membership(100 * 470);
        List<String> repeated = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            repeated.add(entryJson("same", 1, "in_service", 1 + i % 2));
        }
        assertThrows(TooLargeException.class,
                () -> readOne(listJson(true, false, String.join(",", repeated))));
        assertEquals(0, membership.size());
    }

    @Test
    void repeatedListsFitAndListsThatAreTooLargeChangeNothing() throws Exception {
        membership = new Membership(100 * 470); // per entry: 160, 300 in the module, and the chars of the id
        String largest = listJson(true, true, entriesJson(0, 98));
        assertEquals(98, readOne(largest).entries().size());
        for (int i = 0; i < 5; i++) {
            assertEquals(0, readOne(largest).entries().size());
            assertThrows(TooLargeException.class, () -> readOne(listJson(true, false, entriesJson(0, 103))));
            assertThrows(TooLargeException.class, () -> readOne(listJson(true, false, entriesJson(50, 150))));
            assertThrows(StreamConstraintsException.class,
                    () -> readOne(listJson(false, false,
                            entryJson("x".repeat(1 << 20), 1, "in_service", 1))));
        }
        assertEquals(98, membership.size());
        assertEquals(97, readOne(listJson(true, false, entriesJson(0, 1))).entries().size());
        assertEquals(97, readOne(largest).entries().size(), "memory was released");
    }

    /** Returns the shortest CPU time of several runs to read an unchanged list of this length again. */
    private long repeatedListNs(int entryCount) throws IOException {
        String text = listJson(true, false, entriesJson(0, entryCount));
        membership = new Membership(Long.MAX_VALUE);
        assertEquals(entryCount, readOne(text).entries().size());
        long shortestNs = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            long beforeNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            assertEquals(0, readOne(text).entries().size());
            shortestNs = Math.min(shortestNs,
                    ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - beforeNs);
        }
        return shortestNs;
    }

    @Test
    void theCostOfARepeatedFullListIsNotQuadraticInItsLength() throws Exception {
        repeatedListNs(2000); // warm-up
        long smallNs = repeatedListNs(1000);
        long largeNs = repeatedListNs(16_000);
        assertTrue(largeNs < 64 * smallNs, "16 times the entries, " + largeNs / smallNs + " times the work");
    }
}
