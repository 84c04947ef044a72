package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks that after two signals in quick succession the older configuration is not applied last. */
@Timeout(20)
class ReloadTest {
    @Test
    void anOlderConfigurationThatIsReadSlowlyIsNotAppliedLast() throws Exception {
        AtomicInteger reads = new AtomicInteger();
        CountDownLatch firstHasRead = new CountDownLatch(1);
        CountDownLatch mayContinue = new CountDownLatch(1);
        AtomicReference<String> applied = new AtomicReference<>();
        Reload reload = new Reload(() -> {
            int port = 9000 + reads.incrementAndGet();
            if (port == 9001) {
                firstHasRead.countDown();
                await(mayContinue);
            }
            return Config.parse(Setup.json("127.0.0.1:" + port, "127.0.0.1:9", 1024, 5000), Map.of());
        }, config -> applied.set("port " + config.discovery().getPort()));
        Thread first = new Thread(reload::run);
        first.start();
        firstHasRead.await();
        Thread second = new Thread(reload::run);
        second.start();
        second.join(TimeUnit.SECONDS.toMillis(1)); // without mutual exclusion it would end within this time
        mayContinue.countDown();
        first.join();
        second.join();
        assertEquals("port 9002", applied.get());
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
