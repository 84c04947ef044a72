package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** After an Error on the event loop the loop continues, or the end of its thread is reported. */
@Timeout(60)
class EventLoopErrorsTest {
    private static final Error OUT_OF_MEMORY = new OutOfMemoryError("thrown by the test");

    /** Throws in as many iterations as are left in the counter. */
    private static IoHandlerFactory failingFactory(AtomicInteger failuresLeft) {
        return executor -> new ForwardingIoHandler(NioIoHandler.newFactory().newHandler(executor)) {
            @Override
            public int run(IoHandlerContext context) {
                if (failuresLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                    throw OUT_OF_MEMORY;
                }
                return delegate().run(context);
            }
        };
    }

    @Test
    void loopContinuesAfterErrors() throws Exception {
        AtomicInteger failuresLeft = new AtomicInteger(RecoveringIoHandler.MAX_CONSECUTIVE_ERRORS);
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, RecoveringIoHandler.wrap(failingFactory(failuresLeft)));
        try {
            EventLoop loop = group.next();
            assertEquals(3, loop.schedule(() -> 3, 10, TimeUnit.MILLISECONDS).get(20, TimeUnit.SECONDS));
            assertEquals(0, failuresLeft.get());
            failuresLeft.set(RecoveringIoHandler.MAX_CONSECUTIVE_ERRORS); // not counted with the first ones
            assertEquals(4, loop.schedule(() -> 4, 10, TimeUnit.MILLISECONDS).get(20, TimeUnit.SECONDS));
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    @Test
    void loopEndsAndItsEndIsReportedIfErrorsPersist() throws Exception {
        LoopThreadFactory threads = new LoopThreadFactory();
        AtomicInteger failuresLeft = new AtomicInteger(Integer.MAX_VALUE);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, threads,
                RecoveringIoHandler.wrap(failingFactory(failuresLeft)));
        try {
            group.next().execute(() -> { }); // starts the thread
            threads.ended().get(20, TimeUnit.SECONDS);
            assertEquals(RecoveringIoHandler.MAX_CONSECUTIVE_ERRORS + 1,
                    Integer.MAX_VALUE - failuresLeft.get());
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** Without memory Netty's own cleanup failed too, and the process waited for it for good. */
    @Test
    void endOfTheThreadIsReportedHoweverItsTaskEnds() throws Exception {
        LoopThreadFactory threads = new LoopThreadFactory();
        Thread thread = threads.newThread(() -> {
            throw OUT_OF_MEMORY;
        });
        thread.setUncaughtExceptionHandler((dying, thrown) -> { });
        thread.start();
        threads.ended().get(20, TimeUnit.SECONDS);
    }

    @Test
    void endOfTheThreadIsNotReportedEarlier() {
        LoopThreadFactory threads = new LoopThreadFactory();
        CountDownLatch release = new CountDownLatch(1);
        threads.newThread(() -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }).start();
        assertThrows(TimeoutException.class,
                () -> threads.ended().get(50, TimeUnit.MILLISECONDS));
        release.countDown();
    }

    /** An executor drops a periodic task that has thrown once: overdue connections were closed no more. */
    @Test
    void periodicTaskRunsAgainAfterAnError() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            CountDownLatch runs = new CountDownLatch(3);
            PeriodicTasks.schedule(group.next(), "that fails", () -> {
                runs.countDown();
                throw OUT_OF_MEMORY;
            }, 0, 1);
            assertTrue(runs.await(20, TimeUnit.SECONDS));
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
