package dewstage.proxy;

import java.util.function.Consumer;

/**
 * Rereads the configuration and passes it on. Signal handlers run concurrently, so reading and passing on
 * form one critical section: the last configuration to be passed on is the newest.
 */
final class Reload {
    /** Reads the current configuration. */
    interface Source {
        Config read() throws ConfigException;
    }

    private final Source source;
    private final Consumer<Config> target;

    Reload(Source source, Consumer<Config> target) {
        this.source = source;
        this.target = target;
    }

    /** Logs and ignores a configuration that is invalid. */
    synchronized void run() {
        try {
            target.accept(source.read());
        } catch (ConfigException e) {
            Log.line("the new configuration is not used: " + e.getMessage());
        }
    }
}
