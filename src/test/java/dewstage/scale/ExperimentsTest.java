package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Short runs of the experiments: checks counts and ratios of the measured values, never absolute times. */
@Timeout(120)
class ExperimentsTest {
    private static final List<String> SHORT =
            List.of("--repeat", "1", "--seconds", "60", "--json", "-");

    private static JsonNode run(String... args) throws Exception {
        return report(Stream.concat(Stream.of(args), Stream.of("--warm-up", "0")).toArray(String[]::new));
    }

    private static JsonNode report(String... args) throws Exception {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int code = Scale.run(new PrintWriter(out), new PrintWriter(err),
                Stream.concat(Stream.of(args), SHORT.stream()).toArray(String[]::new));
        assertEquals(0, code, err.toString());
        return new ObjectMapper().readTree(out.toString()).path("tables");
    }

    private static JsonNode table(JsonNode tables, String title) {
        for (JsonNode t : tables) {
            if (t.path("title").asText().startsWith(title)) {
                return t.path("rows");
            }
        }
        throw new AssertionError("no table " + title);
    }

    /** Returns the samples of a step after checking that no proxy is missing in any. */
    private static List<JsonNode> samples(JsonNode tables, String step) {
        List<JsonNode> rows = new ArrayList<>();
        for (JsonNode row : table(tables, "all proxies together")) {
            if (row.path("step").asText().startsWith(step)) {
                assertEquals(0, row.path("missing").asInt(), row.toString());
                rows.add(row);
            }
        }
        assertTrue(!rows.isEmpty(), "no step " + step);
        return rows;
    }

    private static double slope(JsonNode tables, String step, String column, String per) {
        for (JsonNode row : table(tables, "slopes")) {
            if (row.path("step").asText().equals(step) && row.path("of").asText().equals(column)
                    && row.path("per").asText().equals(per)) {
                return row.path("slope").asDouble();
            }
        }
        throw new AssertionError("no slope of " + column + " per " + per);
    }

    /** Checks that the value of a column per proxy is within the bounds in each row. */
    private static void assertPerProxy(List<JsonNode> rows, String column, int min, int max) {
        for (JsonNode row : rows) {
            double perProxy = row.path(column).asDouble() / row.path("proxies").asInt();
            assertTrue(perProxy >= min && perProxy <= max, column + ": " + row);
        }
    }

    @Test
    void aProxyCallsOnceForItsListAndItsBytesGrowWithTheEntries() throws Exception {
        JsonNode tables = run("start", "--entries", "200,400,800,1600", "--proxies", "2,4");
        assertEquals(5, samples(tables, "first list").size(),
                "four sizes, and the largest with more proxies");
        assertPerProxy(samples(tables, "first list"), "calls", 1, 1);
        assertPerProxy(samples(tables, "first list"), "wholes", 1, 1);
        assertPerProxy(samples(tables, "list again"), "calls", 0, 0);
        assertPerProxy(samples(tables, "list again"), "wholes", 1, 1);
        double perEntry = slope(tables, "first list", "bytes", "entry") / 2;
        assertTrue(perEntry > 100 && perEntry < 300, perEntry + " bytes");
        assertEquals(perEntry, slope(tables, "first list", "bytes", "proxy") / 1600, perEntry / 20);
        for (JsonNode row : table(tables, "heap")) {
            assertTrue(row.path("bytes/entry/proxy").asDouble() > 0, row.toString());
        }
    }

    @Test
    void theBytesOfAChangeDependOnTheChangedEntriesOnly() throws Exception {
        JsonNode tables = run("changes", "--entries", "200,400,800,1600", "--proxies", "2,4", "--changes",
                "20,40", "--rates", "5,20", "--steady", "2", "--no-cold");
        assertPerProxy(samples(tables, "one change"), "calls", 0, 0);
        assertPerProxy(samples(tables, "burst"), "calls", 0, 0);
        assertPerProxy(samples(tables, "burst"), "wholes", 0, 0);
        double perChange = slope(tables, "burst", "bytes", "change") / 2;
        assertTrue(perChange > 100 && perChange < 300, perChange + " bytes");
        assertTrue(Math.abs(slope(tables, "burst", "bytes", "entry")) < 1, "independent of the list");
        JsonNode rates = table(tables, "control at a rate");
        double ratio = rates.at("/1/bytes~1s").asDouble() / rates.at("/0/bytes~1s").asDouble();
        assertTrue(ratio > 2 && ratio < 8, "four times the changes, " + ratio + " times the bytes");
    }

    @Test
    void failuresOfARackAndAZoneReachAllProxiesAsChanges() throws Exception {
        JsonNode rack = run("rack", "--entries", "400,800", "--proxies", "2", "--changes", "10,20");
        samples(rack, "rack gone").forEach(row -> assertTrue(row.path("changed").asInt() <= 20));
        assertPerProxy(samples(rack, "rack back"), "calls", 0, 0);
        JsonNode zone = run("zone", "--entries", "360,720", "--proxies", "2", "--no-cold");
        samples(zone, "zone gone").forEach(row ->
                assertEquals(row.path("entries").asInt() / 18, row.path("changed").asInt()));
        assertPerProxy(samples(zone, "zone back"), "wholes", 0, 0);
    }

    @Test
    void theLoadOfAllProxiesOnAColdBackendIsBounded() throws Exception {
        JsonNode tables = run("zone", "--entries", "360", "--proxies", "2", "--cold-proxies", "18");
        JsonNode row = table(tables, "zone back: sends").path(0);
        assertEquals("yes", row.path("holds").asText(), row.toString());
        assertTrue(row.path("got any").asInt() > 0, "cold backends must receive some requests: " + row);
        assertEquals(0, row.path("module errors").asInt());
    }

    @Test
    void afterAnOutageEachProxyCallsOnceAndReceivesTheMissedChanges() throws Exception {
        JsonNode tables = run("herd", "--entries", "400", "--proxies", "2,4", "--changes", "20",
                "--away", "1");
        assertPerProxy(samples(tables, "call for changes"), "calls", 1, 1);
        assertPerProxy(samples(tables, "call for changes"), "wholes", 0, 0);
        assertPerProxy(samples(tables, "call for the list"), "wholes", 1, 1);
        // pauses grow from 0.1 s to 0.5 s: at least 4 and at most 20 in 2 s
        assertPerProxy(samples(tables, "answered 503"), "refused", 3, 20);
        assertPerProxy(samples(tables, "call after that"), "wholes", 0, 0);
    }

    @Test
    void stalledWatchesResumeAndReceiveTheMissedChanges() throws Exception {
        JsonNode tables = run("region", "--entries", "400", "--proxies", "2", "--changes", "20",
                "--silent", "7");
        assertPerProxy(samples(tables, "silent"), "calls", 1, 3);
        assertPerProxy(samples(tables, "return"), "wholes", 0, 0);
    }

    @Test
    void aRealProxyReceivesAllUpdatesOnOneCall() throws Exception {
        JsonNode tables = report("real", "--entries", "400", "--beside", "1", "--hold", "1", "--rate", "5");
        JsonNode row = table(tables, "a real proxy").path(0);
        assertTrue(row.path("ready s").asDouble() > 0, row.toString());
        assertEquals(1, row.path("calls").asInt());
        assertEquals(0, row.path("more calls").asInt());
        assertTrue(row.path("bytes/s").asDouble() > 100, row.toString());
        assertTrue(row.path("VmHWM MB").asDouble() > 0, row.toString());
        assertEquals("true false", row.path("alive").asText() + ' ' + row.path("out of memory").asText());
    }
}
