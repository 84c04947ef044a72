package dewstage.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;

/** A client with a used connection that writes one request in two parts, at times from a common origin. */
final class SlowRequest implements Callable<String>, AutoCloseable {
    /** Longer than any timeout of a request, and less than the time limit of a test. */
    private static final int READ_TIMEOUT_MS = 8_000;

    private final String id;
    private final long firstPartAtNs;
    private final long lastPartAtNs;
    private final Socket socket;

    /**
     * Connects, and sends a whole request.
     *
     * @param firstPartAtNs when the first part is written, by System.nanoTime
     * @param lastPartAtNs when the rest is written
     */
    SlowRequest(InetSocketAddress proxy, String id, long firstPartAtNs, long lastPartAtNs) throws IOException {
        this.id = id;
        this.firstPartAtNs = firstPartAtNs;
        this.lastPartAtNs = lastPartAtNs;
        this.socket = new Socket(proxy.getAddress(), proxy.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        write(request(id + "-before"));
        String answer = HttpAnswer.read(socket.getInputStream());
        if (!answer.startsWith("HTTP/1.1 200 ")) {
            throw new IOException("an ordinary request was answered with " + answer);
        }
    }

    private static String request(String id) {
        return "GET /look/1 HTTP/1.1\r\nHost: api\r\nRequest-Id: " + id + "\r\nRequest-Timeout: 0.6\r\n\r\n";
    }

    private void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Writes the request and returns what was answered: empty if the connection ended without an answer. */
    @Override
    public String call() throws InterruptedException {
        String text = request(id);
        try {
            sleepUntil(firstPartAtNs);
            write(text.substring(0, text.length() / 2));
            sleepUntil(lastPartAtNs);
            write(text.substring(text.length() / 2));
            return HttpAnswer.read(socket.getInputStream());
        } catch (IOException e) {
            return "";
        }
    }

    private static void sleepUntil(long atNs) throws InterruptedException {
        Thread.sleep(Math.max(0, (atNs - System.nanoTime()) / 1_000_000));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
