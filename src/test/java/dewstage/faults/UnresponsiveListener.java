package dewstage.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Listens at a port with a full backlog, so that new connections do not come up, as if the host had vanished. */
final class UnresponsiveListener implements AutoCloseable {
    private static final int MAX_BACKLOG = 16;
    private static final int CONNECT_TIMEOUT_MS = 300;

    private final ServerSocket listener;
    private final List<Socket> backlog = new ArrayList<>();

    UnresponsiveListener(InetSocketAddress address) throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, 1);
        while (connects(address)) {
            if (backlog.size() > MAX_BACKLOG) {
                throw new IOException("the backlog does not fill up");
            }
        }
    }

    private boolean connects(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        backlog.add(socket);
        try {
            socket.connect(address, CONNECT_TIMEOUT_MS);
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : backlog) {
            socket.close();
        }
    }
}
