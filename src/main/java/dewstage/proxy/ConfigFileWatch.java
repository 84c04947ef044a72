package dewstage.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Polls the configuration file for changes on a thread of its own. Used when the process was started with
 * SIGHUP ignored, as under nohup: the runtime then keeps the signal ignored and calls no handler.
 */
final class ConfigFileWatch {
    /** Leaves most of the 4 s within which a new configuration has to be in force. */
    static final long POLL_INTERVAL_MS = 500;

    /** Attributes that differ between two versions of the file. */
    private record Fingerprint(Object key, long modifiedMs, long size) { }

    private final Path file;
    private final Runnable onChange;
    private Fingerprint lastSeen;

    private ConfigFileWatch(Path file, Runnable onChange) {
        this.file = file;
        this.onChange = onChange;
        this.lastSeen = fingerprint();
    }

    /** Calls the action after each detected change, on a daemon thread. */
    static void start(String file, Runnable onChange) {
        if (file == null || file.isEmpty()) {
            return; // the proxy does not start without a file
        }
        ConfigFileWatch watch = new ConfigFileWatch(Path.of(file), onChange);
        Thread thread = new Thread(watch::poll, "configuration");
        thread.setDaemon(true);
        thread.start();
    }

    private void poll() {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MS);
                Fingerprint current = fingerprint();
                if (current != null && !current.equals(lastSeen)) {
                    lastSeen = current;
                    onChange.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns null if the file is missing, as it may be for a moment while it is replaced. */
    private Fingerprint fingerprint() {
        try {
            BasicFileAttributes current = Files.readAttributes(file, BasicFileAttributes.class);
            return new Fingerprint(current.fileKey(), current.lastModifiedTime().toMillis(), current.size());
        } catch (IOException e) {
            return null;
        }
    }
}
