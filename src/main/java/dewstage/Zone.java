package dewstage;

/** State that this proxy keeps for one zone. The decisions are in {@link Policy}. */
final class Zone {
    final int id;
    /** The ready servers of this zone. */
    final RankedServers readyServers = new RankedServers();
    /** Decayed number of own sends to an average server of this zone. */
    double sendsPerServer;
    /**
     * Average of 1 / (1 + load from other proxies) over the reports: the share of a server that one more
     * request gets.
     */
    double averageShare = 1;
    /** When a report last updated averageShare, in ns. */
    long averageShareUpdatedAtNs;
    /** Load from other proxies that is assumed for a server without a recent report. */
    double assumedOtherLoad;
    /** Shortest recent response time of this zone, in ns. */
    double minResponseTimeNs = Double.MAX_VALUE;
    /** Network latency to this zone in addition to that of the nearest zone, in ns. */
    double networkLatencyNs;
    /** When minResponseTimeNs was last updated, in ns. */
    long minResponseTimeUpdatedAtNs;

    Zone(int id, long now) {
        this.id = id;
        this.averageShareUpdatedAtNs = now;
    }
}
