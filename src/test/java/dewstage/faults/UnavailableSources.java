package dewstage.faults;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A discovery of its own for each proxy of a run, one for each way in which discovery can be unavailable. */
final class UnavailableSources implements AutoCloseable {
    static final int COUNT = UnavailableDiscovery.Kind.values().length;

    /** Longer than the back-off of a call that was refused twice. */
    private static final Duration MAX_RECOVERY = Duration.ofSeconds(20);

    private static final Duration RECOVERED_PERIOD = Duration.ofSeconds(1);
    private static final double MIN_SERVED_SHARE = 0.9;

    private final FaultRun run;
    private final List<UnavailableDiscovery> sources = new ArrayList<>();

    /** Creates the sources, available at first, for a run of {@link #COUNT} proxies. */
    UnavailableSources(FaultRun run) {
        this.run = run;
        for (UnavailableDiscovery.Kind kind : UnavailableDiscovery.Kind.values()) {
            sources.add(new UnavailableDiscovery(run.list, COUNT, sources.size(), kind));
        }
    }

    UnavailableDiscovery.Kind kind(int proxy) {
        return sources.get(proxy).kind();
    }

    QueuedDiscovery discovery(int proxy) {
        return sources.get(proxy).discovery;
    }

    /** Settings by which each proxy has its own source, with the list as it is now. */
    List<ProxySettings> settings() {
        List<ProxySettings> settings = new ArrayList<>();
        for (int i = 0; i < COUNT; i++) {
            settings.add(run.settings(i, discovery(i)));
        }
        return settings;
    }

    void beginUnavailability() throws IOException {
        for (UnavailableDiscovery source : sources) {
            source.begin();
        }
    }

    void endUnavailability() throws IOException {
        for (UnavailableDiscovery source : sources) {
            source.end();
        }
    }

    /** Waits until all proxies serve; returns a description of the first that does not in time, or null. */
    String awaitAllServing() throws InterruptedException {
        long deadlineNs = System.nanoTime() + MAX_RECOVERY.toNanos();
        for (int i = 0; i < COUNT; i++) {
            while (!isServing(i)) {
                if (System.nanoTime() > deadlineNs) {
                    return describe(i);
                }
                run.pause(Duration.ofMillis(100));
            }
        }
        return null;
    }

    private boolean isServing(int proxy) {
        long now = System.nanoTime();
        return run.servedShare(proxy, now - RECOVERED_PERIOD.toNanos(), now) >= MIN_SERVED_SHARE;
    }

    /** The violations of the drain rule by all proxies, each with respect to its own source. */
    List<String> drainViolations() {
        List<String> violations = new ArrayList<>();
        for (int i = 0; i < COUNT; i++) {
            for (String violation : run.drainViolations(i, discovery(i))) {
                violations.add(kind(i) + ": " + violation);
            }
        }
        return violations;
    }

    String describe(int proxy) {
        return kind(proxy) + ", log " + run.fleet.log(proxy);
    }

    @Override
    public void close() throws IOException {
        for (UnavailableDiscovery source : sources) {
            source.close();
        }
    }
}
