package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A process that is terminated while clients write their requests slowly and it is itself held up for a moment. */
@Timeout(60)
class PlannedRestartTest {
    /** Number of seeds; more of them by hand. */
    private static final int SEEDS = Integer.getInteger("dewstage.seeds", 4);

    private static final int SERVERS = 3;
    private static final int MAX_CLIENTS = 48;
    private static final int MAX_STOP_MS = 150;
    /** Until the listener is closed an open connection stays open; times are from SIGTERM. */
    private static final int MAX_FIRST_PART_MS = 500;
    /** Later ones are refused, so that they are answered before the process may be killed. */
    private static final int MAX_LAST_PART_MS = 1000;

    private static final int MAX_STOP_AT_MS = 1100;
    /** The longest timeout of requests is 0.6 s, and a process may be killed 0.7 s after it. */
    private static final long KILL_MS = 1300;

    @TempDir
    Path folder;

    static List<Integer> seeds() {
        List<Integer> seeds = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    /** The process exited with requests unread or half read that were written whole before its end. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void requestsWrittenAtThePlannedRestartAreAnswered(int seed) throws Exception {
        Random random = new Random(seed);
        ExecutorService threads = Executors.newCachedThreadPool();
        List<SlowRequest> clients = new ArrayList<>();
        try (FaultRun run = new FaultRun(folder, 1, SERVERS, true, Duration.ofMillis(5), false)) {
            run.fleet.start(run.settings(0));
            assertTrue(run.fleet.awaitLog(0, " ready", Duration.ofSeconds(20)), "not ready");
            long termAtNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
            int count = 1 + random.nextInt(MAX_CLIENTS);
            for (int i = 0; i < count; i++) {
                int firstMs = random.nextInt(MAX_FIRST_PART_MS);
                int lastMs = firstMs + random.nextInt(MAX_LAST_PART_MS - firstMs);
                clients.add(new SlowRequest(
                        run.fleet.address(0),
                        "0-" + seed + "-" + i,
                        termAtNs + TimeUnit.MILLISECONDS.toNanos(firstMs),
                        termAtNs + TimeUnit.MILLISECONDS.toNanos(lastMs)));
            }
            int stopAtMs = random.nextInt(MAX_STOP_AT_MS);
            int stopMs = random.nextInt(MAX_STOP_MS);
            sleepUntil(termAtNs);
            run.fleet.signal(0, "TERM");
            List<Future<String>> answers = new ArrayList<>();
            clients.forEach(client -> answers.add(threads.submit(client)));
            sleepUntil(termAtNs + TimeUnit.MILLISECONDS.toNanos(stopAtMs));
            run.fleet.signal(0, "STOP");
            Thread.sleep(stopMs);
            run.fleet.signal(0, "CONT");
            List<String> lost = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                if (!answers.get(i).get(20, TimeUnit.SECONDS).startsWith("HTTP/1.1 ")) {
                    lost.add("request " + i + " of " + count);
                }
            }
            assertEquals(List.of(), lost, "seed " + seed + ", held up for " + stopMs + " ms at " + stopAtMs + " ms");
            sleepUntil(termAtNs + TimeUnit.MILLISECONDS.toNanos(KILL_MS + MAX_STOP_MS));
            assertTrue(!run.fleet.isRunning(0), "the process has not ended");
        } finally {
            for (SlowRequest client : clients) {
                client.close();
            }
            threads.shutdownNow();
        }
    }

    private static void sleepUntil(long atNs) throws InterruptedException {
        Thread.sleep(Math.max(0, (atNs - System.nanoTime()) / 1_000_000));
    }
}
