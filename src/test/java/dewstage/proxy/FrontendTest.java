package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.Outcome;
import dewstage.Balancer.Request;
import dewstage.Balancer.Status;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How client requests and connections are handled, up to the drain of the proxy. */
class FrontendTest extends LoopbackTest {
    @ParameterizedTest
    @CsvSource({
        "400, 'rubbish||'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|'",
        "400, 'GET /look HTTP/1.1|Request-Timeout: 1|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: 0|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: NaN|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: soon|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: 1e9|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: 0x1p3|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Timeout: 1|Request-Timeout: 1|'",
        "400, 'GET /look HTTP/1.1|Request-Id: r|Request-Id: s|Request-Timeout: 1|'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Request-Timeout: 1|Idempotency-Key: k|"
            + "Idempotency-Key: k|Content-Length: 0|'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Request-Timeout: 1|Content-Length: 0|'",
        "400, 'POST /pay HTTP/1.1|Request-Id: r|Request-Timeout: 1|Idempotency-Key: k|Content-Length: 0|'",
        "404, 'GET /lookout HTTP/1.1|Request-Id: r|Request-Timeout: 1|'",
        "405, 'POST /look HTTP/1.1|Request-Id: r|Request-Timeout: 1|Content-Length: 0|'",
        "405, 'GET /order HTTP/1.1|Request-Id: r|Request-Timeout: 1|'",
        "413, 'POST /order HTTP/1.1|Request-Id: r|Request-Timeout: 1|Content-Length: 65537|'"})
    void invalidRequestIsRejectedAndNotPassedToTheModule(int status, String text) throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(text.replace("|", "\r\n") + "\r\n");
            String response = client.read();
            assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
            assertTrue(setup.events.stream().noneMatch(event -> event.kind().equals("request")));
        }
    }

    /** A malformed request closes the connection; bytes after it are not parsed as a request. */
    @ParameterizedTest
    @CsvSource({
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: 4|Transfer-Encoding: chunked||0||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: 4|Content-Length: 5||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: -4||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: +4||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: 0x4||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Transfer-Encoding: gzip||'",
        "400, 'POST /order HTTP/1.1|Request-Id: r|Transfer-Encoding: chunked||zz||'",
        "400, 'GET /look HTTP/1.1|no colon here|'", "505, 'GET /look HTTP/7.1|Request-Id: r|'",
        "413, 'POST /order HTTP/1.1|Request-Id: r|Content-Length: 62914560|'",
        "417, 'POST /order HTTP/1.1|Request-Id: r|Expect: miracles|Content-Length: 4|'"})
    void malformedRequestClosesTheConnection(int status, String text) throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(text.replace("|", "\r\n") + "\r\n" + Setup.get());
            String response = client.read();
            assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
            assertTrue(client.awaitClose());
            assertTrue(setup.events.stream().noneMatch(event -> event.kind().equals("request")));
        }
    }

    @Test
    void endlessHeadIsRejected() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write("GET /look HTTP/1.1\r\n" + "X-Pad: ppppppppppppppppppppp\r\n".repeat(400));
            assertTrue(client.read().startsWith("HTTP/1.1 431 "));
        }
    }

    /** The request timeout of the proxy runs in real time; the test waits for it. */
    @ParameterizedTest
    @CsvSource({"''", "'GET /look'", "'GET /look HTTP/1.1|Request-Id: r|'",
        "'POST /order HTTP/1.1|Request-Id: r|Content-Length: 9||half'"})
    void incompleteRequestTimesOut(String partialRequest) throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(partialRequest.replace("|", "\r\n"));
            String response = client.read();
            assertTrue(partialRequest.isEmpty() ? response.isEmpty()
                    : response.startsWith("HTTP/1.1 408 "), response);
        }
    }

    @Test
    void openOrRecentRequestIdIsRejected() throws Exception {
        String text = Setup.get();
        try (Peer.Wire client = setup.client(); Peer.Wire other = setup.client()) {
            client.write(text);
            Request request = setup.awaitRequest();
            other.write(text);
            assertTrue(other.read().startsWith("HTTP/1.1 409 "));
            setup.runOnLoop(() -> setup.actions.refuse(request.ticket(), 0));
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            other.write(text);
            assertTrue(other.read().startsWith("HTTP/1.1 409 "));
            assertTrue(setup.events.stream().noneMatch(event -> event.kind().equals("request")));
        }
    }

    @Test
    void pipelinedRequestsAreHandledInOrder() throws Exception {
        try (Peer.Wire client = setup.client()) {
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < ClientConnection.MAX_PIPELINED_REQUESTS; i++) {
                pipelined.append(Setup.get());
            }
            client.write(pipelined.toString());
            for (int i = 0; i < ClientConnection.MAX_PIPELINED_REQUESTS; i++) {
                Request request = setup.awaitRequest();
                setup.runOnLoop(() -> setup.actions.refuse(request.ticket(), 0));
                assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            }
        }
    }

    @Test
    void tooManyPipelinedRequestsAreRejected() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get().repeat(ClientConnection.MAX_PIPELINED_REQUESTS + 1));
            assertTrue(client.read().startsWith("HTTP/1.1 429 "));
            assertTrue(client.awaitClose());
            assertTrue(setup.events.stream().noneMatch(event -> event.kind().equals("request")));
        }
    }

    /** The Connection header may name any header as hop-by-hop, but the backend needs these. */
    @Test
    void connectionHeaderCannotRemoveHeadersThatTheBackendNeeds() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get("Request-Timeout: 30\r\nX-Odd: 1\r\n"
                    + "Connection: request-id, cookie\r\nCookie: sid=1\r\n"));
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.send(request.ticket(), server, 0));
            String sent = backend.accept().read();
            assertTrue(sent.contains("Request-Id: r") && sent.contains("Cookie: sid=1\r\n"), sent);
            assertFalse(sent.contains("X-Odd") || sent.contains("Connection"), sent);
        }
    }

    @Test
    void moduleReceivesTheAttributesOfTheRequest() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write("POST /order/7 HTTP/1.1\r\nRequest-Id: r\r\nRequest-Timeout: 2.5\r\n"
                    + "Idempotency-Key: k\r\nCookie: a=b; sid=7f3a9c21e0b4d655\r\n"
                    + "Client-Retry: 1\r\nWork-Hint: 300\r\n"
                    + "Content-Length: 3\r\n\r\nabc");
            Request request = setup.awaitRequest();
            assertEquals(1, request.profile());
            assertEquals(RequestMetadata.keyFromCookies("sid=7f3a9c21e0b4d655"), request.key());
            assertNotEquals(0, request.key());
            assertEquals(300_000, request.hintNs());
            assertTrue(request.repeat());
            assertTrue(request.leftNs() > 2_000_000_000L && request.leftNs() < 2_500_000_000L);
            setup.runOnLoop(() -> setup.actions.send(request.ticket(), server, 0));
            String sent = backend.accept().read();
            assertTrue(sent.startsWith("POST /order/7 ") && sent.endsWith("\r\n\r\nabc"), sent);
            assertTrue(sent.contains("Idempotency-Key: k\r\n"), sent);
        }
    }

    @Test
    void disconnectOfTheClientCancelsItsAttempt() throws Exception {
        Peer.Wire client = setup.client();
        client.write(Setup.get());
        Request request = setup.awaitRequest();
        setup.runOnLoop(() -> setup.actions.send(request.ticket(), server, 0));
        Peer.Wire connection = backend.accept();
        connection.read();
        client.close();
        assertEquals(request.ticket(), setup.awaitEvent("withdrawn", Integer.class));
        Outcome outcome = setup.awaitOutcome();
        assertEquals(Status.CANCELLED, outcome.status());
        assertTrue(outcome.over());
        assertTrue(connection.awaitClose());
    }

    @Test
    void backstopAnswersInTimeAndNothingIsSentAfterwards() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get("Request-Timeout: 0.3\r\n"));
            Request request = setup.awaitRequest();
            assertTrue(client.read().startsWith("HTTP/1.1 504 "));
            setup.awaitEvent("withdrawn", Integer.class);
            setup.runOnLoop(() -> setup.actions.send(request.ticket(), server, 0));
            Outcome outcome = setup.awaitOutcome();
            assertEquals(Status.MOOT, outcome.status());
            assertTrue(outcome.over());
            assertTrue(backend.hasNoPendingConnection());
        }
    }

    @Test
    void requestIsAnsweredOnlyOnce() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> {
                setup.actions.refuse(request.ticket(), 0);
                setup.actions.fail(request.ticket());
            });
            String refused = client.read();
            assertTrue(refused.startsWith("HTTP/1.1 503 ") && !refused.contains("Retry-After"), refused);
            client.write("GET /none HTTP/1.1\r\n\r\n");
            assertTrue(client.read().startsWith("HTTP/1.1 404 "));
        }
    }

    @Test
    void moduleIsNotCalledFromWithinItsOwnAction() throws Exception {
        setup.onRequest = () -> setup.actions.send(999, server, 0); // an unknown ticket: moot immediately
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            setup.awaitRequest();
            assertEquals(Status.MOOT, setup.awaitOutcome().status());
        }
    }

    @Test
    void exceptionInTheModuleFailsOnlyOneRequest() throws Exception {
        setup.onRequest = () -> {
            throw new IllegalStateException("thrown by the module");
        };
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            setup.onRequest = () -> { };
            client.write(Setup.get());
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.refuse(request.ticket(), 0));
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
        }
    }

    /** An Error in the module left the delivery of events switched off: no request was answered any more. */
    @Test
    void errorInTheModuleFailsOnlyOneRequest() throws Exception {
        setup.onRequest = () -> {
            setup.onRequest = () -> { };
            throw new OutOfMemoryError("thrown by the module");
        };
        try (Peer.Wire first = setup.client(); Peer.Wire second = setup.client()) {
            setup.runOnLoop(() -> { // so that both requests are delivered in one batch
                try {
                    first.write(Setup.get());
                    second.write(Setup.get());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.refuse(request.ticket(), 0));
            List<String> statuses = Stream.of(first.read(), second.read())
                    .map(response -> response.substring(0, "HTTP/1.1 200".length())).sorted().toList();
            assertEquals(List.of("HTTP/1.1 502", "HTTP/1.1 503"), statuses);
        }
    }

    @Test
    void responsesOnOneConnectionAreInRequestOrder() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get() + "GET /none HTTP/1.1\r\n\r\n");
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.fail(request.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            assertTrue(client.read().startsWith("HTTP/1.1 404 "));
        }
    }

    @Test
    void burstOfConnectionsEvictsIdleOnesWithinTheLimit() throws Exception {
        setup.close();
        setup = new Setup().start(Config.parse(
                Setup.json(discovery.hostPort(), backend.hostPort(), 9, 5000),
                        Map.of())); // four of the sockets are for clients
        CountDownLatch connected = new CountDownLatch(1);
        setup.loop.execute(() -> {
            try {
                connected.await(20, TimeUnit.SECONDS); // so that all are accepted in one batch
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<Peer.Wire> burst = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            burst.add(setup.client());
        }
        connected.countDown();
        for (Peer.Wire connection : burst.subList(0, 8)) {
            assertTrue(connection.awaitClose());
        }
        for (Peer.Wire connection : burst.subList(8, 12)) {
            connection.write("GET /none HTTP/1.1\r\n\r\n");
            assertTrue(connection.read().startsWith("HTTP/1.1 404 "));
            connection.close();
        }
    }

    /** A limit on the parts of a body must not count the reads of a body that is written slowly. */
    @Test
    void bodyThatIsWrittenInSingleBytesIsAccepted() throws Exception {
        int bytes = 1500;
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get("Request-Timeout: 30\r\nContent-Length: " + bytes + "\r\n")
                    .replace("GET /look", "POST /pay"));
            for (int i = 0; i < bytes; i++) {
                client.write("x");
                setup.runOnLoop(() -> { }); // each byte is read by itself
            }
            setup.awaitRequest();
        }
    }

    private static String chunkedRequest(int chunks, int chunkBytes) {
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
        return Setup.get("Request-Timeout: 30\r\nTransfer-Encoding: chunked\r\n")
                .replace("GET /look", "POST /pay") + chunk.repeat(chunks) + "0\r\n\r\n";
    }

    /** A body of tens of thousands of chunks of one byte kept the event loop busy for tens of ms. */
    @ParameterizedTest
    @CsvSource({"1000, 1, true", "2000, 16, true", "1100, 1, false", "4000, 6, false"})
    void bodyOfVeryManySmallChunksIsRejected(int chunks, int chunkBytes, boolean isAccepted)
            throws Exception {
        try (Peer.Wire client = setup.client().write(chunkedRequest(chunks, chunkBytes))) {
            if (isAccepted) {
                setup.awaitRequest();
            } else {
                assertTrue(client.read().startsWith("HTTP/1.1 413 "));
            }
        }
    }

    /**
     * Two requests arrive while the event loop is stalled, one of them on a connection that is not accepted
     * yet. If their timeouts ran from the read, they would be answered too late by the length of the stall.
     */
    @Test
    void timeoutOfARequestRunsDuringAStall() throws Exception {
        long stallNs = 800_000_000L;
        try (Peer.Wire accepted = setup.client()) {
            accepted.write("GET /_health HTTP/1.1\r\nHost: api\r\n\r\n");
            accepted.read(); // the connection is accepted, and the heartbeat is running
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            setup.loop.execute(() -> {
                stalled.countDown();
                try {
                    resume.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            stalled.await();
            try (Peer.Wire unaccepted = setup.client()) {
                accepted.write(Setup.get());
                unaccepted.write(Setup.get());
                setup.clock.advance(stallNs);
                resume.countDown();
                for (int i = 0; i < 2; i++) {
                    long remainingNs = setup.awaitRequest().leftNs();
                    assertTrue(remainingNs > 0 && remainingNs <= TimeUnit.SECONDS.toNanos(30) - stallNs,
                            remainingNs + " ns left");
                }
            }
        }
    }

    /** Waits for a heartbeat of the loop at the current time of the test's clock. */
    private void awaitHeartbeat() throws Exception {
        setup.loop.schedule(() -> { }, 2 * LoopLag.HEARTBEAT_INTERVAL_NS, TimeUnit.NANOSECONDS)
                .get(20, TimeUnit.SECONDS);
    }

    /** A request that waits for a response until its last moment is lost if another stall begins before. */
    @ParameterizedTest
    @CsvSource({"0.8, 30, 0.31", "0.8, 0.4, 0.1", "0.4, 30, 0.01"})
    void afterALongStallTheModuleDeadlineIsEarlier(double stallS, double timeoutS, double marginS)
            throws Exception {
        try (Peer.Wire client = setup.client()) {
            setup.clock.freeze();
            awaitHeartbeat();
            setup.clock.advance((long) (stallS * 1e9));
            awaitHeartbeat();
            setup.clock.advance(LoopLag.HEARTBEAT_INTERVAL_NS); // later requests did not arrive in the stall

            client.write(Setup.get("Request-Timeout: " + timeoutS + "\r\n"));

            double leftS = setup.awaitRequest().leftNs() / 1e9;
            assertEquals(timeoutS - marginS, leftS, 0.01);
        }
    }
}
