package dewstage.scale;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLongArray;

/** When each of some proxies had a version, or a later one, in force; counted from the sending. */
final class Arrival {
    private final long version;
    private final AtomicLongArray at;
    private final CountDownLatch left;
    /** On the clock of System.nanoTime. */
    private final long sentAt;

    Arrival(long version, int proxies, long sentAt) {
        this.version = version;
        this.at = new AtomicLongArray(proxies);
        this.left = new CountDownLatch(proxies);
        this.sentAt = sentAt;
    }

    /** Called on the proxy's loop. */
    void received(int proxy, long received, long now) {
        if (received >= version && at.get(proxy) == 0) {
            at.set(proxy, Math.max(1, now - sentAt));
            left.countDown();
        }
    }

    CountDownLatch left() {
        return left;
    }

    boolean whole() {
        return left.getCount() == 0;
    }

    /** The times of all that have had it by now. */
    Times times() {
        Times times = new Times();
        for (int i = 0; i < at.length(); i++) {
            if (at.get(i) > 0) {
                times.add(at.get(i));
            }
        }
        return times;
    }
}
