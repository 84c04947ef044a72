package dewstage.proxy;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory of responses that are being received. While the share is exceeded only the response that
 * began first is read; the others wait in their sockets, where TCP's flow control holds the backends back.
 */
final class ResponseMemory {
    /** A connection on which a response is received. */
    interface Reader {
        /** Starts or stops reading; may be called repeatedly with the same value. */
        void setReading(boolean on);
    }

    private final MemoryShare share;
    /** Responses that have begun, in that order. */
    private final Set<Response> responses = new LinkedHashSet<>();
    private int pausedCount;

    ResponseMemory(MemoryShare share) {
        this.share = share;
        share.onReleased(this::resume);
    }

    Response newResponse(Reader reader) {
        return new Response(reader);
    }

    /** The memory of the current response on one connection. */
    final class Response {
        private final Reader reader;
        private final MemoryShare.Usage usage = share.new Usage();
        private boolean isPaused;

        private Response(Reader reader) {
            this.reader = reader;
        }

        /** Reports what the response uses now, which may stop the reading. */
        void update(long bytes) {
            responses.add(this);
            usage.set(bytes);
            if (!isPaused && share.isExceeded() && responses.iterator().next() != this) {
                isPaused = true;
                pausedCount++;
                reader.setReading(false);
            }
        }

        /** Releases the memory: the response is complete or has failed. */
        void end() {
            responses.remove(this);
            resumeReading();
            usage.set(0);
            resume(); // another response may be the first now
        }

        private void resumeReading() {
            if (isPaused) {
                isPaused = false;
                pausedCount--;
                reader.setReading(true);
            }
        }
    }

    /** Resumes responses that fit into the memory if each grows to the maximum, and always the first one. */
    private void resume() {
        long availableBytes = share.availableBytes();
        Iterator<Response> oldestFirst = responses.iterator();
        while (pausedCount > 0 && oldestFirst.hasNext()) {
            oldestFirst.next().resumeReading();
            availableBytes -= Backends.MAX_BODY_BYTES;
            if (availableBytes < 0) {
                return;
            }
        }
    }
}
