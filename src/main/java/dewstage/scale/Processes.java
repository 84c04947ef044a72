package dewstage.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The processes started by an experiment. All are terminated by their handles when the experiment ends or
 * this process shuts down; other processes are never touched.
 */
final class Processes implements AutoCloseable {
    private static final long TERMINATION_TIMEOUT_S = 5;

    private final List<Process> started = new ArrayList<>();
    private final Thread shutdownHook = new Thread(this::destroyAll, "process cleanup");

    Processes() {
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    synchronized Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        started.add(process);
        return process;
    }

    private synchronized void destroyAll() {
        started.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() {
        destroyAll();
        try {
            for (Process process : started) {
                process.waitFor(TERMINATION_TIMEOUT_S, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // termination has been requested already
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
