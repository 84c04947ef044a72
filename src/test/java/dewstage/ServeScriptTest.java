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

/**
 * Tests deploy/serve.sh where Java is the only program on the path: an image may have no sed and no head. A
 * substitute for Java prints its arguments.
 */
class ServeScriptTest {
    @TempDir
    Path directory;

    private List<String> runScript(String config) throws IOException, InterruptedException {
        Path bin = Files.createDirectories(directory.resolve("bin"));
        Path java = bin.resolve("java");
        Files.writeString(java, "#!/bin/sh\nfor a in \"$@\"; do echo \"$a\"; done\n");
        assertTrue(java.toFile().setExecutable(true));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "deploy/serve.sh").redirectErrorStream(true);
        builder.environment().clear();
        builder.environment().put("PATH", bin.toString()); // java is the only program
        if (config != null) {
            builder.environment().put("NODE_CONFIG",
                    Files.writeString(directory.resolve("config.json"), config).toString());
        }
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), output);
        return output.lines().toList();
    }

    @Test
    void heapSizeFollowsTheMemoryLimitWithoutOtherPrograms() throws Exception {
        // In MB: (92 - 56) * 2 / 3 and (140 - 56) * 2 / 3; without a limit the same as with 128.
        assertTrue(runScript("{\"limits\":{\"cores\":1.0,\"memory_mb\":92}}").contains("-Xmx24m"));
        assertTrue(runScript("{\n \"limits\": {\n  \"memory_mb\" : 140\n}}\n").contains("-Xmx56m"));
        assertTrue(runScript("{}").contains("-Xmx48m"));
        assertTrue(runScript(null).contains("-Xmx48m"));
    }

    @Test
    void scriptRunsServeWithTheClassDataArchive() throws Exception {
        List<String> arguments = runScript("{}");
        assertEquals("serve", arguments.get(arguments.size() - 1));
        assertTrue(arguments.contains("-XX:SharedArchiveFile=target/dewstage.jsa"));
    }
}
