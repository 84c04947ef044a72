package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
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
    private static final double MIN_SERVED_SHARE = 0.9;

    @TempDir
    Path folder;

    private FaultRun fleet(boolean pushed) {
        return new FaultRun(folder, UnavailableSources.COUNT, SERVERS, pushed, Duration.ofMillis(1), false);
    }

    @Test
    void nothingIsSentOnAPushedListThatDiscoveryHasNotConfirmed() throws Exception {
        try (FaultRun run = fleet(true);
                UnavailableSources sources = new UnavailableSources(run)) {
            long readyNs = startWhileUnavailable(run, sources);
            run.pause(UNAVAILABLE_AFTER_READY);
            long endNs = System.nanoTime();
            assertEquals(List.of(), sources.drainViolations());
            for (int i = 0; i < UnavailableSources.COUNT; i++) {
                assertEquals(0, run.servedShare(i, readyNs, endNs), "served by " + sources.describe(i));
            }
            assertAllRecover(run, sources);
        }
    }

    @Test
    void requestedListsOfANewProcessServeThroughAnOutage() throws Exception {
        try (FaultRun run = fleet(false);
                UnavailableSources sources = new UnavailableSources(run)) {
            long readyNs = startWhileUnavailable(run, sources);
            run.pause(UNAVAILABLE_AFTER_READY);
            long endNs = System.nanoTime();
            for (int i = 0; i < UnavailableSources.COUNT; i++) {
                if (sources.kind(i).isOutage()) {
                    double share = run.servedShare(i, readyNs, endNs);
                    assertTrue(share >= MIN_SERVED_SHARE, "served " + share + " by " + sources.describe(i));
                }
            }
            assertAllRecover(run, sources);
        }
    }

    /** Starts each proxy on a list that lacks the drain of a server; returns when all are ready. */
    private static long startWhileUnavailable(FaultRun run, UnavailableSources sources) throws Exception {
        List<ProxySettings> settings = sources.settings();
        run.list.change("s-0", ServerList.Lifecycle.TERMINATING);
        sources.beginUnavailability();
        long startNs = System.nanoTime();
        run.start(settings);
        for (int i = 0; i < UnavailableSources.COUNT; i++) {
            Duration left = MAX_START.minusNanos(System.nanoTime() - startNs);
            assertTrue(run.fleet.awaitLog(i, " ready", left), "not ready: " + sources.describe(i));
        }
        return System.nanoTime();
    }

    private static void assertAllRecover(FaultRun run, UnavailableSources sources) throws Exception {
        sources.endUnavailability();
        assertNull(sources.awaitAllServing(), "does not serve again");
        assertEquals(List.of(), sources.drainViolations());
        assertEquals(List.of(), run.lostRequests());
    }
}
