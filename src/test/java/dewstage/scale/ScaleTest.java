package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;

/** The command line of the scale tests. */
class ScaleTest {
    /** Checks that the command line is refused with exit code 2; returns the standard error output. */
    private static String refused(String... args) {
        StringWriter err = new StringWriter();
        assertEquals(2, Scale.run(new PrintWriter(new StringWriter()), new PrintWriter(err), args));
        return err.toString();
    }

    @Test
    void anInvalidCommandLinePrintsTheUsage() {
        assertTrue(refused().contains("Usage: scale"));
        assertTrue(refused("nosuch").contains("Usage: scale"));
        assertTrue(refused("start", "--entries", "20,10").contains("--entries: 10 is not more than 20"));
        assertTrue(refused("start", "--entries", "ten").contains("Usage: scale start"));
        assertTrue(refused("start", "--proxies", "0").contains("--proxies"));
        assertTrue(refused("changes", "--rates", "0").contains("--rates"));
    }

    @Test
    void theHelpOfAnExperimentListsItsOptions() {
        StringWriter out = new StringWriter();
        PrintWriter err = new PrintWriter(new StringWriter());
        assertEquals(0, Scale.run(new PrintWriter(out), err, "changes", "--help"));
        assertTrue(out.toString().contains("Usage: scale changes") && out.toString().contains("--entries"));
    }

    @Test
    void aSizeBeyondTheMemoryIsRefusedWithTheValue() {
        assertTrue(refused("start", "--entries", "10000000", "--proxies", "1000").contains(" MB, more than"));
    }
}
