package dewstage.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** The record of one call to discovery: what became of it and when, a line in the log for each step. */
final class DiscoveryCall {
    private final int id;
    private final boolean logged;
    private final long openedAt = System.nanoTime();
    private boolean answered;
    private String reason;

    /**
     * A call that is about to connect.
     *
     * @param version what came after that is asked for; -1 for the whole list
     * @param logged false for a call that will hardly connect, of which nothing need be said
     */
    DiscoveryCall(int id, InetSocketAddress to, long version, boolean logged) {
        this.id = id;
        this.logged = logged;
        log("opened to " + to.getAddress().getHostAddress() + ':' + to.getPort() + " after version "
                + version);
    }

    void connected() {
        log("connected after " + ageMs() + " ms");
    }

    void answered(HttpResponseStatus status) {
        answered = true;
        log("answered with " + status.code() + " after " + ageMs() + " ms");
    }

    void list(long from, Discovery.ListUpdate update) {
        log("brought " + update.kind() + " of " + update.list().size() + " entries, version " + from + " to "
                + update.version() + ", after " + ageMs() + " ms");
    }

    /** Why it is about to end; the first reason that is given counts. */
    void reason(String why) {
        if (reason == null) {
            reason = why;
        }
    }

    /** It has ended, for a reason of its own if none was given before. */
    void ended(String otherwise) {
        reason(otherwise);
        log("ended after " + ageMs() + " ms, " + (answered ? "answered" : "not answered") + ": " + reason);
    }

    private long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedAt);
    }

    private void log(String what) {
        if (logged) {
            Log.line("discovery call " + id + " " + what);
        }
    }
}
