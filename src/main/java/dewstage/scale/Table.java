package dewstage.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Rows with named columns. A value is a string, an integer, a decimal number or a boolean. */
final class Table {
    /** Magnitude from which numbers are shown without decimals. */
    private static final double NO_DECIMALS_FROM = 100;
    /** Magnitude from which numbers are shown with two decimals. */
    private static final double TWO_DECIMALS_FROM = 1;

    final String title;
    final List<String> columns;
    final List<Object[]> rows = new ArrayList<>();

    Table(String title, String... columns) {
        this.title = title;
        this.columns = List.of(columns);
    }

    Table row(Object... values) {
        if (values.length != columns.size()) {
            throw new IllegalArgumentException(title + ": " + values.length + " values for " + columns);
        }
        rows.add(values);
        return this;
    }

    /** Returns the table as text, with right-aligned columns as wide as their widest values. */
    String text() {
        StringBuilder text = new StringBuilder("\n" + title + '\n');
        List<List<String>> lines = new ArrayList<>();
        lines.add(columns);
        for (Object[] row : rows) {
            List<String> line = new ArrayList<>();
            for (Object value : row) {
                line.add(formatValue(value));
            }
            lines.add(line);
        }
        for (List<String> line : lines) {
            for (int c = 0; c < columns.size(); c++) {
                int column = c;
                int width = lines.stream().mapToInt(l -> l.get(column).length()).max().orElse(0);
                text.append(" ".repeat(2 + width - line.get(c).length())).append(line.get(c));
            }
            text.append('\n');
        }
        return text.toString();
    }

    private static String formatValue(Object value) {
        if (value == null || value instanceof Double d && !Double.isFinite(d)) {
            return "-";
        }
        if (value instanceof Double d) {
            double magnitude = Math.abs(d);
            return String.format(Locale.ROOT, magnitude >= NO_DECIMALS_FROM ? "%.0f"
                    : magnitude >= TWO_DECIMALS_FROM ? "%.2f" : "%.4g", d);
        }
        return value.toString();
    }
}
