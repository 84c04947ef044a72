package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Repeated ids are rejected for a while, in bounded memory. */
class RequestIdsTest {
    private static final long MAX_BYTES = 100_000;

    private static void openAndClose(RequestIds ids, String id) {
        assertTrue(ids.tryOpen(id), id);
        ids.close(id, true);
    }

    @Test
    void openAndRecentlyClosedIdsAreRejected() {
        RequestIds ids = new RequestIds(MAX_BYTES);
        assertTrue(ids.tryOpen("a"));
        assertFalse(ids.tryOpen("a"));
        ids.close("a", true);
        ids.expireClosed();
        assertFalse(ids.tryOpen("a"));
        ids.expireClosed();
        assertTrue(ids.tryOpen("a"));
    }

    /** The closed ids of a flood of short requests grew with its rate, without a limit. */
    @Test
    void floodOfRequestsForgetsTheOldestIdsAndKeepsThoseOfTheLastOnes() {
        RequestIds ids = new RequestIds(MAX_BYTES);
        int flood = 10_000; // several times as many as fit
        for (int i = 0; i < flood; i++) {
            openAndClose(ids, "id-" + i);
        }
        assertTrue(ids.tryOpen("id-0"));
        for (int i = flood - 500; i < flood; i++) {
            assertFalse(ids.tryOpen("id-" + i));
        }
    }

    /** Requests that were refused in great numbers displaced the ids of those that had run. */
    @Test
    void idsOfRequestsThatNeverRanDisplaceNone() {
        RequestIds ids = new RequestIds(0);
        assertTrue(ids.tryOpen("ran"));
        ids.close("ran", true);
        for (int i = 0; i < 1000; i++) {
            assertTrue(ids.tryOpen("refused" + i));
            ids.close("refused" + i, false);
        }
        assertFalse(ids.tryOpen("ran"));
    }
}
