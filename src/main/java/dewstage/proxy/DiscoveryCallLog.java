package dewstage.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Logs each step of one call to discovery, with the time since the call was opened. */
final class DiscoveryCallLog {
    private final int id;
    private final boolean isLogged;
    private final long openedAtNs = System.nanoTime();
    private boolean isAnswered;
    private String reason;

    /**
     * Logs that a call is about to connect.
     *
     * @param version the version after which changes are requested; -1 for the whole list
     * @param isLogged false suppresses all lines, for a call that is expected to fail
     */
    DiscoveryCallLog(int id, InetSocketAddress address, long version, boolean isLogged) {
        this.id = id;
        this.isLogged = isLogged;
        log("opened to " + address.getAddress().getHostAddress() + ':' + address.getPort() + " after version "
                + version);
    }

    void connected() {
        log("connected after " + ageMs() + " ms");
    }

    void answered(HttpResponseStatus status) {
        isAnswered = true;
        log("answered with " + status.code() + " after " + ageMs() + " ms");
    }

    void listReceived(long fromVersion, ListUpdate update) {
        log("received " + update.kind() + " of " + update.entries().size() + " entries, version "
                + fromVersion + " to " + update.version() + ", after " + ageMs() + " ms");
    }

    /** Sets the reason for the end of the call; only the first reason is kept. */
    void setReason(String newReason) {
        if (reason == null) {
            reason = newReason;
        }
    }

    /** Logs the end of the call, with the given reason unless one was set before. */
    void ended(String defaultReason) {
        setReason(defaultReason);
        log("ended after " + ageMs() + " ms, " + (isAnswered ? "answered" : "not answered") + ": " + reason);
    }

    private long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedAtNs);
    }

    private void log(String text) {
        if (isLogged) {
            Log.line("discovery call " + id + " " + text);
        }
    }
}
