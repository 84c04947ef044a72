package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A proxy that is told, with its configuration file and SIGHUP, of another discovery. */
@Timeout(60)
class ReconfigurationTest {
    private static final Duration CALL_TIME = Duration.ofMillis(1);
    /** What the new address has counts as told so long after the signal. */
    private static final Duration TOLD_AFTER = Duration.ofSeconds(4);

    @TempDir
    Path folder;

    private FaultRun oneProxy() {
        return new FaultRun(folder, 1, 2, true, CALL_TIME, false);
    }

    private static void awaitReady(FaultRun run) throws Exception {
        assertTrue(run.fleet.awaitLog(0, " ready", Duration.ofSeconds(20)), "not ready");
    }

    private static void move(FaultRun run, QueuedDiscovery to) throws Exception {
        run.fleet.configure(0, run.settings(0, to));
        run.fleet.signal(0, "HUP");
    }

    @Test
    void aProcessStartedWithSighupIgnoredFollowsItsConfigurationFile() throws Exception {
        try (FaultRun run = oneProxy();
                QueuedDiscovery second = new QueuedDiscovery(run.list, 1, CALL_TIME)) {
            run.fleet.ignoreHangup();
            run.start();
            awaitReady(run);
            move(run, second);
            run.pass(TOLD_AFTER);
            assertEquals(1, second.calls().useful(), "calls answered by the new address");
        }
    }

    @Test
    void theLastOfManySignalsInARowDecidesWhereDiscoveryIs() throws Exception {
        try (FaultRun run = oneProxy();
                QueuedDiscovery second = new QueuedDiscovery(run.list, 1, CALL_TIME);
                QueuedDiscovery last = new QueuedDiscovery(run.list, 1, CALL_TIME)) {
            run.start();
            awaitReady(run);
            for (int i = 0; i < 10; i++) {
                move(run, i % 2 == 0 ? second : run.discovery);
            }
            move(run, last);
            run.pass(TOLD_AFTER);
            assertEquals(1, last.calls().useful(), "calls answered by the last address");
            last.change("s-0", ServerList.Lifecycle.TERMINATING);
            run.pass(FaultRun.GRACE.multipliedBy(3));
            assertEquals(List.of(), run.drainBreaks(last));
            assertEquals(List.of(), run.lost());
        }
    }

    @Test
    void theOldWatchStaysUntilTheNewAddressHasAnswered() throws Exception {
        try (FaultRun run = oneProxy();
                QueuedDiscovery silent = new QueuedDiscovery(run.list, 1, CALL_TIME)) {
            silent.silent(true);
            run.start();
            awaitReady(run);
            move(run, silent);
            run.pass(Duration.ofSeconds(1));
            run.discovery.change("s-0", ServerList.Lifecycle.TERMINATING);
            run.pass(FaultRun.GRACE.multipliedBy(3));
            assertEquals(2, run.discovery.written().size(), "lists written by the old address");
            assertEquals(List.of(), run.drainBreaks());
            assertEquals(List.of(), run.lost());
        }
    }
}
