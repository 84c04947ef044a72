package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each share suffices for its minimum with the smallest heap, and together they never exceed the heap. */
class HeapSharesTest {
    private static final int MIN_LIST_ENTRIES = 1024;
    /** Memory of a listed backend, with an id of 64 characters. */
    private static final int LIST_ENTRY_BYTES = 160 + 64 + 300;

    /** The hashes of 500 requests a second for 8 s. */
    private static final long MIN_REQUEST_ID_BYTES = 500 * 8 * 48;

    /** Heaps of deploy/serve.sh for memory limits of 32 to 80, 88, 96, 128 and 192 MB. */
    @ParameterizedTest
    @CsvSource({"16, 256", "16, 1024", "21, 1024", "26, 256", "48, 512", "90, 1024"})
    void sharesFitIntoTheHeap(int heapMb, int sockets) {
        long heapBytes = (long) heapMb << 20;

        HeapShares shares = HeapShares.of(heapBytes, sockets);

        assertTrue(shares.listBytes() >= MIN_LIST_ENTRIES * LIST_ENTRY_BYTES, shares.toString());
        assertTrue(shares.requestBytes() >= 16L * Backends.MAX_BODY_BYTES, shares.toString());
        assertTrue(shares.responseBytes() >= 8L * Backends.MAX_BODY_BYTES, shares.toString());
        assertTrue(shares.requestIdBytes() >= MIN_REQUEST_ID_BYTES, shares.toString());
        long connectionBytes = 5120L * sockets;
        assertTrue(shares.listBytes() + shares.requestBytes() + shares.responseBytes()
                + shares.requestIdBytes() + connectionBytes
                <= heapBytes * 0.85, shares.toString());
    }
}
