package dewstage.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A scripted server on loopback that passes every accepted connection to the test, in order. */
final class Peer implements AutoCloseable {
    private static final int TIMEOUT_S = 20;
    private final ServerSocket server;
    private final BlockingQueue<Wire> accepted = new LinkedBlockingQueue<>();
    private final Thread acceptor;

    Peer() throws IOException {
        this(0);
    }

    /** Listens on the port of an earlier peer, as a server that returns. */
    Peer(int port) throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        acceptor = new Thread(() -> {
            try {
                while (true) {
                    accepted.add(new Wire(server.accept()));
                }
            } catch (IOException e) {
                // the peer is closed
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Returns a port on which nobody listens. */
    static int freePort() throws IOException {
        try (Peer peer = new Peer()) {
            return peer.address().getPort();
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    String hostPort() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Waits for the next connection. */
    Wire accept() throws InterruptedException {
        Wire connection = accepted.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (connection == null) {
            throw new AssertionError("no connection was accepted");
        }
        return connection;
    }

    /** Sends this response to every request on every connection, in the background. */
    void respondToAll(String response) {
        startDaemon(() -> {
            try {
                while (true) {
                    Wire connection = accept();
                    startDaemon(() -> respondToAll(connection, response));
                }
            } catch (InterruptedException | AssertionError e) {
                // no more are expected
            }
        });
    }

    private static void respondToAll(Wire connection, String response) {
        try {
            while (!connection.read().isEmpty()) {
                connection.write(response);
            }
        } catch (IOException e) {
            // the connection is closed
        }
    }

    private static void startDaemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether the test has received all accepted connections. */
    boolean hasNoPendingConnection() {
        return accepted.isEmpty();
    }

    /** Stops listening; waits for the acceptor thread, which could otherwise accept another connection. */
    @Override
    public void close() throws IOException {
        server.close();
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One end of a connection, with blocking reads and writes. */
    static final class Wire implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;

        Wire(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_S * 1000);
            this.in = socket.getInputStream();
        }

        static Wire to(InetSocketAddress address) throws IOException {
            return new Wire(new Socket(address.getAddress(), address.getPort()));
        }

        Wire write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        boolean hasInput() throws IOException {
            return in.available() > 0;
        }

        /** Reads one message, its head and a body of Content-Length bytes; at the end returns what it has. */
        String read() throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                int nextByte = in.read();
                if (nextByte < 0) {
                    return head.toString(StandardCharsets.ISO_8859_1);
                }
                head.write(nextByte);
            }
            String headText = head.toString(StandardCharsets.ISO_8859_1);
            int contentLength = headText.toLowerCase().lines().filter(l -> l.startsWith("content-length:"))
                    .mapToInt(l -> Integer.parseInt(l.substring(15).trim())).findFirst().orElse(0);
            return headText + new String(in.readNBytes(contentLength), StandardCharsets.ISO_8859_1);
        }

        /** Waits for input; returns true if it is a close or a reset by the other side. */
        boolean awaitClose() {
            try {
                return in.read() < 0;
            } catch (IOException e) {
                return !(e instanceof java.net.SocketTimeoutException);
            }
        }

        /** Like {@link #awaitClose}, but fails on a reset. */
        boolean awaitCleanClose() throws IOException {
            return in.read() < 0;
        }

        /** Closes the sending side only. */
        void halfClose() throws IOException {
            socket.shutdownOutput();
        }

        /** Closes the connection with a reset, as when its process is killed. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
