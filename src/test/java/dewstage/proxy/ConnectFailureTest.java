package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.ConnectTimeoutException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import org.junit.jupiter.api.Test;

/** The exceptions are those by which the JDK and Netty report the errors of connect. */
class ConnectFailureTest {
    @Test
    void refusedConnectionShowsThatNobodyListens() {
        assertEquals(ConnectFailure.REFUSED, ConnectFailure.of(new ConnectException("Connection refused")));
    }

    @Test
    void timeoutAndMissingRouteToTheHostShowThatItDoesNotRespond() {
        assertEquals(ConnectFailure.TIMED_OUT, ConnectFailure.of(new ConnectTimeoutException("timed out")));
        assertEquals(ConnectFailure.TIMED_OUT, ConnectFailure.of(new NoRouteToHostException("No route")));
    }

    /** Guards against a local failure being taken for an outage of discovery. */
    @Test
    void failureOnThisSideIsLocal() {
        assertEquals(ConnectFailure.LOCAL, ConnectFailure.of(new BindException("Cannot assign address")));
        assertEquals(ConnectFailure.LOCAL, ConnectFailure.of(new SocketException("Network is unreachable")));
        assertEquals(ConnectFailure.LOCAL, ConnectFailure.of(new SocketException("No buffer space")));
        assertEquals(ConnectFailure.LOCAL, ConnectFailure.of(null));
    }
}
