package dewstage.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for listeners that are not always open: a process that is starting, or a service during an outage. They are
 * below the ephemeral ports of the system: meanwhile no other socket is given one of them, and no caller connects to
 * itself. Each run of the harness has a block of its own, so that two at once do not take each other's ports.
 */
final class HarnessPorts {
    private static final int FIRST_PORT = 20_000;
    private static final int BLOCKS = 10;
    /** More than a run has open at a time. */
    private static final int BLOCK_PORTS = 1_000;

    private static final Duration MAX_RELEASE_TIME = Duration.ofSeconds(5);
    /** Listens at the first port of the block until the process ends, and marks the block as taken. */
    private static final ServerSocket BLOCK_GUARD = claimBlock();

    private static final AtomicInteger NEXT_OFFSET = new AtomicInteger();

    private HarnessPorts() {}

    /** Returns a port of this run at which nobody listens now; they are given out in turn. */
    static int next() {
        for (int i = 1; i < BLOCK_PORTS; i++) {
            int port = BLOCK_GUARD.getLocalPort() + 1 + NEXT_OFFSET.getAndIncrement() % (BLOCK_PORTS - 1);
            try (ServerSocket socket = listen(port)) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // in use; the next one may be free
            }
        }
        throw new IllegalStateException("no free port");
    }

    /** Waits until nobody listens at a port: a closed listener keeps it until its selector has run once more. */
    static void awaitFree(int port) {
        long deadlineNs = System.nanoTime() + MAX_RELEASE_TIME.toNanos();
        while (true) {
            try {
                listen(port).close();
                return;
            } catch (IOException e) {
                if (System.nanoTime() > deadlineNs) {
                    throw new IllegalStateException("port " + port + " is not released", e);
                }
                Thread.onSpinWait();
            }
        }
    }

    private static ServerSocket claimBlock() {
        for (int block = 0; block < BLOCKS; block++) {
            try {
                return listen(FIRST_PORT + block * BLOCK_PORTS);
            } catch (IOException e) {
                // another run has this block
            }
        }
        throw new IllegalStateException("no free block of ports");
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
    }
}
