package dewstage.faults;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Sends requests to one proxy at a fixed interval, one at a time, over one connection while it lasts. */
final class SteadyClient implements AutoCloseable {
    /** The result of one request; status 0 if the request was written and no complete answer was received. */
    record Answer(String requestId, int status, Duration latency, long atNs) {}

    private static final Duration TIMEOUT = Duration.ofMillis(600);
    /** An answer that arrives later than this after the timeout counts as lost. */
    private static final Duration MAX_LATENESS = Duration.ofMillis(500);

    private final String idPrefix;
    private final InetSocketAddress address;
    private final Duration interval;
    private final Queue<Answer> answers = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(this::sendRequests, "client");
    private volatile boolean isStopped;
    private Socket socket;
    private int requestCount;

    SteadyClient(int proxy, InetSocketAddress address, Duration interval) {
        this(proxy, address, interval, "");
    }

    /** {@code idPrefix} tells the requests of several clients of a proxy apart. */
    SteadyClient(int proxy, InetSocketAddress address, Duration interval, String idPrefix) {
        this.idPrefix = proxy + "-" + idPrefix;
        this.address = address;
        this.interval = interval;
        thread.setDaemon(true);
        thread.start();
    }

    Queue<Answer> answers() {
        return answers;
    }

    private void sendRequests() {
        long nextNs = System.nanoTime();
        while (!isStopped) {
            try {
                nextNs = Math.max(nextNs + interval.toNanos(), System.nanoTime());
                Thread.sleep(Math.max(0, (nextNs - System.nanoTime()) / 1_000_000));
                if (connect()) {
                    sendRequest();
                }
            } catch (InterruptedException e) {
                return;
            }
        }
        disconnect();
    }

    /** Returns false if the proxy does not listen; no request counts as sent then. */
    private boolean connect() {
        if (socket != null) {
            return true;
        }
        try {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) TIMEOUT.plus(MAX_LATENESS).toMillis());
            return true;
        } catch (IOException e) {
            socket = null;
            return false;
        }
    }

    private void sendRequest() {
        String id = idPrefix + ++requestCount;
        long startNs = System.nanoTime();
        int status = 0;
        try {
            socket.getOutputStream()
                    .write(("GET /look/" + requestCount + " HTTP/1.1\r\nHost: api\r\nRequest-Id: " + id
                                    + "\r\nRequest-Timeout: " + TIMEOUT.toMillis() / 1e3 + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            status = readStatus(socket.getInputStream());
        } catch (IOException e) {
            disconnect();
        }
        long endNs = System.nanoTime();
        answers.add(new Answer(id, status, Duration.ofNanos(endNs - startNs), endNs));
    }

    private int readStatus(InputStream in) throws IOException {
        String answer = HttpAnswer.read(in);
        if (answer.isEmpty()) {
            disconnect();
            return 0;
        }
        if (answer.toLowerCase(Locale.ROOT).contains("connection: close")) {
            disconnect();
        }
        return HttpAnswer.status(answer);
    }

    private void disconnect() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // nothing to do: the connection is discarded anyway
        }
        socket = null;
    }

    @Override
    public void close() {
        isStopped = true;
        try {
            thread.join(TIMEOUT.plus(MAX_LATENESS).plus(interval).toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
