package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A running proxy serves through an outage of discovery, but not on a list that may have missed a change. */
@Timeout(60)
class OutageOfDiscoveryTest {
    private static final int PROXIES = 2;
    private static final int SERVERS = 3;
    private static final Duration MAX_START = Duration.ofSeconds(10);
    private static final Duration OUTAGE = Duration.ofSeconds(2);
    private static final Duration REFUSE_AFTER = Duration.ofSeconds(2);
    private static final Duration CROWDED_PERIOD = Duration.ofSeconds(12);

    private static final Duration SILENT_PERIOD = Duration.ofSeconds(10);
    /** Longer than a list is relied on without an outage. */
    private static final Duration LONG_OUTAGE = Duration.ofSeconds(10);

    private static final double MIN_SERVED_SHARE = 0.9;

    @TempDir
    Path folder;

    /** Guards against a crowded discovery being taken for one that is still down. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void changesCountInTimeAfterAnOutageEvenIfDiscoveryIsCrowded(boolean pushed) throws Exception {
        try (FaultRun run = fleet(pushed)) {
            startAndAwaitReady(run);
            run.discovery.down();
            run.pause(OUTAGE);
            run.discovery.setStalled(true);
            run.discovery.setRefuseAfter(REFUSE_AFTER);
            run.discovery.up();
            run.list.change("s-0", ServerList.Lifecycle.TERMINATING);
            run.pause(CROWDED_PERIOD);
            assertEquals(List.of(), run.drainViolations());
            assertEquals(List.of(), run.lostRequests());
        }
    }

    /** Guards against a change that a silent watch missed before connections were refused. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void changesThatASilentWatchMissesCountInTimeEvenInAnOutage(boolean pushed) throws Exception {
        try (FaultRun run = fleet(pushed)) {
            startAndAwaitReady(run);
            run.silenceWatches();
            run.discovery.publish("s-0", ServerList.Lifecycle.TERMINATING);
            run.discovery.refuseConnections();
            run.pause(SILENT_PERIOD);
            assertEquals(List.of(), run.drainViolations());
            assertEquals(List.of(), run.lostRequests());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void runningProxiesServeThroughAnOutage(boolean pushed) throws Exception {
        try (FaultRun run = fleet(pushed)) {
            startAndAwaitReady(run);
            long downNs = System.nanoTime();
            run.discovery.down();
            run.pause(LONG_OUTAGE);
            assertTrue(run.servedShareSince(downNs) >= MIN_SERVED_SHARE, "served " + run.servedShareSince(downNs));
            run.discovery.up();
            run.discovery.publish("s-0", ServerList.Lifecycle.TERMINATING);
            run.pause(Duration.ofSeconds(4));
            assertEquals(List.of(), run.drainViolations());
            assertTrue(run.servedShareSince(downNs) >= MIN_SERVED_SHARE, "served " + run.servedShareSince(downNs));
            assertEquals(List.of(), run.lostRequests());
        }
    }

    private FaultRun fleet(boolean pushed) {
        return new FaultRun(folder, PROXIES, SERVERS, pushed, Duration.ofMillis(1), false);
    }

    private static void startAndAwaitReady(FaultRun run) throws Exception {
        run.start();
        for (int i = 0; i < PROXIES; i++) {
            assertTrue(run.fleet.awaitLog(i, " ready", MAX_START), "not ready");
        }
    }
}
