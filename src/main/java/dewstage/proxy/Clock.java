package dewstage.proxy;

/** Monotonic clock in ns, set to Unix time at the start so that start times of backends compare with it. */
class Clock {
    private final long origin = System.currentTimeMillis() * 1_000_000L - System.nanoTime();

    long now() {
        return origin + System.nanoTime();
    }
}
