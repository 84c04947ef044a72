package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The event loop blocks until its next timer is due instead of polling for it. */
class NonPollingIoHandlerTest {
    private static final int TIMERS = 40;
    /** Not whole milliseconds; the fraction varies across the half at which Netty rounds up or down. */
    private static final long PERIOD_US = 5_330;
    /** One iteration that blocks, one that runs the timer, and one more if the selector returns early. */
    private static final int MAX_ITERATIONS_PER_TIMER = 3;

    /** Records the delay that the context returns. */
    private static final class DelayRecordingHandler implements IoHandler {
        private long delayNs;

        @Override
        public int run(IoHandlerContext context) {
            delayNs = context.delayNanos(0);
            return 0;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wakeup() { }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return false;
        }
    }

    /** The context of an event loop whose next timer is due in the given time. */
    private record TimerDueIn(long delayNs) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return true;
        }

        @Override
        public long delayNanos(long now) {
            return delayNs;
        }

        @Override
        public long deadlineNanos() {
            return delayNs;
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 1000000", "499999, 1000000", "500000, 1000000", "1000000, 1000000", "1000001, 2000000",
        "49400000, 50000000", "0, 0", "-5, -5", "9223372036854775807, 9223372036854775807"})
    void delayUntilATimerIsRoundedUpToMilliseconds(long dueNs, long delayNs) {
        DelayRecordingHandler recordingHandler = new DelayRecordingHandler();
        IoHandler handler = NonPollingIoHandler.wrap(executor -> recordingHandler).newHandler(null);

        handler.run(new TimerDueIn(dueNs));

        assertEquals(delayNs, recordingHandler.delayNs);
    }

    @Test
    void loopWithOnlyTimersRunsFewIterations() throws Exception {
        AtomicInteger iterations = new AtomicInteger();
        IoHandlerFactory countingFactory = NioIoHandler.newFactory(SelectorProvider.provider(), () -> {
            SelectStrategy defaultStrategy = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
            return (ready, hasTasks) -> {
                iterations.incrementAndGet();
                return defaultStrategy.calculateStrategy(ready, hasTasks);
            };
        });
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NonPollingIoHandler.wrap(countingFactory));
        try {
            EventLoop loop = group.next();
            CountDownLatch fired = new CountDownLatch(TIMERS);
            loop.submit(() -> iterations.set(0)).get();
            loop.scheduleAtFixedRate(fired::countDown, PERIOD_US, PERIOD_US, TimeUnit.MICROSECONDS);

            assertTrue(fired.await(30, TimeUnit.SECONDS));

            int iterationsRun = iterations.get();
            assertTrue(iterationsRun <= MAX_ITERATIONS_PER_TIMER * TIMERS,
                    iterationsRun + " iterations for " + TIMERS + " timers");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
