package dewstage.scale;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The deadline of an experiment; all waits end at it. */
final class Deadline {
    private final long deadlineNs;

    Deadline(long seconds) {
        this.deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    }

    boolean hasPassed() {
        return deadlineNs - System.nanoTime() <= 0;
    }

    /** Returns the remaining time in ns; 0 after the deadline. */
    long remainingNs() {
        return Math.max(0, deadlineNs - System.nanoTime());
    }

    /** Waits for the latch until the time-out or the deadline; returns false if it is still closed. */
    boolean await(CountDownLatch latch, long timeoutNs) throws InterruptedException {
        return latch.await(Math.min(timeoutNs, deadlineNs - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    /** Sleeps for a duration, but not beyond the deadline. */
    void sleep(long durationNs) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.min(durationNs, deadlineNs - System.nanoTime()));
    }
}
