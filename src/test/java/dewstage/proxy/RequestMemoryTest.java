package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.Request;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is refused when the requests of all clients use more memory than their share of the heap. */
class RequestMemoryTest extends LoopbackTest {
    private static final int LONG_BODY_BYTES = 60_000;
    /** Two long requests fit, and a third one does not. */
    private static final long REQUEST_BYTES = 150_000;
    /** More than fit beside two long requests. */
    private static final int MAX_SHORT_REQUESTS = 40;
    private static final int LINGERING_CLIENTS = 50;
    private static final String LONG_BODY = "x".repeat(LONG_BODY_BYTES);

    @BeforeEach
    void startWithLittleMemory() throws Exception {
        setup.close();
        setup = new Setup().start(Setup.config(discovery, backend),
                new HeapShares(1 << 20, REQUEST_BYTES, REQUEST_BYTES, REQUEST_BYTES));
        server = setup.backendId();
    }

    private static String longRequest() {
        return Setup.get("Request-Timeout: 30\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n")
                .replace("GET /look", "POST /pay") + LONG_BODY;
    }

    /** All of a long request but the end. */
    private static String longRequestWithoutEnd() {
        String request = longRequest();
        return request.substring(0, request.length() - 1);
    }

    private void failRequest(Peer.Wire client, Request request) throws Exception {
        setup.runOnLoop(() -> setup.actions.fail(request.ticket()));
        assertTrue(client.read().startsWith("HTTP/1.1 502 "));
    }

    @Test
    void partialRequestThatIsSilentIsRefusedRatherThanOneThatProgresses() throws Exception {
        try (Peer.Wire slow = setup.client(); Peer.Wire silent = setup.client();
                Peer.Wire next = setup.client()) {
            String slowRequest = longRequest();
            slow.write(slowRequest.substring(0, LONG_BODY_BYTES / 2));
            silent.write(longRequestWithoutEnd());
            Thread.sleep(50); // until both have been read
            slow.write(slowRequest.substring(LONG_BODY_BYTES / 2, LONG_BODY_BYTES));
            Thread.sleep(50);
            next.write(longRequest());
            assertTrue(silent.read().startsWith("HTTP/1.1 503 "));
            assertTrue(silent.awaitCleanClose(), "the response must not be lost by a reset");
            setup.awaitRequest();
            slow.write(slowRequest.substring(LONG_BODY_BYTES));
            setup.awaitRequest();
        }
    }

    @Test
    void completeRequestBeyondTheLimitIsRefusedAndItsConnectionStaysInUse() throws Exception {
        List<Peer.Wire> clients = new ArrayList<>();
        try (Peer.Wire first = setup.client(); Peer.Wire second = setup.client()) {
            first.write(longRequest());
            Request held = setup.awaitRequest();
            second.write(longRequest());
            setup.awaitRequest();
            while (!clients.stream().anyMatch(RequestMemoryTest::hasInput)) {
                assertTrue(clients.size() < MAX_SHORT_REQUESTS, "no request was refused");
                clients.add(setup.client().write(Setup.get()));
                Thread.sleep(10); // most of the requests are open and get no response
            }
            Peer.Wire refused = clients.get(clients.size() - 1);
            assertTrue(refused.read().startsWith("HTTP/1.1 503 "));
            failRequest(first, held);
            setup.events.clear();
            refused.write(Setup.get());
            setup.awaitRequest();
        } finally {
            for (Peer.Wire client : clients) {
                client.close();
            }
        }
    }

    private static boolean hasInput(Peer.Wire client) {
        try {
            return client.hasInput();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void queuedRequestsCountAndOnlyTheOneBeyondTheLimitIsRefused() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write(longRequest() + longRequest() + longRequest());
            Request first = setup.awaitRequest();
            Thread.sleep(200); // until all of them have been read
            failRequest(client, first);
            failRequest(client, setup.awaitRequest());
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            assertTrue(client.awaitCleanClose());
        }
    }

    /** Short header lines need many times their length in memory, and an endless line is kept as it came. */
    @ParameterizedTest
    @CsvSource({"12, 'a:|', 1200", "60, 'long: ', 1"})
    void headsThatDoNotEndCountTowardsTheLimit(int clients, String text, int repetitions) throws Exception {
        List<Peer.Wire> stopped = new ArrayList<>();
        try {
            String padding = text.endsWith("|") ? "" : "x".repeat(3900);
            String head = "GET /look HTTP/1.1\r\n" + text.replace("|", "\r\n").repeat(repetitions) + padding;
            for (int i = 0; i < clients; i++) {
                stopped.add(setup.client().write(head));
            }
            assertTrue(stopped.get(0).read().startsWith("HTTP/1.1 503 "));
        } finally {
            for (Peer.Wire client : stopped) {
                client.close();
            }
        }
    }

