package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reports, tables and JSON, fitted lines and percentiles. */
class ReportTest {
    @TempDir
    Path directory;

    private static Report report() {
        Report report = new Report("start").parameter("seed", 7L).parameter("entries", List.of(10, 20));
        report.table("first list", "entries", "last ms", "all had it").row(10, 1.5, true)
                .row(20, Double.NaN, false);
        report.remark("a remark");
        return report;
    }

    @Test
    void theTableAndTheJsonContainTheSameValues() throws Exception {
        Path file = directory.resolve("report.json");
        StringWriter out = new StringWriter();
        report().write(new PrintWriter(out), new PrintWriter(new StringWriter()), file.toString());
        assertTrue(out.toString().contains("entries  last ms  all had it\n       10     1.50        true\n"
                + "       20        -       false\na remark"), out.toString());
        JsonNode json = new ObjectMapper().readTree(Files.readAllBytes(file));
        assertEquals(7, json.at("/given/seed").asInt());
        assertEquals(1.5, json.at("/tables/0/rows/0/last ms").asDouble());
        assertTrue(json.at("/tables/0/rows/1/last ms").isNull());
        assertEquals("a remark", json.at("/remarks/0").asText());
    }

    @Test
    void jsonOnStandardOutputIsNotMixedWithTables() throws Exception {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        report().write(new PrintWriter(out), new PrintWriter(err), "-");
        assertEquals("start", new ObjectMapper().readTree(out.toString()).path("experiment").asText());
        assertTrue(err.toString().contains("first list"));
    }

    @Test
    void aRowWithAMissingValueIsRejected() {
        Table table = report().table("t", "a", "b");
        assertThrows(IllegalArgumentException.class, () -> table.row(1));
    }

    @Test
    void aSlopeIsThatOfTheLineThroughThePoints() {
        Slope slope = Slope.of(new double[][] {{1, 5}, {2, 7}, {4, 11}});
        assertEquals(2, slope.perUnit(), 1e-9);
        assertEquals(3, slope.base(), 1e-9);
        assertEquals(203, slope.at(100), 1e-9);
        assertTrue(Double.isNaN(Slope.of(new double[][] {{1, 5}, {1, 7}}).perUnit()));
    }

    @Test
    void percentilesAreInMilliseconds() {
        Latencies latencies = new Latencies();
        assertTrue(Double.isNaN(latencies.maxMs()));
        for (int i = 1; i <= 100; i++) {
            latencies.add(i * 1_000_000L);
        }
        assertEquals(50, latencies.medianMs(), 0.1);
        assertEquals(99, latencies.percentileMs(99), 0.1);
        assertEquals(100, latencies.maxMs(), 0.1);
    }
}
