import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Backends answer a request twice, the second time some milliseconds after the first; the proxy is held up for
 * 0.1 s right after the first answer. Whoever asks next has to get the answer to its own request.
 */
final class SecondAnswer {
    private static final int CLIENTS = 3;
    private static final int ROUNDS = 12;
    private static final int WORK_MS = 5;
    /** The pages: "a second answer may come some milliseconds late". */
    private static final int LATE_MS = Integer.parseInt(System.getenv().getOrDefault("LATE_MS", "5"));
    /** The pages: "held up for up to 0.15 s". */
    private static final int HELD_MS = Integer.parseInt(System.getenv().getOrDefault("HELD_MS", "100"));

    private SecondAnswer() { }

    public static void main(String[] args) throws Exception {
        Stage.main(args, SecondAnswer::play);
    }

    private static boolean play(Stage stage) throws Exception {
        Catalog catalog = stage.add(new Catalog(stage, "discovery"));
        for (int i = 0; i < CLIENTS; i++) {
            Backend backend = stage.add(new Backend(stage, "backend" + i, SecondAnswer::answer));
            catalog.put("s-" + i, backend.address(), "in_service", 0);
        }
        Stage.Proxy proxy = stage.start(new Settings(catalog.address(), catalog.list(0, true)));
        Thread.sleep(500);
        ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(stage.add(new Client(stage, proxy.port)));
        }
        int served = 0;
        int foreign = 0;
        for (int round = 0; round < ROUNDS && foreign == 0; round++) {
            CountDownLatch first = new CountDownLatch(1);
            AtomicInteger wrong = new AtomicInteger();
            AtomicInteger right = new AtomicInteger();
            List<Future<?>> running = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Client client = clients.get(i);
                String id = round + "-" + i;
                running.add(threads.submit(() -> {
                    // The first request of a pair gets its answer twice; the second one follows at once.
                    check(client.ask("/status", "twice-" + id, 1.2, null, null), right, wrong);
                    first.countDown();
                    check(client.ask("/status", "next-" + id, 1.2, null, null), right, wrong);
                }));
            }
            first.await();
            if (Stage.TROUBLE && HELD_MS > 0) {
                Thread.sleep(1); // the next requests are at the proxy
                proxy.signal("STOP");
                Thread.sleep(HELD_MS);
                proxy.signal("CONT");
            }
            for (Future<?> each : running) {
                each.get();
            }
            served += right.get();
            foreign += wrong.get();
            Thread.sleep(500);
        }
        stage.record(served + " requests served with their own answer, " + foreign + " with that of another request");
        if (served == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return foreign == 0;
    }

    private static boolean answer(Backend backend, Wire.Message request, Socket socket, OutputStream out)
            throws java.io.IOException, InterruptedException {
        String id = request.header("Request-Id");
        Thread.sleep(WORK_MS);
        out.write(Backend.sound("answer to " + id));
        if (Stage.TROUBLE && id.startsWith("twice")) {
            Thread.sleep(LATE_MS);
            out.write(Backend.sound("answer to " + id));
        }
        return true;
    }

    private static void check(Client.Answer answer, AtomicInteger right, AtomicInteger wrong) {
        if (answer.status() == 200) {
            (answer.body().equals("answer to " + answer.id()) ? right : wrong).incrementAndGet();
        }
    }
}
