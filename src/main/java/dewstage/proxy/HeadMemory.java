package dewstage.proxy;

/** Estimates the heap that the head of an HTTP message occupies while it is received and used. */
final class HeadMemory {
    /** Heap of a header besides its characters: the entry of the map 40, and 48 for each of two strings. */
    private static final int HEADER_BYTES = 136;
    /** Heap of a head without headers, and of what tracks its message. */
    private static final int EMPTY_HEAD_BYTES = 1024;

    private long bytes;
    private boolean started;
    private boolean complete;

    /**
     * Counts bytes that the decoder has consumed; those after the head are not part of it.
     *
     * @param isComplete whether the head has been decoded to its end
     */
    void onDecoded(int consumedBytes, boolean isComplete) {
        if (!complete && consumedBytes > 0) {
            bytes += consumedBytes + (started ? 0 : EMPTY_HEAD_BYTES);
            started = true;
        }
        complete |= isComplete;
    }

    void onHeader() {
        bytes += HEADER_BYTES;
    }

    /** Forgets the message; the next bytes start another one. */
    void reset() {
        bytes = 0;
        started = false;
        complete = false;
    }

    long bytes() {
        return bytes;
    }
}
