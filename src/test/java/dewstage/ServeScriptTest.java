package dewstage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The start of a real proxy, where no program but the runtime itself can be started. */
class ServeScriptTest {
    @TempDir
    Path folder;

    private List<String> start(String config) throws IOException, InterruptedException {
        Path bin = Files.createDirectories(folder.resolve("bin"));
        Path java = bin.resolve("java");
        Files.writeString(java, "#!/bin/sh\nfor a in \"$@\"; do echo \"$a\"; done\n");
        assertTrue(java.toFile().setExecutable(true));
        ProcessBuilder serve = new ProcessBuilder("/bin/sh", "deploy/serve.sh").redirectErrorStream(true);
        serve.environment().clear();
        serve.environment().put("PATH", bin.toString()); // no sed, no head: java is all there is
        if (config != null) {
            serve.environment().put("NODE_CONFIG",
                    Files.writeString(folder.resolve("config.json"), config).toString());
        }
        Process p = serve.start();
        String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(p.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, p.exitValue(), said);
        return said.lines().toList();
    }

    @Test
    void heapFollowsTheLimitWithNoOtherProgram() throws Exception {
        // (92 - 56) * 2 / 3 and (140 - 56) * 2 / 3; without a limit as with 128.
        assertTrue(start("{\"limits\":{\"cores\":1.0,\"memory_mb\":92}}").contains("-Xmx24m"));
        assertTrue(start("{\n \"limits\": {\n  \"memory_mb\" : 140\n}}\n").contains("-Xmx56m"));
        assertTrue(start("{}").contains("-Xmx48m"));
        assertTrue(start(null).contains("-Xmx48m"));
    }

    @Test
    void serves() throws Exception {
        List<String> words = start("{}");
        assertEquals("serve", words.get(words.size() - 1));
        assertTrue(words.contains("-XX:SharedArchiveFile=target/dewstage.jsa"));
    }
}
