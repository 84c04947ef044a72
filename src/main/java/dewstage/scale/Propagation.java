package dewstage.scale;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLongArray;

/** The latencies until each proxy has applied a version or a later one, measured from its sending. */
final class Propagation {
    private final long version;
    private final AtomicLongArray latenciesNs;
    private final CountDownLatch remaining;
    /** On the clock of System.nanoTime. */
    private final long sentAtNs;

    Propagation(long version, int proxies, long sentAtNs) {
        this.version = version;
        this.latenciesNs = new AtomicLongArray(proxies);
        this.remaining = new CountDownLatch(proxies);
        this.sentAtNs = sentAtNs;
    }

    /** Records a version applied by a proxy; called on the event loop of the proxy. */
    void applied(int proxy, long appliedVersion, long nowNs) {
        if (appliedVersion >= version && latenciesNs.get(proxy) == 0) {
            latenciesNs.set(proxy, Math.max(1, nowNs - sentAtNs));
            remaining.countDown();
        }
    }

    CountDownLatch remaining() {
        return remaining;
    }

    boolean isComplete() {
        return remaining.getCount() == 0;
    }

    /** Returns the latencies of all proxies that have applied the version so far. */
    Latencies latencies() {
        Latencies latencies = new Latencies();
        for (int i = 0; i < latenciesNs.length(); i++) {
            if (latenciesNs.get(i) > 0) {
                latencies.add(latenciesNs.get(i));
            }
        }
        return latencies;
    }
}
