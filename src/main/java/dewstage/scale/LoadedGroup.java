package dewstage.scale;

import java.util.concurrent.ExecutionException;

/** A group of proxies and the load on it; accumulates the results of the slices of one repetition. */
final class LoadedGroup {
    /** The latencies of served requests, the number of requests sent, and the cores used meanwhile. */
    record LoadResult(Latencies latencies, long sent, double cores) {
        long notServed() {
            return sent - latencies.count();
        }
    }

    private final ProxyGroup group;
    private final OpenLoop generator;
    private Latencies latencies = new Latencies();
    private long sent;
    private long cpuNs;
    private long wallNs;

    /** Creates a loaded group; a null group stands for the backends without a proxy. */
    LoadedGroup(ProxyGroup group, OpenLoop generator) {
        this.group = group;
        this.generator = generator;
    }

    ProxyGroup group() {
        return group;
    }

    /** Generates load for the given duration and waits for the last responses. */
    void load(long durationNs) throws InterruptedException, ExecutionException {
        long cpuBeforeNs = cpuNs();
        long startNs = System.nanoTime();
        OpenLoop.Result result = generator.run(VirtualHost.REQUESTS_PER_SECOND, durationNs);
        wallNs += System.nanoTime() - startNs;
        cpuNs += cpuNs() - cpuBeforeNs;
        latencies.addAll(result.latencies());
        sent += result.sent();
    }

    private long cpuNs() {
        return group == null ? 0 : group.processorTime().toNanos();
    }

    /** Returns and resets the accumulated result. */
    LoadResult takeResult() {
        LoadResult accumulated = new LoadResult(latencies, sent, (double) cpuNs / wallNs);
        latencies = new Latencies();
        sent = 0;
        cpuNs = 0;
        wallNs = 0;
        return accumulated;
    }
}
