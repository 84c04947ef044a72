package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Experiments that exceed the limits of the machine are refused with the exceeded value. */
class LimitsTest {
    private static final long MB = 1 << 20;
    private final Limits limits = new Limits(8000 * MB, 2000 * MB);

    @Test
    void halfOfTheMemoryAnd300ProcessesAreAllowed() {
        assertNull(limits.refusal(2000 * MB, 300, 2000 * MB));
    }

    @Test
    void theLiveHeapIsTheSumOfTheGenerations() {
        assertEquals(3, LiveHeap.parse(" def new generation   total 9K, used 1024K [0x1)\n"
                + "  eden space 8K, 7% used\n"
                + " tenured generation   total 99K, used 2048K [0x2)\n Metaspace       used 4096K\n"), 1e-9);
        assertTrue(Double.isNaN(LiveHeap.parse("no such process")));
    }

    @Test
    void exceededLimitsAreRefusedWithTheValue() {
        assertTrue(limits.refusal(0, 301, 0).contains("301 processes"));
        assertTrue(limits.refusal(1000 * MB, 1, 3001 * MB).contains("4001 MB"));
        assertTrue(limits.refusal(2001 * MB, 0, 0).contains("-Xmx2001m"));
    }
}
