import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend runs a keyed request and resets the connection. The proxy is stopped for 2 s before it sends the request
 * again. Servers drop a repeat only within the window of the settings, so it must not be sent after that.
 */
final class StoppedRepeat {
    private static final int ROUNDS = 30;
    private static final int WORKERS = 4;
    /** As in deploy/rehearsal.json. */
    private static final int WINDOW_MS = 1200;
    private static final int STOP_MS = 2000;
    /** "every time limit is 50 ms longer" */
    private static final int SLACK_MS = 50;

    /** When a request came, and the time that it was told, in s. */
    private record Arrival(long at, double toldS) { }

    private static final Map<String, List<Arrival>> ARRIVALS = new ConcurrentHashMap<>();
    private static volatile Process stop;

    private StoppedRepeat() { }

    public static void main(String[] args) throws Exception {
        Stage.main(args, StoppedRepeat::play);
    }

    private static boolean play(Stage stage) throws Exception {
        Catalog catalog = stage.add(new Catalog(stage, "discovery"));
        for (int i = 0; i < 4; i++) {
            Backend backend = stage.add(new Backend(stage, "backend" + i, (self, request, socket, out) ->
                    answer(stage, self, request, socket, out)));
            catalog.put("s-" + i, backend.address(), "in_service", 0);
        }
        Settings settings = new Settings(catalog.address(), catalog.list(0, true));
        settings.windowMs = WINDOW_MS;
        Stage.Proxy proxy = stage.start(settings);
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < WORKERS; i++) {
            int worker = i;
            Stage.thread(() -> work(stage, proxy, worker, isOver, served));
        }
        Thread.sleep(1000);
        int repeated = 0;
        int late = 0;
        for (int round = 0; round < ROUNDS && late == 0; round++) {
            String id = "keyed-" + round;
            stop = Stage.TROUBLE ? proxy.prepareStop(STOP_MS) : null;
            Thread.sleep(300);
            try (Client client = new Client(stage, proxy.port)) {
                client.ask("/fault-log", id, 1.0, "key-" + id, "some work");
            }
            Thread.sleep(Stage.TROUBLE ? 700 : 100);
            List<Arrival> arrivals = ARRIVALS.getOrDefault(id, List.of());
            for (int i = 1; i < arrivals.size(); i++) {
                long afterMs = (arrivals.get(i).at() - arrivals.get(0).at()) / 1_000_000;
                repeated++;
                boolean isLate = afterMs > WINDOW_MS + SLACK_MS;
                // What was under way when the stop came counts for nothing: it bears the time that was left before.
                late += isLate && arrivals.get(i).toldS() < arrivals.get(0).toldS() - STOP_MS / 4000.0 ? 1 : 0;
                stage.record(id + " came to another backend " + afterMs + " ms after the first, which has run it; told "
                        + arrivals.get(i).toldS() + " s");
            }
        }
        isOver.set(true);
        stage.record(served.get() + " other requests served, " + repeated + " repeats, " + late
                + " of them after the window of " + WINDOW_MS + " ms + " + SLACK_MS + " ms");
        if (served.get() < 100 || ARRIVALS.isEmpty()) {
            throw new IllegalStateException("too little was served");
        }
        return late == 0;
    }

    private static boolean answer(Stage stage, Backend self, Wire.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.header("Request-Id");
        if (id.startsWith("keyed")) {
            List<Arrival> arrivals = ARRIVALS.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>());
            arrivals.add(new Arrival(System.nanoTime(), Double.parseDouble(request.header("Request-Timeout"))));
            if (arrivals.size() == 1) {
                Thread.sleep(3); // the work
                stage.record(self.name + " has run " + id + " and resets the connection");
                socket.setSoLinger(true, 0);
                socket.close();
                if (stop != null) {
                    Thread.sleep(1);
                    stop.getOutputStream().write('\n');
                    stop.getOutputStream().flush();
                    stage.record("the proxy is stopped for " + STOP_MS + " ms");
                }
                return false;
            }
        } else {
            Thread.sleep(3);
        }
        out.write(Backend.sound("answer to " + id));
        return true;
    }

    /** Ordinary traffic: a connection that asks again as soon as it is answered. */
    private static void work(Stage stage, Stage.Proxy proxy, int worker, AtomicBoolean isOver, AtomicInteger served) {
        for (int i = 0; !isOver.get() && i < 1000; i++) {
            try (Client client = new Client(stage, proxy.port)) {
                for (int j = 0; j < 100 && !isOver.get(); j++) {
                    Client.Answer answer = client.ask("/status", "w" + worker + "-" + i + "-" + j, 1.2, null, null);
                    served.addAndGet(answer.status() == 200 ? 1 : 0);
                    if (answer.status() == 0) {
                        break;
                    }
                    Thread.sleep(6);
                }
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                stage.record("worker " + worker + ": " + e);
            }
        }
    }
}
