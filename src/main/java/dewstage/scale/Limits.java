package dewstage.scale;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The resource limits of the machine. An experiment that needs more is refused before it starts. */
final class Limits {
    static final int MAX_PROCESSES = 300;
    private static final long MB = 1 << 20;

    private final long memoryBytes;
    private final long maxHeapBytes;

    Limits() {
        this(ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getTotalMemorySize(),
                Runtime.getRuntime().maxMemory());
    }

    /** Creates limits for a machine with the given memory and maximum heap size in bytes. */
    Limits(long memoryBytes, long maxHeapBytes) {
        this.memoryBytes = memoryBytes;
        this.maxHeapBytes = maxHeapBytes;
    }

    /**
     * Returns the reason why an experiment cannot run, with the exceeded limit; null if it can.
     *
     * @param heapBytes heap that this process will need
     * @param processes number of processes to be started
     * @param processBytes memory that all of those will need together
     */
    String refusal(long heapBytes, int processes, long processBytes) {
        if (processes > MAX_PROCESSES) {
            return "refused: this needs " + processes + " processes, more than " + MAX_PROCESSES;
        }
        if (heapBytes + processBytes > memoryBytes / 2) {
            return "refused: this needs about " + (heapBytes + processBytes) / MB
                    + " MB, more than half of the " + memoryBytes / MB + " MB of this machine";
        }
        if (heapBytes > maxHeapBytes) {
            return "refused: this needs a heap of about " + heapBytes / MB + " MB, more than the "
                    + maxHeapBytes / MB + " MB available: start java with -Xmx" + heapBytes / MB + "m";
        }
        return null;
    }
}
