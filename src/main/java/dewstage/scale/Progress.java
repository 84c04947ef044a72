package dewstage.scale;

import java.io.PrintWriter;
import java.util.Locale;

/** Prints progress lines of a long run, with the seconds since its start. */
final class Progress {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Progress(PrintWriter out) {
        this.out = out;
    }

    void log(String line) {
        out.printf(Locale.ROOT, "%7.1f s  %s%n", (System.nanoTime() - startNs) / 1e9, line);
        out.flush();
    }
}
