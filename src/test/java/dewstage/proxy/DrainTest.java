package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer.Request;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;

/** A drain answers every request that clients have sent or are sending when it begins. */
class DrainTest extends LoopbackTest {
    /** When the listener is closed and the exit was possible before, from the start of the drain. */
    private static final long AFTER_LISTENER_CLOSE_MS = 900;
    private static final long LONGEST_TIMEOUT_MS = 1200;
    private static final long KILL_MS = LONGEST_TIMEOUT_MS + 700;
    /** More than the listener accepts in one iteration of the loop. */
    private static final int BACKLOG_CLIENTS = 40;

    private static String firstHalf(String request) {
        return request.substring(0, request.length() / 2);
    }

    private static String secondHalf(String request) {
        return request.substring(request.length() / 2);
    }

    /** The process exited when the listener was closed and a request was half written. */
    @Test
    void drainWaitsForRequestsThatAreBeingWritten() throws Exception {
        String request = Setup.get();
        CompletableFuture<Void> drained;
        try (Peer.Wire client = setup.client().write(firstHalf(request))) {
            drained = setup.proxy.drain();
            Thread.sleep(AFTER_LISTENER_CLOSE_MS);
            assertFalse(drained.isDone());
            client.write(secondHalf(request));
            Request open = setup.awaitRequest();
            assertTrue(open.leftNs() <= TimeUnit.MILLISECONDS.toNanos(KILL_MS - AFTER_LISTENER_CLOSE_MS),
                    "the request must be answered before the process is killed: " + open.leftNs());
            setup.runOnLoop(() -> setup.actions.fail(open.ticket()));
            assertTrue(client.read().contains("connection: close\r\n"));
            assertTrue(client.awaitCleanClose());
        }
        drained.get(20, TimeUnit.SECONDS);
    }

    @Test
    void requestThatIsNotWrittenToItsEndIsRefusedBeforeTheKill() throws Exception {
        try (Peer.Wire client = setup.client()) {
            client.write("GET /_health HTTP/1.1\r\nHost: api\r\n\r\n").read();
            CompletableFuture<Void> drained = setup.proxy.drain();
            long startedAt = System.nanoTime();
            Thread.sleep(400);
            client.write(firstHalf(Setup.get()));
            assertTrue(client.read().startsWith("HTTP/1.1 503 "));
            drained.get(20, TimeUnit.SECONDS);
            assertTrue(System.nanoTime() - startedAt < TimeUnit.MILLISECONDS.toNanos(KILL_MS));
        }
    }

    /** A response with "Connection: close" discarded the first half of a pipelined request. */
    @Test
    void pipelinedRequestThatIsBeingWrittenIsAnswered() throws Exception {
        String next = Setup.get();
        CompletableFuture<Void> drained;
        try (Peer.Wire client = setup.client().write(Setup.get() + firstHalf(next))) {
            Request first = setup.awaitRequest();
            drained = setup.proxy.drain();
            setup.runOnLoop(() -> setup.actions.fail(first.ticket()));
            assertFalse(client.read().contains("connection: close"));
            client.write(secondHalf(next));
            Request second = setup.awaitRequest();
            setup.runOnLoop(() -> setup.actions.fail(second.ticket()));
            assertTrue(client.read().contains("connection: close\r\n"));
        }
        drained.get(20, TimeUnit.SECONDS);
    }

