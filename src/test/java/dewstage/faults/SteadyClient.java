package dewstage.faults;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Sends one request after another to one proxy, evenly, over one connection as long as that lasts. */
final class SteadyClient implements AutoCloseable {
    /** What became of one request; status 0 if the whole request was written and no whole answer came. */
    record Answer(String request, int status, Duration took, long at) {}

    private static final Duration TIMEOUT = Duration.ofMillis(600);
    /** An answer that is later than this behind the timeout counts as none. */
    private static final Duration LATE = Duration.ofMillis(500);

    private final int proxy;
    private final InetSocketAddress address;
    private final Duration gap;
    private final Queue<Answer> answers = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::send, "client");
    private volatile boolean stopped;
    private Socket socket;
    private int requests;

    SteadyClient(int proxy, InetSocketAddress address, Duration gap) {
        this.proxy = proxy;
        this.address = address;
        this.gap = gap;
        thread.setDaemon(true);
        thread.start();
    }

    Queue<Answer> answers() {
        return answers;
    }

    private void send() {
        long next = System.nanoTime();
        while (!stopped) {
            try {
                next = Math.max(next + gap.toNanos(), System.nanoTime());
                Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
                if (connect()) {
                    request();
                }
            } catch (InterruptedException e) {
                return;
            }
        }
        disconnect();
    }

    /** False if the proxy does not listen: that is no request that it has taken. */
    private boolean connect() {
        if (socket != null) {
            return true;
        }
        try {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) TIMEOUT.plus(LATE).toMillis());
            return true;
        } catch (IOException e) {
            socket = null;
            return false;
        }
    }

    private void request() {
        String id = proxy + "-" + ++requests;
        long from = System.nanoTime();
        int status = 0;
        try {
            socket.getOutputStream()
                    .write(("GET /look/" + requests + " HTTP/1.1\r\nHost: api\r\nRequest-Id: " + id
                                    + "\r\nRequest-Timeout: " + TIMEOUT.toMillis() / 1e3 + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            status = status(socket.getInputStream());
        } catch (IOException e) {
            disconnect();
        }
        long now = System.nanoTime();
        answers.add(new Answer(id, status, Duration.ofNanos(now - from), now));
    }

    private int status(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                disconnect();
                return 0;
            }
            head.append((char) b);
        }
        String text = head.toString().toLowerCase(java.util.Locale.ROOT);
        int length = text.lines()
                .filter(l -> l.startsWith("content-length:"))
                .mapToInt(l ->
                        Integer.parseInt(l.substring("content-length:".length()).trim()))
                .findFirst()
                .orElse(0);
        in.readNBytes(length);
        if (text.contains("connection: close")) {
            disconnect();
        }
        return Integer.parseInt(text.substring("http/1.1 ".length(), "http/1.1 200".length()));
    }

    private void disconnect() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is of no use any more
        }
        socket = null;
    }

    @Override
    public void close() {
        stopped = true;
        try {
            thread.join(TIMEOUT.plus(LATE).plus(gap).toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
