package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Two signals in quick succession: the older configuration must not be applied last. */
@Timeout(20)
class ReloadTest {
    @Test
    void anOlderConfigurationThatIsReadSlowlyIsNotAppliedLast() throws Exception {
        AtomicInteger reads = new AtomicInteger();
        CountDownLatch firstHasRead = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        AtomicReference<String> applied = new AtomicReference<>();
        Reload reload = new Reload(() -> {
            int port = 9000 + reads.incrementAndGet();
            if (port == 9001) {
                firstHasRead.countDown();
                await(goOn);
            }
            return Config.parse(Setup.json("127.0.0.1:" + port, "127.0.0.1:9", 1024, 5000), Map.of());
        }, c -> applied.set("port " + c.discovery().getPort()));
        Thread first = new Thread(reload::run);
        first.start();
        firstHasRead.await();
        Thread second = new Thread(reload::run);
        second.start();
        second.join(TimeUnit.SECONDS.toMillis(1)); // where it does not wait for the first it ends by then
        goOn.countDown();
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
