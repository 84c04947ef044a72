package dewstage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.ListKind;
import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the delay between a failed call to discovery and the next one. */
class CallPauseTest {
    /**
     * A proxy counts as notified of list changes 6 s after discovery can be reached again, and its previous
     * call may have stalled for part of that time. So it calls again soon, whatever the number of proxies and
     * of failures, and the proxies do not all call at the same time.
     */
    @ParameterizedTest
    @CsvSource({"1, 4000", "30, 10000", "100, 10000", "100, 60000", "1000, 600000"})
    void failedCallIsRepeatedWithinTwoAndAHalfSeconds(int balancers, long askWithinMs) {
        int[] calls = new int[25]; // in each 100 ms after the failure
        for (int i = 0; i < 100; i++) {
            Balancer.Settings defaults = Rig.settings(i, balancers, true, Rig.IDEMPOTENT_PROFILE);
            Rig rig = new Rig(new Balancer.Settings(i, balancers, 0, defaults.profiles(), true, true, 4,
                    defaults.maxRetryAfterNs(), defaults.startCapacity(), defaults.coldNs(),
                    defaults.tipMultiple(), defaults.fallNs(), askWithinMs * Rig.MS, defaults.stepNs(),
                    defaults.crossZonePrice(), false, 0, defaults.connectTimeoutNs()),
                    i + 1);
            for (int failures = 0; failures < 8; failures++) {
                rig.actions.clear();
                rig.updateMembers(ListKind.FAILED);
                int interval = 0;
                while (!rig.advance(100).actions.contains("subscribe true")) {
                    interval++;
                    assertTrue(interval < calls.length, "not called 2.5 s after failure " + (failures + 1));
                }
                calls[interval] += failures == 7 ? 1 : 0;
            }
        }
        for (int count : calls) {
            assertTrue(count <= 25, "simultaneous calls: " + Arrays.toString(calls));
        }
    }
}
