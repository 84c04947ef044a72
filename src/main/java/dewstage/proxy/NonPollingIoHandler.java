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
 * due in less than half a millisecond it therefore does not block at all, and the event loop runs round after
 * round, each with a system call, until the clock has reached the timer. That takes a core for up to half a
 * millisecond at each timer, and for longer where the clock stands still between waits. Here the delay is
 * rounded up: a timer may fire up to one millisecond late, and a round of the loop has something to do or
 * blocks.
 */
final class NonPollingIoHandler implements IoHandler {
    private static final long MILLISECOND_NS = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler delegate;
    private RoundedUp context;

    private NonPollingIoHandler(IoHandler delegate) {
        this.delegate = delegate;
    }

    /** Makes handlers that pass everything to those of another factory, but for delays that they round up. */
    static IoHandlerFactory over(IoHandlerFactory factory) {
        return executor -> new NonPollingIoHandler(factory.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext plain) {
        if (context == null || context.plain != plain) {
            context = new RoundedUp(plain);
        }
        return delegate.run(context);
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

    /** The event loop's context with the delay until its next timer in whole milliseconds, rounded up. */
    private record RoundedUp(IoHandlerContext plain) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return plain.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            long delay = plain.delayNanos(now);
            long rest = delay % MILLISECOND_NS;
            return delay <= 0 || rest == 0 || delay > Long.MAX_VALUE - MILLISECOND_NS
                    ? delay : delay - rest + MILLISECOND_NS;
        }

        @Override
        public long deadlineNanos() {
            return plain.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            plain.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return plain.shouldReportActiveIoTime();
        }
    }
}
