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
 * No attempt begins for a client that has left, also where its close stands unread as the attempt is due:
 * the loop of a proxy that stood still finds timers, connections and closes in one go. Here the test holds
 * the loop up while the client leaves.
 */
class GoneClientTest extends LoopbackTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    /** How a client leaves. */
    private enum Leave {
        CLOSE {
            @Override
            void end(Peer.Wire client) throws IOException {
                client.close();
            }
        },
        RESET {
            @Override
            void end(Peer.Wire client) throws IOException {
                client.reset();
            }
        },
        END_SENDING {
            @Override
            void end(Peer.Wire client) throws IOException {
                client.halfClose();
            }
        },
        /** Behind half a further request, which is unread as well. */
        CLOSE_BEHIND_MORE {
            @Override
            void end(Peer.Wire client) throws IOException {
                client.write(Setup.get() + "GET /look/1 HTTP/1.1\r\nRequest-");
                client.close();
            }
        };

        abstract void end(Peer.Wire client) throws IOException;

        /** On the loop, where nothing is read meanwhile. */
        void now(Peer.Wire client) {
            try {
                end(client);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** A connection to the backend that has served once. */
    private Peer.Wire idleConnection() throws Exception {
        try (Peer.Wire client = setup.client().write(Setup.get())) {
            Request r = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write(OK);
            assertTrue(client.read().endsWith("body"));
            assertEquals(Status.OK, setup.awaitOutcome().status());
            return wire;
        }
    }

    /** What has been written to the connection since, once the proxy has ended it. */
    private String written(Peer.Wire wire) throws Exception {
        setup.runOnLoop(() -> setup.actions.closeIdle(server));
        return wire.read();
    }

    private void endsUnsent(int ticket) throws Exception {
        assertEquals(ticket, setup.awaitEvent("withdrawn", Integer.class));
        Outcome o = setup.awaitOutcome();
        assertTrue(o.over());
        assertTrue(o.status() == Status.MOOT || o.status() == Status.CANCELLED, o.toString());
    }

    @ParameterizedTest
    @EnumSource
    void whatWaitedInTheModuleIsNotSentOnceItsClientHasLeft(Leave how) throws Exception {
        Peer.Wire idle = idleConnection();
        setup.clock.advance(Backends.REUSE_DELAY_NS);
        try (Peer.Wire client = setup.client().write(Setup.get())) {
            Request r = setup.awaitRequest();
            setup.runOnLoop(() -> {
                how.now(client);
                setup.actions.send(r.ticket(), server, 0);
            });
            endsUnsent(r.ticket());
            assertEquals("", written(idle));
        }
    }

    /** The request and its client's end come in one go. */
    @ParameterizedTest
    @EnumSource
    void aRequestWhoseClientHasLeftBehindItIsNotSent(Leave how) throws Exception {
        Peer.Wire idle = idleConnection();
        setup.clock.advance(Backends.REUSE_DELAY_NS);
        int next = 2; // tickets count from one
        setup.onRequest = () -> setup.actions.send(next, server, 0);
        try (Peer.Wire client = setup.client()) {
            setup.runOnLoop(() -> {
                try {
                    client.write(Setup.get());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                how.now(client);
            });
            assertEquals(next, setup.awaitRequest().ticket());
            endsUnsent(next);
            assertEquals("", written(idle));
        }
    }

    @ParameterizedTest
    @EnumSource
    void aFurtherAttemptIsNotSentOnceItsClientHasLeft(Leave how) throws Exception {
        Peer.Wire idle = idleConnection();
        setup.clock.advance(Backends.REUSE_DELAY_NS);
        try (Peer.Wire client = setup.client().write(Setup.get()); Peer.Wire other = setup.client()) {
            Request r = setup.awaitRequest();
            other.write(Setup.get());
            Request beside = setup.awaitRequest();
            setup.runOnLoop(() -> {
                setup.actions.send(beside.ticket(), server, 0); // has the connection
                setup.actions.send(r.ticket(), server, 0);
            });
            Peer.Wire first = backend.accept();
            first.read();
            idle.read();
            idle.write(OK);
            assertTrue(other.read().endsWith("body"));
            setup.clock.advance(Backends.REUSE_DELAY_NS);
            first.reset();
            while (setup.awaitOutcome().status() != Status.RESET) {
                continue; // that of the other
            }
            setup.runOnLoop(() -> {
                how.now(client);
                setup.actions.send(r.ticket(), server, 0);
            });
            endsUnsent(r.ticket());
            assertEquals("", written(idle));
        }
    }

    /** The rest is over and the close is there in the same go of the loop. */
    @ParameterizedTest
    @EnumSource
    void whatWaitedForAConnectionsRestIsNotSentOnceItsClientHasLeft(Leave how) throws Exception {
        setup.clock.freeze();
        Peer.Wire idle = idleConnection();
        try (Peer.Wire client = setup.client().write(Setup.get())) {
            Request r = setup.awaitRequest();
            long restNs = Backends.REUSE_DELAY_NS;
            setup.runOnLoop(() -> {
                setup.actions.send(r.ticket(), server, 0);
                how.now(client);
                long began = System.nanoTime();
                while (System.nanoTime() - began <= restNs) {
                    Thread.onSpinWait(); // the rest is over before the loop looks at anything
                }
            });
            endsUnsent(r.ticket());
            assertEquals("", written(idle));
        }
    }

    /** The first SYN finds the backend's queue full, so the connection comes up with the second one. */
    @ParameterizedTest
    @EnumSource
    void whatWaitedForALateConnectionIsNotSentOnceItsClientHasLeft(Leave how) throws Exception {
        try (ServerSocket late = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Socket queued = new Socket(late.getInetAddress(), late.getLocalPort());
                Socket full = new Socket(late.getInetAddress(), late.getLocalPort())) {
            assertTrue(queued.isConnected() && full.isConnected());
            setup.close();
            setup = new Setup().start(Config.parse(Setup.json(discovery.hostPort(),
                    "127.0.0.1:" + late.getLocalPort(), 1024, 20_000), Map.of()));
            server = setup.backendId();
            try (Peer.Wire client = setup.client().write(Setup.get())) {
                Request r = setup.awaitRequest();
                setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
                late.setSoTimeout((int) TimeUnit.SECONDS.toMillis(20));
                Socket[] came = new Socket[1];
                setup.runOnLoop(() -> {
                    try {
                        late.accept().close();
                        late.accept().close();
                        came[0] = late.accept();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                    how.now(client);
                });
                endsUnsent(r.ticket());
                try (Peer.Wire wire = new Peer.Wire(came[0])) {
                    assertEquals("", wire.read());
                }
            }
        }
    }

    /** A look at a client's socket reads what else it holds: none of that may be lost or come twice. */
    @Test
    void whatIsReadAheadOfAnAttemptIsServedInItsTurn() throws Exception {
        try (Peer.Wire client = setup.client().write(Setup.get())) {
            Request r = setup.awaitRequest();
            setup.runOnLoop(() -> {
                try {
                    client.write(Setup.get());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                setup.actions.send(r.ticket(), server, 0);
            });
            Peer.Wire wire = backend.accept();
            wire.read();
            wire.write(OK);
            assertTrue(client.read().endsWith("body"));
            Request second = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.fail(second.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            assertTrue(setup.events.stream().noneMatch(t -> t.kind().equals("request")));
        }
    }
}
