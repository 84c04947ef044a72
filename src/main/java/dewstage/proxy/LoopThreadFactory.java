package dewstage.proxy;

import io.netty.util.concurrent.FastThreadLocalThread;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadFactory;

/**
 * Creates the thread of an event loop and reports its end, whatever the reason. Netty's termination future is
 * not completed if the loop ends by an Error and its cleanup fails as well, as without memory.
 */
final class LoopThreadFactory implements ThreadFactory {
    private final CompletableFuture<Void> ended = new CompletableFuture<>();

    /** Completes, always normally, when the thread has ended. */
    CompletableFuture<Void> ended() {
        return ended;
    }

    @Override
    public Thread newThread(Runnable task) {
        return new FastThreadLocalThread(() -> {
            try {
                task.run();
            } finally {
                ended.complete(null);
            }
        }, "event loop");
    }
}
