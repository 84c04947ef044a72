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

/**
 * Guards against a proxy that took a crowded discovery for one that was still down, after an outage, and kept sending
 * to a draining server.
 */
@Timeout(60)
class CrowdedAfterOutageTest {
    private static final Duration OUTAGE = Duration.ofSeconds(2);
    private static final Duration REFUSE_AFTER = Duration.ofSeconds(2);
    private static final Duration CROWDED_PERIOD = Duration.ofSeconds(12);

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void changesCountInTimeAfterAnOutageEvenIfDiscoveryIsCrowded(boolean pushed) throws Exception {
        try (FaultRun run = new FaultRun(folder, 2, 3, pushed, Duration.ofMillis(1), false)) {
            run.start();
            assertTrue(run.fleet.awaitLog(0, " ready", Duration.ofSeconds(10)), "not ready");
            assertTrue(run.fleet.awaitLog(1, " ready", Duration.ofSeconds(10)), "not ready");
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
}
