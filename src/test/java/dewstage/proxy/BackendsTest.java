package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.Outcome;
import dewstage.Balancer.Request;
import dewstage.Balancer.State;
import dewstage.Balancer.Status;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How responses and failures of backends are handled, and what outcome the module receives. */
class BackendsTest extends LoopbackTest {
    /** One read of 8 KiB, in buffers that are at most twice as large, and the head. */
    private static final long MAX_BYTES_OF_A_PAUSED_RESPONSE = 32 << 10;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    /** Sends a client request that the module sends on to the backend. */
    private Request sendRequest(Peer.Wire client) throws Exception {
        client.write(Setup.get());
        Request request = setup.awaitRequest();
        setup.runOnLoop(() -> setup.actions.send(request.ticket(), server, 0));
        return request;
    }

    @Test
    void responseIsForwardedUnchangedAndItsConnectionIsReused() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request request = sendRequest(client);
            Peer.Wire connection = backend.accept();
            String forwarded = connection.read();
            assertTrue(forwarded.startsWith("GET /look/1?x=2 HTTP/1.1\r\n"), forwarded);
            assertTrue(forwarded.matches("(?s).*Request-Id: r\\d+\r\n.*"), forwarded);
            assertTrue(forwarded.matches("(?s).*Request-Timeout: 29\\.\\d+\r\n.*"), forwarded);
            connection.write(OK.replace("Content", "Server-Load: inflight=7,util=0.61\r\nContent"));
            assertTrue(client.read().endsWith("\r\n\r\nbody"));
            Outcome outcome = setup.awaitOutcome();
            assertEquals(Status.OK, outcome.status());
            assertEquals(request.ticket(), outcome.ticket());
            assertTrue(outcome.over());
            assertEquals(7, outcome.report().inflight());
            assertEquals(0.61, outcome.report().util());
            setup.clock.advance(Backends.REUSE_DELAY_NS);
            sendRequest(client);
            connection.read(); // the same connection is used
            connection.write(OK);
            assertTrue(client.read().endsWith("body"));
            assertTrue(backend.hasNoPendingConnection());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "500 Oops, '', ERROR", "503 Busy, '', ERROR", "504 Late, '', ERROR", "429 Busy, '', ERROR",
        "503 Busy, Not-Started: 1, FULL", "504 Late, Not-Started: 1, FULL",
        "500 Oops, Not-Started: 1, ERROR"})
    void onlyNotStartedProvesThatTheRequestNeverRan(String line, String header, Status status)
            throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire connection = backend.accept();
            connection.read();
            connection.write("HTTP/1.1 " + line + "\r\n" + (header.isEmpty() ? "" : header + "\r\n")
                    + "Content-Length: 0\r\n\r\n");
            Outcome outcome = setup.awaitOutcome();
            assertEquals(status, outcome.status());
            assertFalse(outcome.over());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK|Content-Length: 9||half", "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|half|",
        "HTTP/1.1 200 OK||whole until the end?", "HTTP/1.1 200 OK|Content-Le", "rubbish|",
        "HTTP/1.1 200 OK|Content-Length: x||"})
    void incompleteResponseIsAResetAndIsNotServed(String response) throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request request = sendRequest(client);
            Peer.Wire connection = backend.accept();
            connection.read();
            connection.write(response.replace("|", "\r\n")).close();
            Outcome outcome = setup.awaitOutcome();
            assertEquals(Status.RESET, outcome.status());
            assertFalse(outcome.over());
            setup.runOnLoop(() -> setup.actions.fail(request.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
        }
    }

    /** The connection stays open, so only the bytes received show that the response is invalid. */
    @ParameterizedTest
    @CsvSource({
        "xHTTP/1.1 200 OK|Content-Length: 4||body", "HTTP/1.1 OK 200|Content-Length: 4||body",
        "HTTP/7.1 200 OK|Content-Length: 4||body", "HTTP/1.1 2x0 OK|Content-Length: 4||body",
        "HTTP/1.1 200 OK|no colon here|Content-Length: 4||body",
        "HTTP/1.1 200 OK|Content-Length: 4|Content-Length: 9||body",
        "HTTP/1.1 200 OK|Content-Length: -4|Content-Length: 4||body",
        "HTTP/1.1 200 OK|Content-Length: 4|Transfer-Encoding: chunked||0||",
        "HTTP/1.1 200 OK|Content-Length: 3000000000||body", "HTTP/1.1 200 OK|Content-Length: 65537||body",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||5|abcde|zz|abcde|0||", "HTTP/1.1 200 OK||body",
        "HTTP/1.1 200 OK|Content-Length: 4||body and the rest of it",
        "HTTP/1.1 101 Switching Protocols||", "noise"})
    void malformedResponseIsAnImmediateResetAndClosesTheConnection(String response) throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request request = sendRequest(client);
            Peer.Wire connection = backend.accept();
            connection.read();
            connection.write(response.replace("|", "\r\n"));
            Outcome outcome = setup.awaitOutcome();
            assertEquals(Status.RESET, outcome.status());
            assertFalse(outcome.over());
            assertTrue(connection.awaitClose());
            setup.runOnLoop(() -> setup.actions.fail(request.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
        }
    }

    @Test
    void endlessHeadAndEndlessInterimResponsesAreResets() throws Exception {
        for (String endless : List.of("X-Pad: ppppppppppppppppppppppppp\r\n", "HTTP/1.1 103 Early\r\n\r\n")) {
            try (Peer.Wire client = setup.client()) {
                Request request = sendRequest(client);
                Peer.Wire connection = backend.accept();
                connection.read();
                connection.write((endless.startsWith("X") ? "HTTP/1.1 200 OK\r\n" : "")
                        + endless.repeat(400));
                assertEquals(Status.RESET, setup.awaitOutcome().status());
                setup.runOnLoop(() -> setup.actions.fail(request.ticket()));
                assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            }
        }
    }

    @Test
    void duplicateResponseInTheSameReadIsNotUsedForTheNextRequest() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write("HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n" + OK + OK.substring(0, OK.length() - 2));
            assertTrue(client.read().endsWith("\r\n\r\nbody"));
            assertEquals(Status.OK, setup.awaitOutcome().status());
            assertTrue(first.awaitClose());
            sendRequest(client);
            Peer.Wire second = backend.accept();
            second.read();
            second.write(OK.replace("body", "next"));
            assertTrue(client.read().endsWith("\r\n\r\nnext"));
        }
    }

    /** Has one request served on a new connection to the backend, and returns that connection. */
    private Peer.Wire serveOnNewConnection(Peer.Wire client) throws Exception {
        sendRequest(client);
        Peer.Wire connection = backend.accept();
        connection.read();
        connection.write(OK);
        assertTrue(client.read().endsWith("\r\n\r\nbody"));
        return connection;
    }

    @Test
    void delayedDuplicateResponseIsNotUsedForTheNextRequest() throws Exception {
        try (Peer.Wire client = setup.client()) {
            setup.clock.freeze();
            Peer.Wire first = serveOnNewConnection(client);
            client.write(Setup.get());
            Request next = setup.awaitRequest();
            setup.runOnLoop(() -> {
                setup.actions.send(next.ticket(), server, 0);
                writeUnchecked(first, OK); // on the loop, so that it is readable at the next select
            });
            assertTrue(first.awaitClose());
            assertServedOnNewConnection(client);
        }
    }

    /** An attempt that is cancelled during the reuse delay must not be written after it. */
    private static void writeUnchecked(Peer.Wire connection, String text) {
        try {
            connection.write(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Has the request that waits in the module served on the next new connection. */
    private void assertServedOnNewConnection(Peer.Wire client) throws Exception {
        Peer.Wire connection = backend.accept();
        connection.read();
        connection.write(OK.replace("body", "next"));
        assertTrue(client.read().endsWith("\r\n\r\nnext"));
    }

    /** A duplicate response that lay unread was taken for the response to the next request. */
    @Test
    void connectionWithAnUnreadDuplicateResponseIsNotReused() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Peer.Wire first = serveOnNewConnection(client);
            setup.clock.advance(Backends.REUSE_DELAY_NS);
            client.write(Setup.get());
            Request next = setup.awaitRequest();
            setup.runOnLoop(() -> {
                writeUnchecked(first, OK);
                setup.actions.send(next.ticket(), server, 0);
            });
            assertServedOnNewConnection(client);
        }
    }

    /** As above, with a duplicate that arrives at the end of the delay before the reuse. */
    @Test
    void connectionWithADuplicateResponseUnreadAfterTheReuseDelayIsNotReused() throws Exception {
        try (Peer.Wire client = setup.client()) {
            setup.clock.freeze();
            Peer.Wire first = serveOnNewConnection(client);
            client.write(Setup.get());
            Request next = setup.awaitRequest();
            setup.runOnLoop(() -> {
                long startedAt = System.nanoTime();
                // Due first and in the same iteration of the loop, so that nothing is read in between.
                setup.loop.schedule(() -> writeUnchecked(first, OK), Backends.REUSE_DELAY_NS,
                        TimeUnit.NANOSECONDS);
                setup.actions.send(next.ticket(), server, 0);
                while (System.nanoTime() - startedAt <= 2 * Backends.REUSE_DELAY_NS) {
                    Thread.onSpinWait();
                }
            });
            assertServedOnNewConnection(client);
        }
    }

    @Test
    void attemptCancelledDuringTheReuseDelayIsNotWritten() throws Exception {
        try (Peer.Wire client = setup.client()) {
            setup.clock.freeze();
            Peer.Wire first = serveOnNewConnection(client);
            assertEquals(Status.OK, setup.awaitOutcome().status());
            client.write(Setup.get());
            Request next = setup.awaitRequest();
            setup.runOnLoop(() -> {
                setup.actions.send(next.ticket(), server, 0);
                setup.actions.cancel(next.ticket(), 0);
            });
            assertEquals(Status.CANCELLED, setup.awaitOutcome().status());
            assertEquals("", first.read());
        }
    }

    /** The proxy must notice that a backend closes right after its response before it writes to it again. */
    @Test
    void connectionIdleLongestIsReusedFirst() throws Exception {
        try (Peer.Wire firstClient = setup.client(); Peer.Wire secondClient = setup.client()) {
            sendRequest(firstClient);
            Peer.Wire first = backend.accept();
            first.read();
            sendRequest(secondClient);
            Peer.Wire second = backend.accept();
            second.read();
            first.write(OK);
            assertTrue(firstClient.read().endsWith("body"));
            second.write(OK);
            assertTrue(secondClient.read().endsWith("body"));
            setup.clock.advance(Backends.REUSE_DELAY_NS);
            sendRequest(firstClient);
            assertTrue(first.read().startsWith("GET "));
        }
    }

    @Test
    void anyBytesOnAnIdleConnectionCloseIt() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire first = backend.accept();
            first.read();
            first.write(OK);
            assertTrue(client.read().endsWith("body"));
            first.write("H");
            assertTrue(first.awaitClose());
            sendRequest(client);
            backend.accept().read();
        }
    }

    /** A request that every backend would reject must not count as a failure of the backend. */
    @Test
    void requestThatTheBackendRejectsIsCompletedAsMoot() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire connection = backend.accept();
            connection.read();
            connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 404 "));
            Outcome outcome = setup.awaitOutcome();
            assertEquals(Status.MOOT, outcome.status());
            assertTrue(outcome.over());
        }
    }

    @Test
    void connectionLostAfterTheRequestIsAReset() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire connection = backend.accept();
            connection.read();
            connection.reset();
            assertEquals(Status.RESET, setup.awaitOutcome().status());
            assertTrue(backend.hasNoPendingConnection()); // no retry
        }
    }

    @Test
    void refusedConnectionIsAConnectFailure() throws Exception {
        backend.close();
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            assertEquals(Status.CONNECT_FAILED, setup.awaitOutcome().status());
        }
    }

    @Test
    void attemptTimeoutClosesTheConnection() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.send(request.ticket(), server, 300_000_000L));
            Peer.Wire connection = backend.accept();
            connection.read();
            Outcome outcome = setup.awaitOutcome();
            assertEquals(Status.TIMEOUT, outcome.status());
            assertFalse(outcome.over());
            assertTrue(connection.awaitClose());
        }
    }

    @Test
    void cancelledAttemptClosesItsConnectionAndCompletesOnce() throws Exception {
        try (Peer.Wire client = setup.client()) {
            Request request = sendRequest(client);
            Peer.Wire connection = backend.accept();
            connection.read();
            setup.runOnLoop(() -> {
                setup.actions.cancel(request.ticket(), 0);
                setup.actions.cancel(request.ticket(), 0);
            });
            assertEquals(Status.CANCELLED, setup.awaitOutcome().status());
            assertTrue(connection.awaitClose());
            setup.runOnLoop(() -> setup.actions.refuse(request.ticket(), 1_200_000_000L));
            String response = client.read();
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertTrue(response.contains("Retry-After: 1.200000\r\n"), response);
            assertTrue(setup.events.stream().noneMatch(t -> t.kind().equals("outcome")));
        }
    }

    @Test
    void connectionThatTheBackendClosesIsNotReused() throws Exception {
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            Peer.Wire connection = backend.accept();
            connection.read();
            connection.write(OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            client.read();
            assertEquals(Status.OK, setup.awaitOutcome().status());
            assertTrue(connection.awaitClose());
            sendRequest(client);
            Peer.Wire second = backend.accept();
            second.read();
            second.write(OK);
            assertTrue(client.read().endsWith("body"));
        }
    }

    @Test
    void attemptWithoutADescriptorIsMoot() throws Exception {
        setup.close();
        setup = new Setup().start(Config.parse(Setup.json(discovery.hostPort(), backend.hostPort(), 6, 5000),
                Map.of())); // two of the sockets are for backends
        server = setup.backendId();
        try (Peer.Wire first = setup.client(); Peer.Wire second = setup.client();
                Peer.Wire third = setup.client()) {
            sendRequest(first);
            sendRequest(second);
            Request request = sendRequest(third);
            Outcome outcome = setup.awaitOutcome();
            assertEquals(request.ticket(), outcome.ticket());
            assertEquals(Status.MOOT, outcome.status()); // not counted as a failure of the backend
        }
    }

    /** Completes one attempt at each server in turn; returns their connections, which are then idle. */
    private List<Peer.Wire> serveOneAt(Backends backends, int... servers) throws Exception {
        List<Peer.Wire> connections = new ArrayList<>();
        ClientRequest request =
                new ClientRequest(HttpMethod.GET, "/look/1", new DefaultHttpHeaders(), new byte[0]);
        for (int id : servers) {
            CompletableFuture<Status> completion = new CompletableFuture<>();
            setup.runOnLoop(() -> backends.send(id, request, 20_000_000_000L, () -> true,
                    (attempt, status, report, response) -> completion.complete(status)));
            Peer.Wire connection = backend.accept();
            connection.read();
            connection.write(OK);
            assertEquals(Status.OK, completion.get(20, TimeUnit.SECONDS));
            connections.add(connection);
        }
        return connections;
    }

    private Backends newBackends(int sockets) throws Exception {
        return newBackends(sockets, new MemoryShare(Long.MAX_VALUE));
    }

    private Backends newBackends(int sockets, MemoryShare responses) throws Exception {
        Config config = Setup.config(discovery, backend);
        return setup.loop.submit(() -> new Backends(setup.loop, setup.clock, new Sockets(sockets).backends,
                new ResponseMemory(responses), config, Backends.tcp(setup.loop),
                id -> listEntry(id, State.READY))).get();
    }

    private ListedBackend listEntry(int id, State state) {
        return new ListedBackend(new Member(id, 0, state, 0, 0, 0, 1), backend.address());
    }

    private int trackedCount(Backends backends) throws Exception {
        return setup.loop.submit(backends::trackedCount).get(20, TimeUnit.SECONDS);
    }

    /** The member list may be long: only the state of backends in use is kept and scanned. */
    @Test
    void onlyBackendsInUseAreTracked() throws Exception {
        Backends backends = newBackends(1024);
        List<ListedBackend> list =
                IntStream.range(0, 1000).mapToObj(id -> listEntry(id, State.READY)).toList();
        setup.runOnLoop(() -> backends.apply(new ListUpdate(ListKind.FULL, 1, list)));
        assertEquals(0, trackedCount(backends));
        setup.clock.freeze();
        List<Peer.Wire> connections = serveOneAt(backends, 3, 4, 5);
        assertEquals(3, trackedCount(backends));
        List<ListedBackend> changes = List.of(listEntry(4, State.GONE));
        setup.runOnLoop(() -> backends.apply(new ListUpdate(ListKind.DELTA, 2, changes)));
        assertTrue(connections.get(1).awaitClose(), "idle connection to a server that is gone");
        assertEquals(2, trackedCount(backends));
        setup.clock.advance(15_000_000_000L); // the keep-alive time, after which idle connections are closed
        assertTrue(connections.get(0).awaitClose() && connections.get(2).awaitClose());
        assertEquals(0, trackedCount(backends));
    }

    @Test
    void connectionIdleLongestIsClosedToFreeADescriptor() throws Exception {
        Backends backends = newBackends(6); // two of the sockets are for backends
        setup.clock.freeze();
        List<Peer.Wire> connections = new ArrayList<>(serveOneAt(backends, 9, 8));
        setup.clock.advance(Backends.REUSE_DELAY_NS);
        connections.addAll(serveOneAt(backends, 7));
        assertTrue(connections.get(0).awaitClose());
        setup.runOnLoop(() -> backends.closeIdle(7));
        assertTrue(connections.get(2).awaitClose());
        assertEquals(1, trackedCount(backends), "the second connection is still idle");
    }

    /** Many long responses at once once used up the heap: nothing limited what was read of them. */
    @Test
    void longResponsesBeyondTheMemoryLimitWaitInTheirSockets() throws Exception {
        int attempts = 24;
        long limitBytes = 3L * Backends.MAX_BODY_BYTES;
        long maxOvershootBytes = attempts * MAX_BYTES_OF_A_PAUSED_RESPONSE + Backends.MAX_BODY_BYTES;
        MemoryShare responses = new MemoryShare(limitBytes);
        Backends backends = newBackends(1024, responses);
        ClientRequest request =
                new ClientRequest(HttpMethod.GET, "/look/1", new DefaultHttpHeaders(), new byte[0]);
        List<CompletableFuture<Status>> completions = new ArrayList<>();
        List<Peer.Wire> connections = new ArrayList<>();
        for (int i = 0; i < attempts; i++) {
            CompletableFuture<Status> completion = new CompletableFuture<>();
            completions.add(completion);
            int id = i;
            setup.runOnLoop(() -> backends.send(id, request, 20_000_000_000L, () -> true,
                    (attempt, status, report, response) -> completion.complete(
                            response.body().length == Backends.MAX_BODY_BYTES ? status : Status.ERROR)));
            connections.add(backend.accept());
            connections.get(i).read();
        }
        String longBody = "x".repeat(Backends.MAX_BODY_BYTES);
        for (Peer.Wire connection : connections) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + longBody.length() + "\r\n\r\n"
                    + longBody.substring(1));
        }
        long highestBytes = 0;
        for (int i = 0; i < 100; i++) {
            highestBytes = Math.max(highestBytes,
                    setup.loop.submit(responses::usedBytes).get(20, TimeUnit.SECONDS));
            Thread.sleep(2);
        }
        assertTrue(highestBytes > limitBytes / 2, highestBytes + " bytes: hardly anything was read");
        assertTrue(highestBytes <= limitBytes + maxOvershootBytes, highestBytes + " bytes");
        for (Peer.Wire connection : connections) {
            connection.write("x");
        }
        for (CompletableFuture<Status> completion : completions) {
            assertEquals(Status.OK, completion.get(20, TimeUnit.SECONDS));
        }
        assertEquals(0, setup.loop.submit(responses::usedBytes).get(20, TimeUnit.SECONDS));
    }

    /** Holds for a backend that was not in use before, too. */
    @Test
    void backendDrainingForLongerThanTheGraceIsSentNothing() throws Exception {
        Member draining = new Member(server, 0, State.DRAINING, 0, 3, 0, 1);
        setup.clock.freeze();
        setup.runOnLoop(() -> setup.proxy.onListUpdate(new ListUpdate(ListKind.DELTA, 42,
                List.of(new ListedBackend(draining, backend.address())))));
        setup.clock.advance(500_000_001L); // longer than the drain grace
        try (Peer.Wire client = setup.client()) {
            sendRequest(client);
            assertEquals(Status.MOOT, setup.awaitOutcome().status());
            assertEquals("", backend.accept().read());
        }
    }

    @Test
    void invalidLoadReportIsIgnored() {
        assertNull(Backends.parseReport(null));
        assertNull(Backends.parseReport("inflight=x"));
        assertNull(Backends.parseReport("util"));
        assertNull(Backends.parseReport("util=-1"));
        assertNull(Backends.parseReport("util=NaN"));
        assertNull(Backends.parseReport("util=1e300"));
        assertNull(Backends.parseReport("inflight=1e12,util=0.5"));
        assertNull(Backends.parseReport("=,="));
        assertEquals(0.5, Backends.parseReport("new=1, util=0.5").util());
    }
}
