package dewstage.proxy;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;

/**
 * An I/O handler that looks at the sockets once more if a timer is due, before the event loop runs it.
 *
 * <p>A process that is stopped while the selector blocks finds its timers due when it continues, and the
 * interrupted selector reports no socket. The loop would then run the timers first: a request whose response
 * lies in the socket would time out or be repeated, and a connection with unread data would be closed or
 * reused.
 */
final class SelectBeforeTimersIoHandler extends ForwardingIoHandler {
    /** A bound for a process that is stopped again and again. */
    private static final int MAX_EXTRA_SELECTS = 4;
    /** An iteration of this length may have been a stop, in which further timers became due. */
    private static final long STALL_NS = 1_000_000L;

    private NonBlockingContext nonBlockingContext;

    private SelectBeforeTimersIoHandler(IoHandler delegate) {
        super(delegate);
    }

    /** Wraps the handlers of a factory. */
    static IoHandlerFactory wrap(IoHandlerFactory factory) {
        return executor -> new SelectBeforeTimersIoHandler(factory.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext loopContext) {
        if (nonBlockingContext == null || nonBlockingContext.delegate() != loopContext) {
            nonBlockingContext = new NonBlockingContext(loopContext);
        }
        int handled = delegate().run(loopContext);
        long elapsedNs = Long.MAX_VALUE;
        for (int i = 0; i < MAX_EXTRA_SELECTS && elapsedNs >= STALL_NS; i++) {
            long startedAt = System.nanoTime();
            if (loopContext.delayNanos(startedAt) > 0) {
                return handled;
            }
            handled += delegate().run(nonBlockingContext);
            elapsedNs = System.nanoTime() - startedAt;
        }
        return handled;
    }

    /** Makes the selector return at once. */
    private static final class NonBlockingContext extends ForwardingIoHandlerContext {
        private NonBlockingContext(IoHandlerContext delegate) {
            super(delegate);
        }

        @Override
        public boolean canBlock() {
            return false;
        }
    }
}
