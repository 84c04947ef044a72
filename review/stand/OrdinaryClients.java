import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients that send short requests one at a time, and the verdict on the answers that they get. */
final class OrdinaryClients {
    private static final double TIMEOUT_S = 1.2;
    /** A request without an answer half a second after its time is lost; 50 ms more on sockets. */
    private static final long LOST_AFTER_MS = 1200 + 500 + 50;
    /** A longer wait than any answer can take. */
    private static final int GIVE_UP_MS = 5000;

    private final int port;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final Map<String, Integer> results = new TreeMap<>();
    private final List<Thread> threads = new ArrayList<>();

    OrdinaryClients(int port, int count) {
        this.port = port;
        for (int i = 0; i < count; i++) {
            threads.add(Stand.start("client", this::client));
        }
    }

    /** Sends no further requests and waits for the answers to those that were sent. */
    void stop() throws InterruptedException {
        stopped.set(true);
        for (Thread thread : threads) {
            thread.join(GIVE_UP_MS + 1000L);
        }
        Stand.record("ordinary clients: " + results);
    }

    /** Ends this program with the verdict. */
    void judge(boolean hasCrashed) {
        if (results.getOrDefault("200", 0) < 100) {
            Stand.exit(2, "hardly any request was served before the disruption: " + results);
        }
        if (hasCrashed) {
            Stand.exit(1, "broken: the proxy has crashed; ordinary clients got " + results);
        }
        if (results.keySet().stream().anyMatch(result -> result.startsWith("lost"))) {
            Stand.exit(1, "broken: requests of ordinary clients were lost: " + results);
        }
        Stand.exit(0, "held: the proxy runs and every ordinary request was answered: " + results);
    }

    /** Counts and records what became of one request. */
    private void count(String result, String id) {
        Stand.record("client got " + result + " for " + id);
        synchronized (results) {
            results.merge(result, 1, Integer::sum);
        }
    }

    private void client() {
        while (!stopped.get()) {
            try (Socket socket = Stand.connect(port)) {
                socket.setSoTimeout(GIVE_UP_MS);
                boolean keepsConnection = true;
                while (!stopped.get() && keepsConnection) {
                    keepsConnection = exchange(socket);
                    Stand.sleepMs(50);
                }
            } catch (IOException e) {
                count("no connection", "a request that was not sent");
                Stand.sleepMs(200);
            }
        }
    }

    /** Sends one request; returns whether the connection can be used again. */
    private boolean exchange(Socket socket) {
        String id = Stand.newRequestId();
        long sentNs;
        try {
            Stand.write(socket, Stand.request(id, "status", TIMEOUT_S, ""));
            sentNs = System.nanoTime();
            Stand.recordAt(sentNs, "client sent " + id);
        } catch (IOException e) {
            count("not sent", id);
            return false;
        }
        try {
            Stand.Message answer = Stand.read(socket.getInputStream());
            boolean late = (answer.lastByteNs - sentNs) / 1_000_000 > LOST_AFTER_MS;
            count(late ? "lost, answered too late" : String.valueOf(answer.status()), id);
            return !"close".equalsIgnoreCase(answer.header("connection"));
        } catch (SocketTimeoutException e) {
            count("lost, no answer within " + GIVE_UP_MS + " ms", id);
        } catch (IOException e) {
            // A close between requests may have crossed this one; it is then sent once more and not counted as lost.
            count("closed without an answer", id);
        }
        return false;
    }
}
