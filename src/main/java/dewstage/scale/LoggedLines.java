package dewstage.scale;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the lines that hollow proxies log instead of printing them, since hundreds of proxies would flood
 * the output. Replaces the standard error of this process until it is closed.
 */
final class LoggedLines implements AutoCloseable {
    /** Number of the most frequent lines to report. */
    private static final int MAX_REPORTED = 20;

    private final PrintStream originalErr = System.err;
    private final Map<String, Integer> counts = new ConcurrentHashMap<>();

    LoggedLines() {
        System.setErr(new PrintStream(new LineCounter(), true, StandardCharsets.UTF_8));
    }

    /** Counts a line without the time at its start; the source is put before it. */
    void count(String source, String line) {
        counts.merge(source + line.replaceFirst("^[0-9]+ ", ""), 1, Integer::sum);
    }

    /** Adds a table of the most frequent lines to the report, if there are any. */
    void report(Report report) {
        if (!counts.isEmpty()) {
            Table table = report.table("what the proxies said, the most frequent first", "times", "line");
            counts.entrySet().stream().sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                    .limit(MAX_REPORTED).forEach(e -> table.row(e.getValue(), e.getKey()));
        }
    }

    @Override
    public void close() {
        System.setErr(originalErr);
    }

    /** Splits the output into lines; not synchronized since the print stream holds a lock while it writes. */
    private final class LineCounter extends OutputStream {
        private final StringBuilder line = new StringBuilder();

        @Override
        public void write(int b) {
            if (b == '\n') {
                count("", line.toString());
                line.setLength(0);
            } else {
                line.append((char) (b & 255));
            }
        }
    }
}