    /** The decoder kept the head of a request that was refused, until the connection was closed. */
    @Test
    void refusedPartialRequestKeepsNoMemoryUntilItsClientCloses() throws Exception {
        List<Peer.Wire> stopped = new ArrayList<>();
        try {
            String head = "GET /look HTTP/1.1\r\n" + "a:\r\n".repeat(1500);
            for (int i = 0; i < LINGERING_CLIENTS; i++) {
                stopped.add(setup.client().write(head));
                assertTrue(stopped.get(i).read().startsWith("HTTP/1.1 503 "));
            }
            try (Peer.Wire first = setup.client(); Peer.Wire second = setup.client()) {
                first.write(longRequest());
                setup.awaitRequest();
                second.write(longRequest());
                setup.awaitRequest();
            }
        } finally {
            for (Peer.Wire client : stopped) {
                client.close();
            }
        }
    }

    /** Memory that is not released would be missing for good: every later request would be refused. */
    @Test
    void memoryIsReleasedHoweverARequestEnds() throws Exception {
        for (int round = 0; round < 10; round++) {
            try (Peer.Wire leaving = setup.client(); Peer.Wire waiting = setup.client()) {
                leaving.write(longRequestWithoutEnd());
                waiting.write(longRequest());
                setup.awaitRequest();
                waiting.reset();
                setup.awaitEvent("withdrawn", Integer.class);
            }
            try (Peer.Wire malformed = setup.client(); Peer.Wire chunked = setup.client()) {
                malformed.write(longRequest() + "rubbish\r\n\r\n");
                failRequest(malformed, setup.awaitRequest());
                assertTrue(malformed.read().startsWith("HTTP/1.1 400 "));
                String chunk = Integer.toHexString(LONG_BODY_BYTES) + "\r\n" + LONG_BODY + "\r\n";
                chunked.write(longRequest().replace(LONG_BODY, chunk + "0\r\n\r\n")
                        .replace("Content-Length: " + LONG_BODY_BYTES, "Transfer-Encoding: chunked"));
                failRequest(chunked, setup.awaitRequest());
            }
        }
        try (Peer.Wire first = setup.client(); Peer.Wire second = setup.client()) {
            first.write(longRequest());
            setup.awaitRequest();
            second.write(longRequest());
            setup.awaitRequest();
            assertEquals(0, setup.events.stream().filter(event -> event.kind().equals("request")).count());
        }
    }

    /** Of several requests without a body in one read only the last was refused, however much they used. */
    @Test
    void eachRequestOfOneReadCountsTowardsTheLimit() throws Exception {
        String request = Setup.get("Request-Timeout: 30\r\n" + "a:\r\n".repeat(600));
        try (Peer.Wire client = setup.client()) {
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 6; i++) {
                pipelined.append(request.replace("Request-Id: r", "Request-Id: r" + i + "-"));
            }
            setup.runOnLoop(() -> writeUnchecked(client, pipelined.toString()));
            failRequest(client, setup.awaitRequest());
            int refused = 0;
            for (int i = 1; i < 6; i++) {
                String answer = awaitAnswer(client);
                refused += answer.startsWith("HTTP/1.1 503 ") ? 1 : 0;
            }
            assertTrue(refused > 1, refused + " refused");
        }
    }

    private static void writeUnchecked(Peer.Wire client, String text) {
        try {
            client.write(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Fails the request if it has been accepted, and returns its answer. */
    private String awaitAnswer(Peer.Wire client) throws Exception {
        while (!client.hasInput()) {
            Setup.ModuleEvent event = setup.events.poll();
            if (event != null && event.kind().equals("request")) {
                int ticket = ((Request) event.event()).ticket();
                setup.runOnLoop(() -> setup.actions.fail(ticket));
            }
            Thread.sleep(1);
        }
        return client.read();
    }

    /** An id ran twice: refused requests displaced it from the ids that are remembered. */
    @Test
    void idOfAClientThatLeftIsRememberedWhileManyRequestsAreRefused() throws Exception {
        setup.close();
        setup = new Setup().start(Setup.config(discovery, backend),
                new HeapShares(1 << 20, REQUEST_BYTES, REQUEST_BYTES, 0));
        server = setup.backendId();
        String repeated = Setup.get();
        try (Peer.Wire leaving = setup.client().write(repeated)) {
            Request request = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.send(request.ticket(), server, 0));
            backend.accept().read();
            assertFalse(leaving.hasInput());
        }
        setup.awaitEvent("withdrawn", Integer.class);
        try (Peer.Wire other = setup.client(); Peer.Wire again = setup.client()) {
            for (int i = 0; i < 10; i++) {
                failRequest(other.write(Setup.get()), setup.awaitRequest());
            }
            assertTrue(again.write(repeated).read().startsWith("HTTP/1.1 409 "));
        }
    }
}
