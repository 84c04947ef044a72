package dewstage.scale;

/**
 * The cost of one step at one size, summed over all hollow proxies.
 *
 * @param changed number of changed entries; all entries if the full list was sent
 * @param counts counters of the discovery stand-in
 * @param cpuNs processor time of the proxies' threads
 * @param latencies from the sending until a proxy had applied the version
 * @param missing proxies that had not applied it when the wait ended
 */
record Sample(String step, Point point, int round, long changed, DiscoveryStandIn.Counts counts, long cpuNs,
        Latencies latencies, int missing) {
    /** Combines two samples of the same step: sums and all latencies. */
    Sample combine(Sample other) {
        Latencies combined = new Latencies();
        combined.addAll(latencies);
        combined.addAll(other.latencies);
        return new Sample(step, point, round, changed + other.changed, counts.plus(other.counts),
                cpuNs + other.cpuNs, combined, missing + other.missing);
    }

    double cpuMsPerProxy() {
        return cpuNs / 1e6 / point.proxies();
    }

    boolean isComplete() {
        return missing == 0;
    }
}
