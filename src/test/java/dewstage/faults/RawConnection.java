package dewstage.faults;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** One connection of a misbehaving client, which writes any bytes. */
final class RawConnection implements AutoCloseable {
    private static final AtomicInteger LAST_ID = new AtomicInteger();
    private static final int READ_TIMEOUT_MS = 3_000;
    /** Bounds the wait for an answer that does not come. */
    private static final int WINDOW_TIMEOUT_MS = 100;

    private static final int READ_BYTES = 64 << 10;

    private final Socket socket;
    private final Random random;
    private final RequestLoad load;
    private final long endNs;

    /**
     * Connects.
     *
     * @param endNs when a form that goes on for as long as it can ends, by System.nanoTime
     */
    RawConnection(InetSocketAddress proxy, Random random, RequestLoad load, long endNs) throws IOException {
        this.random = random;
        this.load = load;
        this.endNs = endNs;
        this.socket = new Socket(proxy.getAddress(), proxy.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
    }

    int sizeBytes() {
        return load.bodyBytes();
    }

    int headBytes() {
        return load.headBytes();
    }

    String nextId() {
        return "0-m" + LAST_ID.incrementAndGet();
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes the text in pieces of random sizes, with random pauses. */
    void writeSlowly(String text) throws IOException, InterruptedException {
        int pieceBytes = Math.max(1, text.length() / load.pieces());
        for (int written = 0; written < text.length(); ) {
            int end = Math.min(text.length(), written + 1 + random.nextInt(2 * pieceBytes));
            write(text.substring(written, end));
            written = end;
            pause();
        }
    }

    void pause() throws InterruptedException {
        Thread.sleep(random.nextInt(Math.max(1, 2 * load.pauseMs())));
    }

    /** Reads until the proxy ends the connection, or nothing has come for some seconds. */
    void awaitAnswers() throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[READ_BYTES];
        while (in.read(buffer) >= 0) {
            continue;
        }
    }

    /** Writes requests at full speed to the end of the run, with at most so many without an answer. */
    void flood(IntFunction<String> request) throws IOException, InterruptedException {
        Semaphore window = new Semaphore(load.window());
        Thread reader = new Thread(() -> countAnswers(window), "answers");
        reader.setDaemon(true);
        reader.start();
        StringBuilder batch = new StringBuilder();
        while (System.nanoTime() < endNs && reader.isAlive()) {
            int requests = Math.max(1, window.drainPermits());
            for (int i = 0; i < requests; i++) {
                batch.append(request.apply(LAST_ID.incrementAndGet()));
            }
            write(batch.toString());
            batch.setLength(0);
            if (load.waitsForAnswers() && window.tryAcquire(WINDOW_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                window.release();
            }
        }
    }

    private void countAnswers(Semaphore window) {
        try {
            InputStream in = socket.getInputStream();
            while (!load.waitsForAnswers() || !HttpAnswer.read(in).isEmpty()) {
                if (!load.waitsForAnswers() && in.read(new byte[READ_BYTES]) < 0) {
                    return;
                }
                window.release();
            }
        } catch (IOException e) {
            // the connection is closed
        } finally {
            window.release(load.window());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
