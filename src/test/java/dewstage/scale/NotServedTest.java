package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A proxy in service loads no class of the scale tests or of the libraries that only they use. */
class NotServedTest {
    @Test
    void aProxyLoadsNoClassOfTheScaleTests() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xlog:class+load:stdout",
                "-cp", System.getProperty("java.class.path"), "dewstage.Main", "rehearse");
        builder.environment().put("NODE_CONFIG", "deploy/rehearsal.json");
        Process process = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
        List<String> loaded = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                .lines().toList();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue());
        assertTrue(loaded.stream().anyMatch(l -> l.contains(" dewstage.Policy ")));
        assertEquals(List.of(), loaded.stream().filter(l -> l.contains(" dewstage.scale.")
                || l.contains(" dewstage.proxy.HollowProxy") || l.contains(" picocli.")
                || l.contains(" org.HdrHistogram.")
                || l.contains(" org.apache.commons.")).toList());
    }
}
