package dewstage.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that connect again and again and each time write the same form, for a limited time. */
final class MisbehavingClients {
    /** Bounds the rate of connections whose form ends at once. */
    private static final int RECONNECT_PAUSE_MS = 5;

    private static final int STACK_BYTES = 128 << 10;

    private final InetSocketAddress proxy;
    private final RequestForm form;
    private final RequestLoad load;
    private final long endNs;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong connections = new AtomicLong();

    /** Starts the clients; they end by themselves at a time by System.nanoTime. */
    MisbehavingClients(InetSocketAddress proxy, RequestForm form, RequestLoad load, long endNs, Random seeds) {
        this.proxy = proxy;
        this.form = form;
        this.load = load;
        this.endNs = endNs;
        for (int i = 0; i < load.clients(); i++) {
            Random random = new Random(seeds.nextLong());
            Thread thread = new Thread(null, () -> run(random), form + "-" + i, STACK_BYTES);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(Random random) {
        try {
            while (System.nanoTime() < endNs) {
                try (RawConnection connection = new RawConnection(proxy, random, load, endNs)) {
                    connections.incrementAndGet();
                    form.play(connection);
                } catch (IOException e) {
                    // closed or refused by the proxy, which is allowed
                }
                Thread.sleep(RECONNECT_PAUSE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long connections() {
        return connections.get();
    }

    /** Waits for the end of all clients. */
    void join() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
