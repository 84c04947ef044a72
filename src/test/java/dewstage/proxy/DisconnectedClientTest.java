package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.Outcome;
import dewstage.Balancer.Request;
import dewstage.Balancer.Status;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * No attempt starts for a client that has disconnected, even if the close is still unread when the attempt is
 * due: after a stall the event loop finds timers, connections and closes in the same iteration. The tests
 * block the loop while the client disconnects.
 */
class DisconnectedClientTest extends LoopbackTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    /** How a client disconnects. */
    private enum Disconnect {
        CLOSE {
            @Override
            void apply(Peer.Wire client) throws IOException {
                client.close();
            }
        },
        RESET {
            @Override
            void apply(Peer.Wire client) throws IOException {
                client.reset();
            }
        },
        HALF_CLOSE {
            @Override
            void apply(Peer.Wire client) throws IOException {
                client.halfClose();
            }
        },
        /** After a complete and a partial request, which are unread as well. */
        CLOSE_AFTER_PARTIAL_REQUEST {
            @Override
            void apply(Peer.Wire client) throws IOException {
                client.write(Setup.get() + "GET /look/1 HTTP/1.1\r\nRequest-");
                client.close();
            }
        };

        abstract void apply(Peer.Wire client) throws IOException;

        /** Must be called on the loop, so that nothing is read meanwhile. */
        void applyOnLoop(Peer.Wire client) {
            try {
                apply(client);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Returns an idle connection to the backend, after one response. */
    private Peer.Wire idleConnection() throws Exception {
        try (Peer.Wire client = setup.client().write(Setup.get())) {
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.send(request.ticket(), server, 0));
            Peer.Wire connection = backend.accept();
            connection.read();
            connection.write(OK);
            assertTrue(client.read().endsWith("body"));
            assertEquals(Status.OK, setup.awaitOutcome().status());
            return connection;
        }
    }

    /** Makes the proxy close the idle connection and returns what it wrote to it before. */
    private String readUntilClosed(Peer.Wire connection) throws Exception {
        setup.runOnLoop(() -> setup.actions.closeIdle(server));
        return connection.read();
    }

    private void assertCompletedUnsent(int ticket) throws Exception {
        assertEquals(ticket, setup.awaitEvent("withdrawn", Integer.class));
        Outcome outcome = setup.awaitOutcome();
        assertTrue(outcome.over());
        assertTrue(outcome.status() == Status.MOOT || outcome.status() == Status.CANCELLED,
                outcome.toString());
    }

    @ParameterizedTest
    @EnumSource
    void requestQueuedInTheModuleIsNotSentAfterDisconnect(Disconnect disconnect) throws Exception {
        Peer.Wire idle = idleConnection();
        setup.clock.advance(Backends.REUSE_DELAY_NS);
        try (Peer.Wire client = setup.client().write(Setup.get())) {
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> {
                disconnect.applyOnLoop(client);
                setup.actions.send(request.ticket(), server, 0);
            });
            assertCompletedUnsent(request.ticket());
            assertEquals("", readUntilClosed(idle));
        }
    }

    /** The request and the disconnect are read in the same iteration of the loop. */
    @ParameterizedTest
    @EnumSource
    void requestReadTogetherWithTheDisconnectIsNotSent(Disconnect disconnect) throws Exception {
        Peer.Wire idle = idleConnection();
        setup.clock.advance(Backends.REUSE_DELAY_NS);
        int nextTicket = 2; // tickets count from one
        setup.onRequest = () -> setup.actions.send(nextTicket, server, 0);
        try (Peer.Wire client = setup.client()) {
            setup.runOnLoop(() -> {
                try {
                    client.write(Setup.get());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                disconnect.applyOnLoop(client);
            });
            assertEquals(nextTicket, setup.awaitRequest().ticket());
            assertCompletedUnsent(nextTicket);
            assertEquals("", readUntilClosed(idle));
        }
    }

    @ParameterizedTest
    @EnumSource
    void secondAttemptIsNotSentAfterDisconnect(Disconnect disconnect) throws Exception {
        Peer.Wire idle = idleConnection();
        setup.clock.advance(Backends.REUSE_DELAY_NS);
        try (Peer.Wire client = setup.client().write(Setup.get()); Peer.Wire other = setup.client()) {
            Request request = setup.awaitRequest();
            other.write(Setup.get());
            Request otherRequest = setup.awaitRequest();
            setup.runOnLoop(() -> {
                setup.actions.send(otherRequest.ticket(), server, 0); // uses the idle connection
                setup.actions.send(request.ticket(), server, 0);
            });
            Peer.Wire first = backend.accept();
            first.read();
            idle.read();
            idle.write(OK);
            assertTrue(other.read().endsWith("body"));
            setup.clock.advance(Backends.REUSE_DELAY_NS);
            first.reset();
            while (setup.awaitOutcome().status() != Status.RESET) {
                continue; // the outcome of the other request
            }
            setup.runOnLoop(() -> {
                disconnect.applyOnLoop(client);
                setup.actions.send(request.ticket(), server, 0);
            });
            assertCompletedUnsent(request.ticket());
            assertEquals("", readUntilClosed(idle));
        }
    }

    /** The reuse delay expires and the close arrives in the same iteration of the loop. */
    @ParameterizedTest
    @EnumSource
    void attemptInTheReuseDelayIsNotSentAfterDisconnect(Disconnect disconnect) throws Exception {
        setup.clock.freeze();
        Peer.Wire idle = idleConnection();
        try (Peer.Wire client = setup.client().write(Setup.get())) {
            Request request = setup.awaitRequest();
            long delayNs = Backends.REUSE_DELAY_NS;
            setup.runOnLoop(() -> {
                setup.actions.send(request.ticket(), server, 0);
                disconnect.applyOnLoop(client);
                long startedAt = System.nanoTime();
                while (System.nanoTime() - startedAt <= delayNs) {
                    Thread.onSpinWait(); // the delay expires before the loop's next select
                }
            });
            assertCompletedUnsent(request.ticket());
            assertEquals("", readUntilClosed(idle));
        }
    }

    /** The backend's accept queue is full for the first SYN, so the second one opens the connection. */
    @ParameterizedTest
    @EnumSource
    void attemptOnASlowConnectIsNotSentAfterDisconnect(Disconnect disconnect) throws Exception {
        try (ServerSocket slowServer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Socket firstQueued = new Socket(slowServer.getInetAddress(), slowServer.getLocalPort());
                Socket secondQueued = new Socket(slowServer.getInetAddress(), slowServer.getLocalPort())) {
            assertTrue(firstQueued.isConnected() && secondQueued.isConnected());
            setup.close();
            setup = new Setup().start(Config.parse(Setup.json(discovery.hostPort(),
                    "127.0.0.1:" + slowServer.getLocalPort(), 1024, 20_000), Map.of()));
            server = setup.backendId();
            try (Peer.Wire client = setup.client().write(Setup.get())) {
                Request request = setup.awaitRequest();
                setup.runOnLoop(() -> setup.actions.send(request.ticket(), server, 0));
                slowServer.setSoTimeout((int) TimeUnit.SECONDS.toMillis(20));
                Socket[] accepted = new Socket[1];
                setup.runOnLoop(() -> {
                    try {
                        slowServer.accept().close();
                        slowServer.accept().close();
                        accepted[0] = slowServer.accept();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                    disconnect.applyOnLoop(client);
                });
                assertCompletedUnsent(request.ticket());
                try (Peer.Wire connection = new Peer.Wire(accepted[0])) {
                    assertEquals("", connection.read());
                }
            }
        }
    }

    /** Checking a client's connection reads other data as well, which must be neither lost nor duplicated. */
    @Test
    void requestReadDuringTheConnectionCheckIsHandledNext() throws Exception {
        try (Peer.Wire client = setup.client().write(Setup.get())) {
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> {
                try {
                    client.write(Setup.get());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                setup.actions.send(request.ticket(), server, 0);
            });
            Peer.Wire connection = backend.accept();
            connection.read();
            connection.write(OK);
            assertTrue(client.read().endsWith("body"));
            Request second = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.fail(second.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            assertTrue(setup.events.stream().noneMatch(event -> event.kind().equals("request")));
        }
    }
}
