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

    /** Counts bytes that the decoder has consumed; those after the head are not part of it. */
    void onConsumed(int count) {
        if (!complete && count > 0) {
            bytes += count + (started ? 0 : EMPTY_HEAD_BYTES);
            started = true;
        }
    }

    void onHeader() {
        bytes += HEADER_BYTES;
    }

    void onComplete() {
        complete = true;
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
