package dewstage.proxy;

/**
 * A limited part of the heap that many holders use together. Holders report what they use; the share only
 * adds it up and does not allocate. Not thread-safe: all calls are made on the event loop.
 */
final class MemoryShare {
    private final long limitBytes;
    private long usedBytes;
    private Runnable onReleased = () -> { };

    MemoryShare(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Sets the action that is run whenever a holder has released memory. */
    void onReleased(Runnable action) {
        this.onReleased = action;
    }

    boolean isExceeded() {
        return usedBytes > limitBytes;
    }

    /** Returns the unused part in bytes; negative if the limit is exceeded. */
    long availableBytes() {
        return limitBytes - usedBytes;
    }

    long usedBytes() {
        return usedBytes;
    }

    /** The part of the share that one holder uses. */
    final class Usage {
        private long bytes;

        /** Reports what the holder uses now; 0 once it has ended. */
        void set(long newBytes) {
            long changeBytes = newBytes - bytes;
            bytes = newBytes;
            usedBytes += changeBytes;
            if (changeBytes < 0) {
                onReleased.run();
            }
        }

        boolean isShareHalfUsed() {
            return usedBytes > limitBytes / 2;
        }
    }
}
