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

/** The event loop blocks until its next timer is due, and never polls for it. */
class NonPollingIoHandlerTest {
    private static final int TIMERS = 40;
    /** Never whole milliseconds, on either side of the half at which the library rounds up or down. */
    private static final long PERIOD_US = 5_330;
    /** One round that blocks, one that runs the timer, and one more where the selector returned early. */
    private static final int ROUNDS_FOR_A_TIMER = 3;

    /** Remembers the delay that it is given, as any handler would ask for it. */
    private static final class AskingHandler implements IoHandler {
        private long delay;

        @Override
        public int run(IoHandlerContext context) {
            delay = context.delayNanos(0);
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

    /** An event loop's context whose next timer is due in so long. */
    private record DueIn(long delay) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return true;
        }

        @Override
        public long delayNanos(long now) {
            return delay;
        }

        @Override
        public long deadlineNanos() {
            return delay;
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 1000000", "499999, 1000000", "500000, 1000000", "1000000, 1000000", "1000001, 2000000",
        "49400000, 50000000", "0, 0", "-5, -5", "9223372036854775807, 9223372036854775807"})
    void theDelayUntilATimerIsRoundedUpToWholeMilliseconds(long due, long delay) {
        AskingHandler asking = new AskingHandler();
        IoHandler handler = NonPollingIoHandler.wrap(executor -> asking).newHandler(null);

        handler.run(new DueIn(due));

        assertEquals(delay, asking.delay);
    }

    @Test
    void aLoopWithTimersAloneRunsFewRounds() throws Exception {
        AtomicInteger rounds = new AtomicInteger();
        IoHandlerFactory counting = NioIoHandler.newFactory(SelectorProvider.provider(), () -> {
            SelectStrategy usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
            return (ready, hasTasks) -> {
                rounds.incrementAndGet();
                return usual.calculateStrategy(ready, hasTasks);
            };
        });
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NonPollingIoHandler.wrap(counting));
        try {
            EventLoop loop = group.next();
            CountDownLatch fired = new CountDownLatch(TIMERS);
            loop.submit(() -> rounds.set(0)).get();
            loop.scheduleAtFixedRate(fired::countDown, PERIOD_US, PERIOD_US, TimeUnit.MICROSECONDS);

            assertTrue(fired.await(30, TimeUnit.SECONDS));

            int run = rounds.get();
            assertTrue(run <= ROUNDS_FOR_A_TIMER * TIMERS, run + " rounds for " + TIMERS + " timers");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
