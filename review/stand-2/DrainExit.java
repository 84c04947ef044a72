import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A planned restart: SIGTERM, while some clients write a request slowly on the connections that they have. The proxy is
 * held up for 0.13 s just when it looks for the last time whether anything is open. What was written whole to a
 * connection of the living process has to get an answer.
 */
final class DrainExit {
    private static final int CLIENTS = 16;
    private static final int RESTARTS = 3;
    /** The times below count from SIGTERM. */
    private static final int FIRST_PART_MS = 450;
    private static final int LAST_PART_MS = 600;
    private static final int BETWEEN_CLIENTS_MS = 4;
    private static final int HOLD_AT_MS = 560;
    /** The pages: "held up for up to 0.15 s". */
    private static final int HELD_MS = 130;
    private static final double TIMEOUT_S = 1.5;

    private DrainExit() { }

    /** What became of one request. */
    private static final class Slow {
        private final Client client;
        private final String id;
        private volatile boolean written;
        private volatile String result = "not written whole";

        private Slow(Client client, String id) {
            this.client = client;
            this.id = id;
        }
    }

    public static void main(String[] args) throws Exception {
        Stage.main(args, DrainExit::play);
    }

    private static boolean play(Stage stage) throws Exception {
        Catalog catalog = stage.add(new Catalog(stage, "discovery"));
        for (int i = 0; i < 4; i++) {
            Backend backend = stage.add(new Backend(stage, "backend" + i, (self, request, socket, out) -> {
                Thread.sleep(5);
                out.write(Backend.sound("answer to " + request.header("Request-Id")));
                return true;
            }));
            catalog.put("s-" + i, backend.address(), "in_service", 0);
        }
        Settings settings = new Settings(catalog.address(), catalog.list(0, true));
        int port = Stage.freePort();
        int written = 0;
        int lost = 0;
        for (int restart = 0; restart < RESTARTS; restart++) {
            List<Slow> all = restart(stage, stage.start(settings, port), restart);
            for (Slow each : all) {
                written += each.written ? 1 : 0;
                lost += each.written && !each.result.startsWith("answer") ? 1 : 0;
                stage.record(each.id + ": " + each.result);
            }
        }
        stage.record(written + " requests written whole while the process lived and was held up, " + lost + " without an answer");
        if (written == 0) {
            throw new IllegalStateException("no request was written whole in that time");
        }
        return lost == 0;
    }

    private static List<Slow> restart(Stage stage, Stage.Proxy proxy, int number) throws Exception {
        List<Slow> all = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = stage.add(new Client(stage, proxy.port));
            if (client.ask("/status", "before-" + number + "-" + i, TIMEOUT_S, null, null).status() != 200) {
                throw new IllegalStateException("an ordinary request was not served");
            }
            all.add(new Slow(client, "slow-" + number + "-" + i));
        }
        Process stop = proxy.prepareStop(HELD_MS);
        proxy.signal("TERM");
        long began = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Slow each = all.get(i);
            int lastAtMs = LAST_PART_MS + i * BETWEEN_CLIENTS_MS;
            Thread thread = new Thread(() -> write(each, proxy, began, lastAtMs));
            thread.start();
            threads.add(thread);
        }
        if (Stage.TROUBLE) {
            sleepUntil(began, HOLD_AT_MS);
            stop.getOutputStream().write('\n');
            stop.getOutputStream().flush();
            stage.record("the proxy is held up for " + HELD_MS + " ms");
        }
        for (Thread thread : threads) {
            thread.join();
        }
        stage.record("the proxy ended with " + proxy.awaitEnd(8000) + ", " + (System.nanoTime() - began) / 1_000_000
                + " ms after SIGTERM at the latest");
        return all;
    }

    private static void write(Slow each, Stage.Proxy proxy, long began, int lastAtMs) {
        String text = Client.text("/dispatch", each.id, TIMEOUT_S, null, "some work");
        try {
            sleepUntil(began, FIRST_PART_MS);
            each.client.write(text.substring(0, text.length() / 2));
            sleepUntil(began, lastAtMs);
            each.client.write(text.substring(text.length() / 2));
            // Counts only if it surely came before the proxy went on.
            each.written = proxy.isAlive() && (System.nanoTime() - began) / 1_000_000 < HOLD_AT_MS + HELD_MS;
            Client.Answer answer = each.client.read(each.id, System.nanoTime(), TIMEOUT_S + 1);
            each.result = answer.status() == 0 ? "written whole, then closed with no answer"
                    : "answer " + answer.status();
        } catch (IOException e) {
            each.result = (each.written ? "written whole, then " : "not written whole: ") + e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long began, int ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - (System.nanoTime() - began) / 1_000_000));
    }
}
