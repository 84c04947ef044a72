package dewstage.proxy;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import java.util.concurrent.TimeUnit;

/**
 * An I/O handler that sleeps until a timer is due instead of polling for it.
 *
 * <p>Netty's NIO handler passes whole milliseconds to the selector and rounds to the nearest. With a timer
 * due in less than half a millisecond it therefore does not block at all, and the event loop spins, with a
 * system call per iteration, until the timer is due. That occupies a core for up to half a millisecond per
 * timer, and for longer where the clock does not advance between waits. Here the delay is rounded up: a timer
 * may fire up to one millisecond late, and an iteration of the loop either has work or blocks.
 */
final class NonPollingIoHandler implements IoHandler {
    private static final long MILLISECOND_NS = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler delegate;
    private RoundingContext roundingContext;

    private NonPollingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    /** Wraps the handlers of a factory so that they round up the delay until the next timer. */
    static IoHandlerFactory wrap(IoHandlerFactory factory) {
        return executor -> new NonPollingIoHandler(factory.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext loopContext) {
        if (roundingContext == null || roundingContext.loopContext != loopContext) {
            roundingContext = new RoundingContext(loopContext);
        }
        return delegate.run(roundingContext);
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }

    /** Rounds up the delay until the event loop's next timer to whole milliseconds. */
    private record RoundingContext(IoHandlerContext loopContext) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return loopContext.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            long delayNs = loopContext.delayNanos(now);
            long remainderNs = delayNs % MILLISECOND_NS;
            return delayNs <= 0 || remainderNs == 0 || delayNs > Long.MAX_VALUE - MILLISECOND_NS
                    ? delayNs : delayNs - remainderNs + MILLISECOND_NS;
        }

        @Override
        public long deadlineNanos() {
            return loopContext.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            loopContext.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return loopContext.shouldReportActiveIoTime();
        }
    }
}
