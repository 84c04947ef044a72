package dewstage.scale;

import java.util.List;

/**
 * What one cold backend gets from all hollow proxies together. Their modules get requests as in service and
 * share out their cold budgets; a send counts as its arrival, since no network lies between.
 */
final class ColdSums {
    /** The modules learn their rates for so long before anything starts. */
    private static final double WARM_S = 5;
    private static final double NS_PER_S = 1e9, MEDIAN = 0.5;

    private final Experiment.Run run;
    private final ColdOptions cold;
    private final Options options;

    ColdSums(Experiment.Run run, ColdOptions cold, Options options) {
        this.run = run;
        this.cold = cold;
        this.options = options;
    }

    /** What makes backends cold. */
    interface Event {
        /** Is over before the counting. */
        void before(Stage stage) throws Exception;

        /** Backends start. */
        void starts(Stage stage) throws Exception;
    }

    /**
     * So much may come within the time in which a cold backend falls over: one request of each proxy, as if
     * each let its first one out at once, and chance, by two standard deviations of as many events, and two.
     */
    static double bound(int proxies) {
        return proxies + 2 * Math.sqrt(proxies) + 2;
    }

    void measure(String what, Event event) throws Exception {
        if (cold.none) {
            return;
        }
        double fallS = ProxyConfig.FALL_NS / NS_PER_S;
        Table table = run.report().table(what + ": sends of all proxies to one cold backend within " + fallS
                + " s, " + cold.requests + " requests a second at each proxy", "proxies", "entries", "round",
                "cold ones", "got any", "median", "most", "N+2rootN+2", "holds", "mean of a warm one",
                "requests", "turned away", "module errors");
        for (int round = 1; round <= options.repeat; round++) {
            for (int proxies : cold.proxies) {
                if (run.deadline().over()) {
                    return;
                }
                run.progress().log("round " + round + ": cold backends, " + proxies + " proxies");
                try (Stage stage = new Stage(run, new Point(cold.entries(proxies), proxies, 1), round,
                        options.seed + round)) {
                    measure(table, stage, round, event);
                }
            }
        }
    }

    private void measure(Table table, Stage stage, int round, Event event) throws Exception {
        Hollows hollows = stage.hollows;
        stage.start("start");
        hollows.load(cold.requests);
        stage.pass(WARM_S);
        event.before(stage);
        long asked = hollows.asked();
        long turnedAway = hollows.turnedAway();
        long from = System.nanoTime();
        SendCounts counts = hollows.countSends();
        event.starts(stage);
        stage.pass(ProxyConfig.COLD_NS / NS_PER_S);
        hollows.countNoSends();
        double spans = (System.nanoTime() - from) / (double) ProxyConfig.FALL_NS;
        hollows.load(0);
        List<long[]> times = counts.cold();
        int[] most = times.stream().mapToInt(t -> SendCounts.most(t, ProxyConfig.FALL_NS)).sorted().toArray();
        double bound = bound(hollows.count());
        int last = most.length == 0 ? 0 : most[most.length - 1];
        table.row(hollows.count(), stage.fleet.backends().size(), round, most.length,
                times.stream().filter(t -> t.length > 0).count(),
                most.length == 0 ? 0 : most[(int) (most.length * MEDIAN)], last, bound,
                most.length == 0 ? "not measured" : last <= bound ? "yes" : "NO",
                counts.warm() / spans / (stage.fleet.backends().size() - most.length),
                hollows.asked() - asked, hollows.turnedAway() - turnedAway, hollows.broken());
    }
}
