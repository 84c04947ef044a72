package dewstage.scale;

import java.io.PrintWriter;
import java.util.Locale;

/** Lines that show that a long run lives, with the seconds since its start. */
final class Progress {
    private final PrintWriter to;
    private final long start = System.nanoTime();

    Progress(PrintWriter to) {
        this.to = to;
    }

    void log(String line) {
        to.printf(Locale.ROOT, "%7.1f s  %s%n", (System.nanoTime() - start) / 1e9, line);
        to.flush();
    }
}
