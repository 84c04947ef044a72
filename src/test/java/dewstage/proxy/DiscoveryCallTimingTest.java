package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dewstage.Balancer;
import dewstage.Balancer.ListKind;
import dewstage.Policy;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A change counts as delivered 6 s after discovery has it and can be reached, whatever happened to the
 * previous call: by then the proxy must have called again and been answered in turn. Uses real connections
 * and a manual clock for the loop and the module.
 */
@Timeout(60)
class DiscoveryCallTimingTest {
    private static final long DELIVERY_LIMIT_MS = 6000;
    /** The part of the limit reserved for connecting and for the answer to a call in its turn. */
    private static final long ANSWER_MS = 800;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LIST = "{\"generation\":42,\"reset\":true,\"instances\":[]}\n";
    private static final int FAILURES = 8;
    /** A call that is refused later than this counts as queued. */
    private static final long MIN_QUEUED_NS = TimeUnit.MILLISECONDS.toNanos(500);

    /** How the last call or watch before discovery becomes reachable ends. */
    private enum LastCall { REFUSED, STALLED }

    private final MockTicker ticker = Ticker.newMockTicker();
    private final ManualIoEventLoop loop =
            new ManualIoEventLoop(null, Thread.currentThread(), NioIoHandler.newFactory(), ticker);
    private final Clock clock = new Clock() {
        @Override
        long now() {
            return ticker.nanoTime();
        }
    };
    private final Map<ListKind, Integer> listEvents = new EnumMap<>(ListKind.class);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        while (!loop.isTerminated()) {
            ticker.advanceMillis(1);
            loop.runNow();
        }
    }

    private long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(ticker.nanoTime());
    }

    /** Runs the loop with the clock stopped until the condition holds, while the system delivers data. */
    private void await(Callable<Boolean> condition) throws Exception {
        long beganNs = System.nanoTime();
        while (!condition.call()) {
            loop.run(TimeUnit.MILLISECONDS.toNanos(1));
            assertTrue(System.nanoTime() - beganNs < TimeUnit.SECONDS.toNanos(20),
                    "the condition did not become true");
        }
    }

    private int listEvents(ListKind kind) {
        return listEvents.getOrDefault(kind, 0);
    }

    /** Counts the list events that the module receives. */
    private Balancer recording(Balancer module) {
        return (Balancer) java.lang.reflect.Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals("onMembers")) {
                        listEvents.merge((ListKind) args[1], 1, Integer::sum);
                    }
                    return method.invoke(module, args);
                });
    }

    /** The number of lists received from discovery. */
    private int listCount() {
        return listEvents(ListKind.FULL) + listEvents(ListKind.DELTA);
    }

    private static Config onRequestConfig(Peer discovery, Peer backend, long askWithinMs, int balancers,
            long seed) throws ConfigException {
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root).put("seed", Long.toHexString(seed));
        ((ObjectNode) root.path("settings")).put("balancers", balancers);
        Setup.requestLists(root, askWithinMs);
        return Config.parse(root, Map.of());
    }

    /** Awaits the next call and reads its request, with the clock stopped. */
    private Peer.Wire acceptCall(Peer discovery) throws Exception {
        await(() -> !discovery.hasNoPendingConnection());
        Peer.Wire call = discovery.accept();
        await(call::hasInput);
        assertTrue(call.read().startsWith("GET /catalog/members?stream=1"));
        return call;
    }

    private void refuse(Peer.Wire call) throws Exception {
        int failed = listEvents(ListKind.FAILED);
        call.close();
        await(() -> listEvents(ListKind.FAILED) > failed);
    }

    private void answer(Peer.Wire call) throws Exception {
        int lists = listCount();
        call.write(HEAD + Integer.toHexString(LIST.length()) + "\r\n" + LIST + "\r\n");
        await(() -> listCount() > lists);
    }

    /** Advances the clock until the module makes another call. */
    private void advanceUntilCall(int[] calls, int previousCalls) {
        while (calls[0] == previousCalls) {
            ticker.advanceMillis(5);
            loop.runNow();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "12000, 3, REFUSED", "12000, 100, REFUSED", "60000, 100, REFUSED",
        "12000, 3, STALLED", "12000, 100, STALLED", "60000, 100, STALLED"})
    void withListsOnRequestTheNextCallIsMadeInTime(long askWithinMs, int balancers, LastCall lastCall)
            throws Exception {
        long longestMs = 0;
        for (long seed = 1; seed <= 20; seed++) {
            try (Peer discovery = new Peer(); Peer backend = new Peer()) {
                int[] calls = new int[1];
                new Proxy(onRequestConfig(discovery, backend, askWithinMs, balancers, seed), loop,
                        (settings, s, now, actions) ->
                                recording(new Policy(settings, s, now, countingCalls(actions, calls))),
                        Backends.tcp(loop), true, clock);
                for (int i = 0; i < FAILURES; i++) { // until the pauses are at their maximum
                    refuse(acceptCall(discovery));
                    advanceUntilCall(calls, calls[0]);
                }
                Peer.Wire call = acceptCall(discovery);
                long reachableMs = nowMs();
                if (lastCall == LastCall.REFUSED) {
                    refuse(call);
                } else if (lastCall == LastCall.STALLED) {
                    answer(call);
                }
                advanceUntilCall(calls, calls[0]); // no other call is made before this one is given up
                longestMs = Math.max(longestMs, nowMs() - reachableMs);
                answer(acceptCall(discovery));
            }
        }
        assertTrue(longestMs <= DELIVERY_LIMIT_MS - ANSWER_MS,
                "the next call came after " + longestMs + " ms");
    }

    /** Guards against the age of a call being taken from another clock than that of the loop. */
    @Test
    void aCallThatIsRefusedAtOnceIsNotTakenForAQueuedOneOnASlowMachine() throws Exception {
        try (Peer discovery = new Peer(); Peer backend = new Peer()) {
            Discovery discoveryClient = startWatching(discovery, backend);
            Peer.Wire call = acceptCall(discovery);
            Thread.sleep(TimeUnit.NANOSECONDS.toMillis(MIN_QUEUED_NS) + 200);
            call.halfClose();
            CompletableFuture<Boolean> ended = CompletableFuture.supplyAsync(call::awaitClose);
            await(ended::isDone); // with the clock stopped
            assertTrue(ended.get());
            advance(Discovery.maxRetryPauseMs(60_000_000_000L));
            acceptCall(discovery);
            discoveryClient.setWatching(false);
        }
    }

    private static Balancer.Actions countingCalls(Balancer.Actions actions, int[] calls) {
        return (Balancer.Actions) java.lang.reflect.Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                new Class<?>[] {Balancer.Actions.class}, (proxy, method, args) -> {
                    calls[0] += method.getName().equals("subscribe") ? 1 : 0;
                    return method.invoke(actions, args);
                });
    }

    private Discovery startWatching(Peer discovery, Peer backend) throws ConfigException {
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root.at("/settings/rules")).put("drain_grace_ns", 60_000_000_000L);
        Discovery client = new Discovery(loop, clock, Config.parse(root, Map.of()), new Discovery.Listener() {
            @Override
            public void onListUpdate(ListUpdate listUpdate) { }

            @Override
            public void onWatchFailed() { }
        });
        client.setWatching(true);
        return client;
    }

    private void advance(long ms) {
        for (long passed = 0; passed < ms; passed += 50) {
            ticker.advanceMillis(50);
            loop.runNow();
        }
    }

    /** A second call would go to the end of the queue, and discovery would answer the first one in vain. */
    @Test
    void aCallThatWaitsIsNotRepeatedWhileDiscoveryAcceptsConnections() throws Exception {
        try (Peer discovery = new Peer(); Peer backend = new Peer()) {
            Discovery discoveryClient = startWatching(discovery, backend);
            Peer.Wire hanging = acceptCall(discovery);
            for (int i = 0; i < 9; i++) { // 18 s, with a liveness check every 2 s
                advance(2000);
                await(() -> !discovery.hasNoPendingConnection()); // with the clock stopped
                assertFalse(discovery.accept().hasInput());
                loop.run(TimeUnit.MILLISECONDS.toNanos(1)); // processes the completed connect
            }
            assertTrue(nowMs() >= 18_000);
            answer(hanging, discoveryClient);
            discoveryClient.setWatching(false);
        }
    }

    private void answer(Peer.Wire call, Discovery discoveryClient) throws Exception {
        call.write(HEAD + Integer.toHexString(LIST.length()) + "\r\n" + LIST + "\r\n");
        await(() -> discoveryClient.version() == 42);
    }

    /** If the host vanishes, connections stay open, and the next call must be made once it is back. */
    @Test
    void aCallThatHangsIsGivenUpOnceDiscoveryAcceptsNoConnections() throws Exception {
        Peer discovery = new Peer();
        try (Peer backend = new Peer()) {
            Discovery discoveryClient = startWatching(discovery, backend);
            Peer.Wire hanging = acceptCall(discovery);
            int port = discovery.address().getPort();
            discovery.close();
            while (nowMs() <= DELIVERY_LIMIT_MS) {
                advance(100);
                loop.run(TimeUnit.MILLISECONDS.toNanos(1)); // processes the refused connect
            }
            assertTrue(hanging.awaitClose());
            try (Peer returned = new Peer(port)) {
                long reachableMs = nowMs();
                advance(Discovery.maxRetryPauseMs(60_000_000_000L));
                Peer.Wire call = acceptCall(returned);
                long waitedMs = nowMs() - reachableMs;
                assertTrue(waitedMs <= DELIVERY_LIMIT_MS - ANSWER_MS,
                        "the next call came after " + waitedMs + " ms");
                answer(call, discoveryClient);
            }
            discoveryClient.setWatching(false);
        }
    }
}
