package dewstage.proxy;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
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
final class NonPollingIoHandler extends ForwardingIoHandler {
    private static final long MILLISECOND_NS = TimeUnit.MILLISECONDS.toNanos(1);

    private RoundingContext roundingContext;

    private NonPollingIoHandler(IoHandler delegate) {
        super(delegate);
    }

    /** Wraps the handlers of a factory so that they round up the delay until the next timer. */
    static IoHandlerFactory wrap(IoHandlerFactory factory) {
        return executor -> new NonPollingIoHandler(factory.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext loopContext) {
        if (roundingContext == null || roundingContext.delegate() != loopContext) {
            roundingContext = new RoundingContext(loopContext);
        }
        return delegate().run(roundingContext);
    }

    /** Rounds up the delay until the event loop's next timer to whole milliseconds. */
    private static final class RoundingContext extends ForwardingIoHandlerContext {
        private RoundingContext(IoHandlerContext delegate) {
            super(delegate);
        }

        @Override
        public long delayNanos(long now) {
            long delayNs = super.delayNanos(now);
            long remainderNs = delayNs % MILLISECOND_NS;
            return delayNs <= 0 || remainderNs == 0 || delayNs > Long.MAX_VALUE - MILLISECOND_NS
                    ? delayNs : delayNs - remainderNs + MILLISECOND_NS;
        }
    }
}
