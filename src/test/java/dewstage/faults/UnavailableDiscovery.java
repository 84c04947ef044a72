package dewstage.faults;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;

/** The discovery of one proxy, which becomes unavailable in one of several ways and available again. */
final class UnavailableDiscovery implements AutoCloseable {
    /** How discovery is unavailable. */
    enum Kind {
        /** Connections are refused. */
        CONNECTIONS_REFUSED,
        /** Connections do not come up. */
        CONNECTIONS_TIME_OUT,
        /** Calls end in a reset. */
        CALLS_RESET,
        /** Calls are not answered. */
        CALLS_UNANSWERED,
        /** Calls wait and are refused with 503. */
        CALLS_REFUSED;

        boolean isOutage() {
            return this == CONNECTIONS_REFUSED || this == CONNECTIONS_TIME_OUT;
        }
    }

    private static final Duration CALL_TIME = Duration.ofMillis(1);
    private static final Duration REFUSE_AFTER = Duration.ofSeconds(2);

    final QueuedDiscovery discovery;
    private final Kind kind;
    private final InetSocketAddress address;
    private UnresponsiveListener unresponsive;

    UnavailableDiscovery(ServerList list, int proxies, int proxy, Kind kind) {
        this.discovery = new QueuedDiscovery(list, proxies, CALL_TIME);
        this.kind = kind;
        String hostPort = discovery.hostPort(proxy);
        this.address =
                new InetSocketAddress("127.0.0.1", Integer.parseInt(hostPort.substring(hostPort.indexOf(':') + 1)));
    }

    Kind kind() {
        return kind;
    }

    void begin() throws IOException {
        switch (kind) {
            case CONNECTIONS_REFUSED -> discovery.down();
            case CONNECTIONS_TIME_OUT -> {
                discovery.down();
                unresponsive = new UnresponsiveListener(address);
            }
            case CALLS_RESET -> discovery.setResetting(true);
            case CALLS_UNANSWERED -> discovery.setStalled(true);
            case CALLS_REFUSED -> {
                discovery.setStalled(true);
                discovery.setRefuseAfter(REFUSE_AFTER);
            }
            default -> throw new IllegalStateException("unknown kind " + kind);
        }
    }

    /** Makes discovery available again; calls that wait are ended first, as by a restart. */
    void end() throws IOException {
        closeUnresponsive();
        if (!kind.isOutage()) {
            discovery.down();
        }
        discovery.setResetting(false);
        discovery.setStalled(false);
        discovery.setRefuseAfter(null);
        discovery.up();
    }

    private void closeUnresponsive() throws IOException {
        if (unresponsive != null) {
            unresponsive.close();
            unresponsive = null;
        }
    }

    @Override
    public void close() throws IOException {
        closeUnresponsive();
        discovery.close();
    }
}
