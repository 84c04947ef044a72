package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Proxies must not give up and repeat calls to a slow discovery, which would then answer abandoned calls for ever. */
@Timeout(120)
class DiscoveryQueueTest {
    private static final double MIN_USEFUL_SHARE = 0.9;

    @ParameterizedTest
    @CsvSource({"100, true, 1000", "100, false, 1000", "100, true, 5500", "100, false, 7000"})
    void aFleetCallingASlowDiscoveryIsUpdatedWithinOneCallPerProxy(int proxies, boolean pushed, long fleetCallTimeMs)
            throws Exception {
        Duration fleetCallTime = Duration.ofMillis(fleetCallTimeMs);
        for (QueueScenario.Outcome outcome : new QueueScenario(proxies, pushed, fleetCallTime, null).run()) {
            assertAll(
                    outcome.toString(),
                    () -> assertEquals(proxies, outcome.updated(), "proxies updated in time"),
                    () -> assertTrue(
                            outcome.calls().useful()
                                    >= MIN_USEFUL_SHARE * outcome.calls().made(),
                            "useful calls"),
                    () -> assertEquals(0, outcome.queued(), "calls still waiting"));
        }
    }
}
