package dewstage.proxy;

import java.util.function.Consumer;

/**
 * Reads the configuration anew and hands it over. Signals come on threads of their own: only one reads at a
 * time, and hands over before the next reads, so that the newest configuration is the last to take effect.
 */
final class Reload {
    /** Where the configuration comes from. */
    interface Source {
        Config read() throws ConfigException;
    }

    private final Source source;
    private final Consumer<Config> target;

    Reload(Source source, Consumer<Config> target) {
        this.source = source;
        this.target = target;
    }

    /** One that cannot be read changes nothing. */
    synchronized void run() {
        try {
            target.accept(source.read());
        } catch (ConfigException e) {
            Log.line("the new configuration is not used: " + e.getMessage());
        }
    }
}