    /** Closing the listener reset the connections that waited in its backlog, as after a stall. */
    @Test
    void connectionsInTheBacklogOfTheListenerAreServed() throws Exception {
        List<Peer.Wire> clients = new ArrayList<>();
        CountDownLatch connected = new CountDownLatch(1);
        try {
            CompletableFuture<Void> drained = setup.proxy.drain();
            Thread.sleep(300);
            setup.loop.execute(() -> awaitUninterruptibly(connected));
            for (int i = 0; i < BACKLOG_CLIENTS; i++) {
                clients.add(setup.client().write(Setup.get()));
            }
            Thread.sleep(400); // the close of the listener is due meanwhile
            connected.countDown();
            for (int i = 0; i < BACKLOG_CLIENTS; i++) {
                Request request = setup.awaitRequest();
                setup.runOnLoop(() -> setup.actions.fail(request.ticket()));
            }
            for (Peer.Wire client : clients) {
                assertTrue(client.read().startsWith("HTTP/1.1 502 "));
                client.close();
            }
            drained.get(20, TimeUnit.SECONDS);
        } finally {
            for (Peer.Wire client : clients) {
                client.close();
            }
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Clients that stay connected and do not read must not keep the process from its end. */
    @Test
    void drainCompletesWithClientsThatNeitherReadNorClose() throws Exception {
        try (Peer.Wire silent = setup.client(); Peer.Wire partial = setup.client().write("GET /look")) {
            long startedAt = System.nanoTime();
            setup.proxy.drain().get(20, TimeUnit.SECONDS);
            assertTrue(System.nanoTime() - startedAt < TimeUnit.MILLISECONDS.toNanos(KILL_MS));
            assertTrue(silent.awaitCleanClose());
            assertTrue(partial.read().startsWith("HTTP/1.1 503 "));
        } catch (IOException e) {
            throw new AssertionError("a connection was reset", e);
        }
    }

    /** Closing a socket with unread data would reset the connection and could discard the response. */
    @Test
    void closingConnectionIsNotResetByUnreadClientData() throws Exception {
        CompletableFuture<Void> drained;
        try (Peer.Wire idle = setup.client(); Peer.Wire active = setup.client()) {
            idle.write("GET /none HTTP/1.1\r\n\r\n");
            assertTrue(idle.read().startsWith("HTTP/1.1 404 "));
            active.write(Setup.get());
            Request request = setup.awaitRequest();
            drained = setup.proxy.drain();
            setup.runOnLoop(() -> {
                try {
                    active.write(Setup.get()); // on the loop, so that it is unread when the connection closes
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                setup.actions.fail(request.ticket());
            });
            assertTrue(active.read().contains("connection: close\r\n"));
            assertTrue(active.awaitCleanClose() && idle.awaitCleanClose());
            for (int i = 0; i < 3; i++) {
                setup.runOnLoop(() -> { }); // closed sockets are released at the next select
            }
            for (Peer.Wire connection : List.of(active, idle)) {
                // on a reset connection the second write would fail
                connection.write(Setup.get()).write(Setup.get());
            }
            assertTrue(setup.events.stream().noneMatch(event -> event.kind().equals("request")));
        }
        drained.get(20, TimeUnit.SECONDS);
    }

    /** The process exits after the drain, which may reset connections with unread responses. */
    @Test
    void drainLastsUntilItsResponsesAreRead() throws Exception {
        CompletableFuture<Void> drained;
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get());
            Request request = setup.awaitRequest();
            setup.clock.freeze();
            drained = setup.proxy.drain();
            setup.runOnLoop(() -> setup.actions.fail(request.ticket()));
            assertTrue(client.read().startsWith("HTTP/1.1 502 "));
            CompletableFuture<Void> stillOpen = drained;
            assertThrows(TimeoutException.class, () -> stillOpen.get(1, TimeUnit.SECONDS));
        }
        drained.get(20, TimeUnit.SECONDS);
    }

    @Test
    void drainAnswersEarlierAndLaterRequestsAndCompletes() throws Exception {
        try (Peer.Wire idle = setup.client(); Peer.Wire before = setup.client()) {
            before.write(Setup.get());
            Request first = setup.awaitRequest();
            CompletableFuture<Void> drained = setup.proxy.drain();
            try (Peer.Wire after = setup.client()) {
                after.write(Setup.get());
                Request second = setup.awaitRequest();
                setup.runOnLoop(() -> setup.actions.fail(second.ticket()));
                assertTrue(after.read().contains("connection: close\r\n"));
                assertTrue(after.awaitClose());
                assertTrue(idle.awaitClose());
                assertFalse(drained.isDone());
                setup.runOnLoop(() -> setup.actions.fail(first.ticket()));
                assertTrue(before.read().contains("connection: close\r\n"));
            }
            drained.get(20, TimeUnit.SECONDS);
        }
    }
}
