package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

/** A line that many proxies log is reported once, with its count. */
class LoggedLinesTest {
    @Test
    void linesAreCountedWithoutTheirTimeAndTheErrorStreamIsRestored() throws Exception {
        PrintStream originalErr = System.err;
        Report report = new Report("start");
        try (LoggedLines loggedLines = new LoggedLines()) {
            System.err.println("1700000000001 discovery is silent");
            System.err.println("1700000000002 ready");
            System.err.println("1700000000003 discovery is silent");
            loggedLines.report(report);
        }
        assertSame(originalErr, System.err);
        JsonNode rows = new ObjectMapper().readTree(report.json()).at("/tables/0/rows");
        assertEquals(2, rows.size());
        assertEquals("discovery is silent", rows.at("/0/line").asText());
        assertEquals(2, rows.at("/0/times").asInt());
    }
}
