package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against incident 313091: proxies started with a slow discovery kept sending to servers that had drained. */
@Timeout(120)
class SlowDiscoveryTest {
    private static final int PROXIES = 10;
    private static final int SERVERS = 4;
    private static final double MIN_SERVED_SHARE = 0.9;

    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({"true, 5500, 0", "false, 5500, 0", "true, 12000, 0", "true, 5500, 2000", "false, 5500, 2000"})
    void noRequestIsSentToADrainedServerWhileDiscoveryIsSlow(boolean pushed, long fleetCallTimeMs, long refuseAfterMs)
            throws Exception {
        Duration fleetCallTime = Duration.ofMillis(fleetCallTimeMs);
        try (FaultRun run = new FaultRun(folder, PROXIES, SERVERS, pushed, fleetCallTime.dividedBy(PROXIES), false)) {
            if (refuseAfterMs > 0) {
                run.discovery.setRefuseAfter(Duration.ofMillis(refuseAfterMs));
            }
            run.start();
            run.pause(Duration.ofSeconds(4));
            run.discovery.publish("s-0", ServerList.Lifecycle.TERMINATING);
            run.discovery.publish("s-1", ServerList.Lifecycle.TERMINATED);
            run.pause(fleetCallTime.plus(Duration.ofSeconds(6)));
            long settledNs = System.nanoTime();
            run.pause(Duration.ofSeconds(2));
            assertEquals(List.of(), run.drainViolations());
            assertEquals(List.of(), run.lostRequests());
            assertTrue(
                    run.servedShareSince(settledNs) >= MIN_SERVED_SHARE, "served " + run.servedShareSince(settledNs));
        }
    }
}
