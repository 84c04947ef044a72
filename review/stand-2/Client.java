import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection: one request at a time, with a fresh Request-Id each. */
final class Client implements Closeable {
    /** What came back: status and body, or status 0 and the reason why there is no whole answer. */
    record Answer(String id, int status, String body, long tookMs) { }

    private final Stage stage;
    final Socket socket = new Socket();
    private final BufferedInputStream in;

    Client(Stage stage, int port) throws IOException {
        this.stage = stage;
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** The text of a request; a key makes it a POST with a body. */
    static String text(String path, String id, double timeoutS, String key, String body) {
        boolean isGet = body == null;
        return (isGet ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: " + id
                + "\r\nRequest-Timeout: " + String.format(Locale.ROOT, "%.3f", timeoutS) + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (isGet ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Answer ask(String path, String id, double timeoutS, String key, String body) {
        stage.record("client sends " + path + " id " + id);
        long began = System.nanoTime();
        Answer answer;
        try {
            write(text(path, id, timeoutS, key, body));
            answer = read(id, began, timeoutS + 3);
        } catch (IOException e) {
            answer = new Answer(id, 0, "no answer: " + e, (System.nanoTime() - began) / 1_000_000);
        }
        stage.record("client has " + answer.status() + " for id " + id + " after " + answer.tookMs() + " ms: "
                + Stage.shorten(answer.body()));
        return answer;
    }

    /** Reads one answer, waiting at most this long. */
    Answer read(String id, long began, double waitS) throws IOException {
        socket.setSoTimeout((int) (waitS * 1000));
        Wire.Message message = Wire.read(in);
        long tookMs = (System.nanoTime() - began) / 1_000_000;
        return message == null ? new Answer(id, 0, "closed with no answer", tookMs)
                : new Answer(id, message.status(), message.body(), tookMs);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
