package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Calls to a slow discovery must not be given up and repeated: that work is done for nobody, for ever. */
@Timeout(120)
class DiscoveryQueueTest {
    private static final double USEFUL = 0.9;

    @ParameterizedTest
    @CsvSource({"100, true, 1000", "100, false, 1000", "100, true, 5500", "100, false, 7000"})
    void aFleetThatCallsASlowDiscoveryAtOnceIsToldInTheTimeOfOneCallOfEach(
            int proxies, boolean pushed, long callOfEachMs) throws Exception {
        Duration callOfEach = Duration.ofMillis(callOfEachMs);
        for (QueueScenario.Outcome outcome : new QueueScenario(proxies, pushed, callOfEach, null).play()) {
            assertAll(
                    outcome.toString(),
                    () -> assertEquals(proxies, outcome.told(), "told in time"),
                    () -> assertTrue(
                            outcome.calls().useful() >= USEFUL * outcome.calls().made(), "useful calls"),
                    () -> assertEquals(0, outcome.queued(), "calls that wait still"));
        }
    }
}
