package dewstage.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for listeners that are not always open: a process that is starting, or a service during an outage. They are
 * below the ephemeral ports of the system: meanwhile no other socket is given one of them, and no caller connects to
 * itself.
 */
final class HarnessPorts {
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 10_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 100 % PORTS));

    private HarnessPorts() {}

    /** Returns a port that nobody listens at now, and that this process has not been given before. */
    static int next() {
        for (int i = 0; i < PORTS; i++) {
            int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no free port");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
