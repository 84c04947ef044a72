package dewstage.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Looks at the configuration file for a change, on a thread of its own: for a process that was started with
 * SIGHUP ignored, as under nohup, since the runtime keeps an ignored signal ignored and calls no handler.
 */
final class ConfigFileWatch {
    /** Well within the 4 s after which a new configuration has to be in force. */
    static final long LOOK_MS = 500;

    /** What tells one state of the file from another. */
    private record State(Object key, long modifiedMs, long size) { }

    private final Path file;
    private final Runnable changed;
    private State last;

    private ConfigFileWatch(Path file, Runnable changed) {
        this.file = file;
        this.changed = changed;
        this.last = state();
    }

    /** Calls the action behind each change that a look finds; the thread does not keep the process alive. */
    static void start(String file, Runnable changed) {
        if (file == null || file.isEmpty()) {
            return; // a proxy that has none does not start
        }
        ConfigFileWatch watch = new ConfigFileWatch(Path.of(file), changed);
        Thread thread = new Thread(watch::look, "configuration");
        thread.setDaemon(true);
        thread.start();
    }

    private void look() {
        try {
            while (true) {
                Thread.sleep(LOOK_MS);
                State now = state();
                if (now != null && !now.equals(last)) {
                    last = now;
                    changed.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Null while there is none, as in the moment of a replacement. */
    private State state() {
        try {
            BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
            return new State(a.fileKey(), a.lastModifiedTime().toMillis(), a.size());
        } catch (IOException e) {
            return null;
        }
    }
}
