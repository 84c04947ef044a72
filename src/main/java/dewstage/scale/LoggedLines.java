package dewstage.scale;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What the hollow proxies say on standard error, counted and not shown: hundreds of them would bury all else.
 * It has the whole process's standard error until it is closed.
 */
final class LoggedLines implements AutoCloseable {
    /** The most frequent so many are told. */
    private static final int SHOWN = 20;

    private final PrintStream before = System.err;
    private final Map<String, Integer> counts = new ConcurrentHashMap<>();

    LoggedLines() {
        System.setErr(new PrintStream(new Lines(), true, StandardCharsets.UTF_8));
    }

    /** A line, and before it whose it is; each line begins with its time, which does not count. */
    void count(String whose, String line) {
        counts.merge(whose + line.replaceFirst("^[0-9]+ ", ""), 1, Integer::sum);
    }

    /** Adds a table to the report, if anything was said. */
    void report(Report report) {
        if (!counts.isEmpty()) {
            Table table = report.table("what the proxies said, the most frequent first", "times", "line");
            counts.entrySet().stream().sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                    .limit(SHOWN).forEach(e -> table.row(e.getValue(), e.getKey()));
        }
    }

    @Override
    public void close() {
        System.setErr(before);
    }

    /** The print stream holds a lock while it writes. */
    private final class Lines extends OutputStream {
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
