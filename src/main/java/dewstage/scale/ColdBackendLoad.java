package dewstage.scale;

import java.util.List;

/**
 * Measures the load on a single cold backend from all hollow proxies together. Their modules receive requests
 * as in service and divide the budgets of cold backends among themselves; a send counts as its arrival since
 * there is no network between.
 */
final class ColdBackendLoad {
    /** Time for the modules to estimate their request rates before backends start. */
    private static final double WARM_UP_S = 5;
    private static final double NS_PER_S = 1e9;
    private static final double MEDIAN = 0.5;

    private final Experiment.Run run;
    private final ColdOptions cold;
    private final Options options;

    ColdBackendLoad(Experiment.Run run, ColdOptions cold, Options options) {
        this.run = run;
        this.cold = cold;
        this.options = options;
    }

    /** An event that makes backends cold. */
    interface Event {
        /** Prepares the event; completes before the counting starts. */
        void prepare(TestBed testBed) throws Exception;

        /** Starts cold backends. */
        void startBackends(TestBed testBed) throws Exception;
    }

    /**
     * Returns the acceptable number of requests within the time after which an overloaded cold backend
     * collapses: one per proxy, as if all sent their first request at once, plus two standard deviations of
     * that many random events, plus two.
     */
    static double bound(int proxies) {
        return proxies + 2 * Math.sqrt(proxies) + 2;
    }

    void measure(String title, Event event) throws Exception {
        if (cold.isDisabled) {
            return;
        }
        double fallS = ProxyConfig.FALL_NS / NS_PER_S;
        Table table = run.report().table(title + ": sends of all proxies to one cold backend within " + fallS
                + " s, " + cold.requests + " requests a second at each proxy", "proxies", "entries", "round",
                "cold ones", "got any", "median", "most", "N+2rootN+2", "holds", "mean of a warm one",
                "requests", "turned away", "module errors");
        for (int round = 1; round <= options.repeat; round++) {
            for (int proxies : cold.proxies) {
                if (run.deadline().hasPassed()) {
                    return;
                }
                run.progress().log("round " + round + ": cold backends, " + proxies + " proxies");
                try (TestBed testBed = new TestBed(run, new Point(cold.entries(proxies), proxies, 1), round,
                        options.seed + round)) {
                    measure(table, testBed, round, event);
                }
            }
        }
    }

    private void measure(Table table, TestBed testBed, int round, Event event) throws Exception {
        HollowProxies hollowProxies = testBed.hollowProxies;
        testBed.start("start");
        hollowProxies.setRequestRate(cold.requests);
        testBed.pause(WARM_UP_S);
        event.prepare(testBed);
        long requestsBefore = hollowProxies.requestCount();
        long rejectedBefore = hollowProxies.rejectedCount();
        long startNs = System.nanoTime();
        SendCounts counts = hollowProxies.startCountingSends();
        event.startBackends(testBed);
        testBed.pause(ProxyConfig.COLD_NS / NS_PER_S);
        hollowProxies.stopCountingSends();
        double spans = (System.nanoTime() - startNs) / (double) ProxyConfig.FALL_NS;
        hollowProxies.setRequestRate(0);
        List<long[]> sendTimes = counts.coldSends();
        int[] maxima = sendTimes.stream()
                .mapToInt(t -> SendCounts.maxWithin(t, ProxyConfig.FALL_NS)).sorted().toArray();
        double bound = bound(hollowProxies.count());
        int largest = maxima.length == 0 ? 0 : maxima[maxima.length - 1];
        table.row(hollowProxies.count(), testBed.fleet.backends().size(), round, maxima.length,
                sendTimes.stream().filter(t -> t.length > 0).count(),
                maxima.length == 0 ? 0 : maxima[(int) (maxima.length * MEDIAN)], largest, bound,
                maxima.length == 0 ? "not measured" : largest <= bound ? "yes" : "NO",
                counts.warmSends() / spans / (testBed.fleet.backends().size() - maxima.length),
                hollowProxies.requestCount() - requestsBefore,
                hollowProxies.rejectedCount() - rejectedBefore, hollowProxies.moduleErrors());
    }
}
