package dewstage.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Periodic tasks that continue after a failure; an executor runs a task that has thrown never again. */
final class PeriodicTasks {
    private PeriodicTasks() { }

    /** Runs a task on the loop for the first time after the delay, and then at this interval. */
    static void schedule(EventLoop loop, String name, Runnable task, long initialDelayMs, long intervalMs) {
        loop.scheduleWithFixedDelay(() -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                Log.failure("the task " + name + " failed", e);
            }
        }, initialDelayMs, intervalMs, TimeUnit.MILLISECONDS);
    }
}
