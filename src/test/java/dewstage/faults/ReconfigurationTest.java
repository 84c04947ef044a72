package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A proxy follows a change of the discovery address in its configuration file. */
@Timeout(60)
class ReconfigurationTest {
    private static final Duration CALL_TIME = Duration.ofMillis(1);

    @TempDir
    Path folder;

    private FaultRun oneProxy() {
        return new FaultRun(folder, 1, 2, true, CALL_TIME, false);
    }

    private static void awaitReady(FaultRun run) throws Exception {
        assertTrue(run.fleet.awaitLog(0, " ready", Duration.ofSeconds(20)), "not ready");
    }

    @Test
    void aProcessStartedWithSighupIgnoredFollowsItsConfigurationFile() throws Exception {
        try (FaultRun run = oneProxy();
                QueuedDiscovery second = new QueuedDiscovery(run.list, 1, CALL_TIME)) {
            run.fleet.ignoreHangup();
            run.start();
            awaitReady(run);
            run.changeDiscovery(0, second);
            run.pause(FaultRun.ADDRESS_CHANGE_LIMIT);
            assertEquals(1, second.calls().useful(), "calls answered by the new address");
        }
    }

    @Test
    void theLastOfManySignalsDeterminesTheDiscoveryAddress() throws Exception {
        try (FaultRun run = oneProxy();
                QueuedDiscovery second = new QueuedDiscovery(run.list, 1, CALL_TIME);
                QueuedDiscovery last = new QueuedDiscovery(run.list, 1, CALL_TIME)) {
            run.start();
            awaitReady(run);
            for (int i = 0; i < 10; i++) {
                run.changeDiscovery(0, i % 2 == 0 ? second : run.discovery);
            }
            run.changeDiscovery(0, last);
            run.pause(FaultRun.ADDRESS_CHANGE_LIMIT);
            assertEquals(1, last.calls().useful(), "calls answered by the last address");
            last.publish("s-0", ServerList.Lifecycle.TERMINATING);
            run.pause(FaultRun.DRAIN_GRACE.multipliedBy(3));
            assertEquals(List.of(), run.drainViolations(last));
            assertEquals(List.of(), run.lostRequests());
        }
    }

    @Test
    void theOldWatchIsUsedUntilTheNewAddressAnswers() throws Exception {
        try (FaultRun run = oneProxy();
                QueuedDiscovery stalled = new QueuedDiscovery(run.list, 1, CALL_TIME)) {
            stalled.setStalled(true);
            run.start();
            awaitReady(run);
            run.changeDiscovery(0, stalled);
            run.pause(Duration.ofSeconds(1));
            run.discovery.publish("s-0", ServerList.Lifecycle.TERMINATING);
            run.pause(FaultRun.DRAIN_GRACE.multipliedBy(3));
            assertEquals(2, run.discovery.written().size(), "lists written by the old address");
            assertEquals(List.of(), run.drainViolations());
            assertEquals(List.of(), run.lostRequests());
        }
    }
}
