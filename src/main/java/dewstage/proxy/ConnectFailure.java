package dewstage.proxy;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** What the failure of a connection shows of the other host. */
enum ConnectFailure {
    /** The host has refused the connection: nobody listens there. */
    REFUSED,
    /** The host did not respond: it is down or cut off. */
    TIMED_OUT,
    /** The connection failed on this side, for lack of a port or of a route; it says nothing of the host. */
    LOCAL;

    /** Classifies the cause of a failed connect. */
    static ConnectFailure of(Throwable cause) {
        if (cause instanceof ConnectTimeoutException || cause instanceof NoRouteToHostException) {
            return TIMED_OUT;
        }
        return cause instanceof ConnectException ? REFUSED : LOCAL;
    }
}
