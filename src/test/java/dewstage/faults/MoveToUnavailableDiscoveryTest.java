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
 * Guards against a proxy that took the end of its watch, or failed connections, for an outage after discovery had moved
 * and kept sending to a draining server. One proxy for each way in which the new address can be unavailable.
 */
@Timeout(120)
class MoveToUnavailableDiscoveryTest {
    private static final Duration MAX_START = Duration.ofSeconds(10);
    private static final Duration OLD_WATCH_AFTER_MOVE = Duration.ofMillis(500);
    private static final Duration UNAVAILABLE_AFTER_MOVE = Duration.ofSeconds(8);

    @TempDir
    Path folder;

    @Test
    void changesAtTheNewAddressCountInTimeEvenIfItIsUnavailable() throws Exception {
        try (FaultRun run = new FaultRun(folder, UnavailableSources.COUNT, 3, true, Duration.ofMillis(1), false);
                UnavailableSources sources = new UnavailableSources(run)) {
            run.start();
            for (int i = 0; i < UnavailableSources.COUNT; i++) {
                assertTrue(run.fleet.awaitLog(i, " ready", MAX_START), "not ready: " + sources.describe(i));
            }
            run.list.change("s-0", ServerList.Lifecycle.TERMINATING); // reaches no watch
            sources.beginUnavailability();
            for (int i = 0; i < UnavailableSources.COUNT; i++) {
                run.changeDiscovery(i, sources.discovery(i));
            }
            run.pause(OLD_WATCH_AFTER_MOVE);
            run.discovery.down();
            run.pause(UNAVAILABLE_AFTER_MOVE);
            assertEquals(List.of(), sources.drainViolations());
            sources.endUnavailability();
            assertNull(sources.awaitAllServing(), "does not serve again");
            assertEquals(List.of(), sources.drainViolations());
            assertEquals(List.of(), run.lostRequests());
        }
    }
}
