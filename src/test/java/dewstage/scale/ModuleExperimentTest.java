package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The module experiment with its child processes, and the evaluation of their output. */
@Timeout(120)
class ModuleExperimentTest {
    private static final ModuleShape SHAPE = ModuleShape.scaled(200);

    @TempDir
    Path directory;

    /** Packs this build as the baseline, so that both builds make the same decisions. */
    private Path baseline() throws IOException {
        Path target = Files.createDirectories(directory.resolve("target"));
        Path classes = Build.ownClasses();
        try (OutputStream file = Files.newOutputStream(target.resolve("dewstage.jar"));
                JarOutputStream jar = new JarOutputStream(file);
                Stream<Path> entries = Files.list(classes.resolve("dewstage"))) {
            for (Path classFile : entries.filter(Files::isRegularFile).toList()) {
                jar.putNextEntry(new JarEntry(classes.relativize(classFile).toString()));
                Files.copy(classFile, jar);
            }
        }
        return directory;
    }

    private static int run(StringWriter out, StringWriter err, String... args) {
        return Scale.run(new PrintWriter(out), new PrintWriter(err), args);
    }

    private static List<JsonNode> rows(JsonNode report, String title) {
        for (JsonNode table : report.path("tables")) {
            if (table.path("title").asText().startsWith(title)) {
                return Stream.iterate(0, i -> i + 1).limit(table.path("rows").size())
                        .map(i -> table.path("rows").get(i)).toList();
            }
        }
        throw new AssertionError("no table " + title);
    }

    @Test
    void eachMeasureIsReportedPerSizeAndBuildAndTheSameBuildDecidesAlike() throws Exception {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        assertEquals(0, run(out, err, "module", "--entries", "50,200", "--repeat", "1", "--json", "-",
                "--baseline", baseline().toString()), err.toString());
        JsonNode report = new ObjectMapper().readTree(out.toString());
        for (String series : List.of("as many entries to a zone", "as many zones")) {
            List<JsonNode> rows = rows(report, "us in the module, " + series);
            assertEquals(Measure.values().length * 2 * 2, rows.size());
            assertTrue(rows.stream().allMatch(r -> r.path("median").asDouble() > 0), rows.toString());
            assertEquals(rows.size() / 2,
                    rows.stream().filter(r -> r.path("to baseline").asDouble() > 0).count());
        }
        assertEquals(4, rows(report, "what must hold").stream()
                .filter(r -> r.path("what").asText().endsWith("this to baseline")).count());
        assertTrue(rows(report, "what must hold").stream()
                .filter(r -> r.path("what").asText().contains("68,000"))
                .allMatch(r -> r.path("holds").asText().equals("not measured")));
        List<String> remarks = new ObjectMapper().convertValue(report.path("remarks"),
                new TypeReference<List<String>>() { });
        assertEquals(2, remarks.size(), remarks.toString());
        String requestCounts = remarks.get(0).substring(remarks.get(0).indexOf(':'));
        assertTrue(remarks.get(1).endsWith(requestCounts), remarks.toString());
    }

    @Test
    void aBaselineWithoutAJarIsAnInvalidArgument() {
        StringWriter err = new StringWriter();
        assertEquals(2, run(new StringWriter(), err, "module", "--baseline", directory.toString()));
        assertTrue(err.toString().contains("--baseline: there is no "), err.toString());
    }

    @Test
    void anExperimentThatExceedsItsTimeIsReportedAsIncomplete() {
        StringWriter out = new StringWriter();
        assertEquals(1, run(out, new StringWriter(), "module", "--seconds", "1", "--entries", "68000",
                "--repeat", "50"));
        assertTrue(out.toString().contains("INCOMPLETE"), out.toString());
    }

    @Test
    void theMedianOfEachCompleteRepetitionCounts() {
        ModuleCosts costs = new ModuleCosts();
        assertTrue(costs.addOutput("a", SHAPE, List.of("SERVED 1000.0", "SERVED 3000.0", "SERVED 9000.0",
                "DONE 1f 10 1")));
        assertTrue(costs.addOutput("a", SHAPE, List.of("SERVED 5000.0", "DONE 1f 10 0")));
        assertFalse(costs.addOutput("a", SHAPE, List.of("SERVED 70000.0")));
        assertEquals(4.0, costs.median("a", SHAPE, Measure.SERVED));
        assertEquals(3.0, costs.min("a", SHAPE, Measure.SERVED));
        assertEquals(5.0, costs.max("a", SHAPE, Measure.SERVED));
        assertTrue(Double.isNaN(costs.median("a", SHAPE, Measure.CHANGE)));
        assertEquals(20, costs.served("a"));
        assertEquals(1, costs.rejected("a"));
    }

    @Test
    void differentDecisionsOfBuildsAreDetected() {
        ModuleCosts costs = new ModuleCosts();
        costs.addOutput("a", SHAPE, List.of("DONE 1f 10 1"));
        assertTrue(costs.hasSameDecisions(SHAPE));
        costs.addOutput("b", SHAPE, List.of("DONE 20 10 1"));
        assertFalse(costs.hasSameDecisions(SHAPE));
    }

    @Test
    void exceededAndUnmeasuredBoundsAreReported() throws IOException {
        Report report = new Report("x");
        Verdicts verdicts = new Verdicts(report);
        verdicts.add("kept", 2, 1.9);
        verdicts.add("broken", 2, 2.1);
        verdicts.add("unknown", 2, Double.NaN);
        StringWriter out = new StringWriter();
        report.write(new PrintWriter(out), new PrintWriter(out), null);
        assertTrue(out.toString().matches("(?s).*kept .* yes\n.*broken .* NO\n.*unknown .* not measured\n.*"),
                out.toString());
    }
}
