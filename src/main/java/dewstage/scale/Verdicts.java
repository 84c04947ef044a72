package dewstage.scale;

/** The last table of a report: bounds and the measured values. */
final class Verdicts {
    private final Table table;

    Verdicts(Report report) {
        table = report.table("what must hold", "what", "at most", "measured", "holds");
    }

    /** Adds a value and its upper bound; NaN is reported as not measured. */
    void add(String name, double max, double measured) {
        table.row(name, max, measured, Double.isNaN(measured) ? "not measured"
                : measured <= max ? "yes" : "NO");
    }
}
