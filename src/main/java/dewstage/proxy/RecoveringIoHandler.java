package dewstage.proxy;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;

/**
 * An I/O handler that survives an Error in an iteration of the event loop, such as an allocation that failed:
 * what was ready is reported by the next select again. After several in a row it lets the loop end, so that
 * the process exits rather than stands still.
 */
final class RecoveringIoHandler extends ForwardingIoHandler {
    static final int MAX_CONSECUTIVE_ERRORS = 16;

    private int consecutiveErrors;

    private RecoveringIoHandler(IoHandler delegate) {
        super(delegate);
    }

    /** Wraps the handlers of a factory. */
    static IoHandlerFactory wrap(IoHandlerFactory factory) {
        return executor -> new RecoveringIoHandler(factory.newHandler(executor));
    }

    @Override
    public int run(IoHandlerContext loopContext) {
        try {
            int handled = delegate().run(loopContext);
            consecutiveErrors = 0;
            return handled;
        } catch (ThreadDeath e) {
            throw e;
        } catch (Error e) {
            consecutiveErrors++;
            if (consecutiveErrors > MAX_CONSECUTIVE_ERRORS) {
                throw e;
            }
            Log.failure("the event loop failed and continues", e);
            return 0;
        }
    }
}
