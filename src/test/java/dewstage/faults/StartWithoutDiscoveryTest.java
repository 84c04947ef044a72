package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process with pushed lists that started in an outage of discovery and sent to a server that had begun
 * to drain before. One proxy for each way in which discovery can be unavailable.
 */
@Timeout(120)
class StartWithoutDiscoveryTest {
    private static final int SERVERS = 3;
    private static final Duration MAX_START = Duration.ofSeconds(10);
    private static final Duration UNAVAILABLE_AFTER_READY = Duration.ofSeconds(4);
    /** Longer than the back-off of a call that was refused twice. */
    private static final Duration MAX_RECOVERY = Duration.ofSeconds(20);

    private static final Duration RECOVERED_PERIOD = Duration.ofSeconds(1);
    private static final double MIN_SERVED_SHARE = 0.9;

    @TempDir
    Path folder;

    private final List<UnavailableDiscovery> sources = new ArrayList<>();

    @AfterEach
    void closeSources() throws IOException {
        for (UnavailableDiscovery source : sources) {
            source.close();
        }
    }

    @Test
    void nothingIsSentOnAPushedListThatDiscoveryHasNotConfirmed() throws Exception {
        try (FaultRun run = fleet(true)) {
            long readyNs = startWhileUnavailable(run);
            run.pause(UNAVAILABLE_AFTER_READY);
            long endNs = System.nanoTime();
            assertRulesHold(run);
            for (int i = 0; i < sources.size(); i++) {
                assertEquals(0, run.servedShare(i, readyNs, endNs), "served by " + describe(run, i));
            }
            assertAllRecover(run);
            assertRulesHold(run);
        }
    }

    @Test
    void requestedListsOfANewProcessServeThroughAnOutage() throws Exception {
        try (FaultRun run = fleet(false)) {
            long readyNs = startWhileUnavailable(run);
            run.pause(UNAVAILABLE_AFTER_READY);
            long endNs = System.nanoTime();
            for (int i = 0; i < sources.size(); i++) {
                if (sources.get(i).kind().isOutage()) {
                    double share = run.servedShare(i, readyNs, endNs);
                    assertTrue(share >= MIN_SERVED_SHARE, "served " + share + " by " + describe(run, i));
                }
            }
            assertAllRecover(run);
            assertRulesHold(run);
        }
    }

    private FaultRun fleet(boolean pushed) {
        UnavailableDiscovery.Kind[] kinds = UnavailableDiscovery.Kind.values();
        FaultRun run = new FaultRun(folder, kinds.length, SERVERS, pushed, Duration.ofMillis(1), false);
        for (UnavailableDiscovery.Kind kind : kinds) {
            sources.add(new UnavailableDiscovery(run.list, kinds.length, sources.size(), kind));
        }
        return run;
    }

    /** Starts each proxy on a list that lacks the drain of a server; returns when all are ready. */
    private long startWhileUnavailable(FaultRun run) throws Exception {
        List<ProxySettings> settings = new ArrayList<>();
        for (int i = 0; i < sources.size(); i++) {
            settings.add(run.settings(i, sources.get(i).discovery));
        }
        run.list.change("s-0", ServerList.Lifecycle.TERMINATING);
        for (UnavailableDiscovery source : sources) {
            source.begin();
        }
        long startNs = System.nanoTime();
        run.start(settings);
        for (int i = 0; i < sources.size(); i++) {
            Duration left = MAX_START.minusNanos(System.nanoTime() - startNs);
            assertTrue(run.fleet.awaitLog(i, " ready", left), "not ready: " + describe(run, i));
        }
        return System.nanoTime();
    }

    private void assertAllRecover(FaultRun run) throws Exception {
        for (UnavailableDiscovery source : sources) {
            source.end();
        }
        long backNs = System.nanoTime();
        for (int i = 0; i < sources.size(); i++) {
            while (!isServing(run, i)) {
                assertTrue(
                        System.nanoTime() - backNs < MAX_RECOVERY.toNanos(),
                        "does not serve again: " + describe(run, i));
                run.pause(Duration.ofMillis(100));
            }
        }
    }

    private static boolean isServing(FaultRun run, int proxy) {
        long now = System.nanoTime();
        return run.servedShare(proxy, now - RECOVERED_PERIOD.toNanos(), now) >= MIN_SERVED_SHARE;
    }

    private void assertRulesHold(FaultRun run) {
        for (int i = 0; i < sources.size(); i++) {
            assertEquals(List.of(), run.drainViolations(i, sources.get(i).discovery), describe(run, i));
        }
        assertEquals(List.of(), run.lostRequests());
    }

    private String describe(FaultRun run, int proxy) {
        return sources.get(proxy).kind() + ", log " + run.fleet.log(proxy);
    }
}
