package dewstage.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the live heap of another Java process after a collection, with jcmd of the JDK. The memory usage
 * reported by the system does not show it since a proxy touches its entire heap at its start.
 */
final class LiveHeap {
    private static final Pattern USED = Pattern.compile("generation .*used ([0-9]+)K");
    private static final double KB_PER_MB = 1024;

    private LiveHeap() { }

    /** Returns the live heap in MB; NaN if there is no jcmd or the process does not respond to it. */
    static double mb(Processes processes, long pid) throws IOException {
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        if (!Files.isExecutable(jcmd)) {
            return Double.NaN;
        }
        run(processes, jcmd, pid, "GC.run");
        return parse(run(processes, jcmd, pid, "GC.heap_info"));
    }

    private static String run(Processes processes, Path jcmd, long pid, String command) throws IOException {
        Process process = processes.start(new ProcessBuilder(jcmd.toString(), String.valueOf(pid), command)
                .redirectErrorStream(true));
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Returns the heap used by all generations of the serial collector in MB; NaN if there are none. */
    static double parse(String info) {
        double kb = 0;
        Matcher used = USED.matcher(info);
        while (used.find()) {
            kb += Double.parseDouble(used.group(1));
        }
        return kb == 0 ? Double.NaN : kb / KB_PER_MB;
    }
}
