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
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Whatever became of the call before, a change counts as told 6 s after discovery has it and can be reached:
 * by then the next call must have been made, and be answered in its turn. Real connections; the clock of the
 * loop and of the module is the test's.
 */
@Timeout(60)
class ToldInTimeTest {
    /** Of the 6 s, what is left for connecting and for the answer to a call in its turn. */
    private static final long TOLD_MS = 6000, ANSWER_IN_TURN_MS = 800;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LIST = "{\"generation\":42,\"reset\":true,\"instances\":[]}\n";
    private static final int FAILURES = 8;

    /** What discovery does to the last call before it can be reached, or what becomes of the last watch. */
    private enum Last { REFUSED, FALLS_SILENT }

    private final MockTicker ticker = Ticker.newMockTicker();
    private final ManualIoEventLoop loop =
            new ManualIoEventLoop(null, Thread.currentThread(), NioIoHandler.newFactory(), ticker);
    private final Clock clock = new Clock() {
        @Override
        long now() {
            return ticker.nanoTime();
        }
    };
    private final Map<ListKind, Integer> heard = new EnumMap<>(ListKind.class);

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

    /** Runs the loop, on which no time passes, until what the system carries is there. */
    private void await(Callable<Boolean> there) throws Exception {
        long began = System.nanoTime();
        while (!there.call()) {
            loop.run(TimeUnit.MILLISECONDS.toNanos(1));
            assertTrue(System.nanoTime() - began < TimeUnit.SECONDS.toNanos(20), "it never came");
        }
    }

    private int heard(ListKind kind) {
        return heard.getOrDefault(kind, 0);
    }

    /** Notes what the module hears of discovery, and hands it on. */
    private Balancer listening(Balancer module) {
        return (Balancer) java.lang.reflect.Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals("onMembers")) {
                        heard.merge((ListKind) args[1], 1, Integer::sum);
                    }
                    return method.invoke(module, args);
                });
    }

    /** Answers of discovery: the first list, and what each later one changes. */
    private int lists() {
        return heard(ListKind.FULL) + heard(ListKind.DELTA);
    }

    private static Config asking(Peer discovery, Peer backend, long askWithinMs, int balancers, long seed)
            throws ConfigException {
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root).put("seed", Long.toHexString(seed));
        ((ObjectNode) root.path("settings")).put("discovery", "on_request").put("balancers", balancers);
        ((ObjectNode) root.at("/settings/rules")).put("ask_within_ns", askWithinMs * 1_000_000);
        return Config.parse(root, Map.of());
    }

    /** The next call, whole; it is let come on a clock that stands still. */
    private Peer.Wire call(Peer discovery) throws Exception {
        await(() -> !discovery.hasNoPendingConnection());
        Peer.Wire call = discovery.accept();
        await(call::hasInput);
        assertTrue(call.read().startsWith("GET /catalog/members?stream=1"));
        return call;
    }

    private void refuse(Peer.Wire call) throws Exception {
        int failed = heard(ListKind.FAILED);
        call.close();
        await(() -> heard(ListKind.FAILED) > failed);
    }

    private void tell(Peer.Wire call) throws Exception {
        int lists = lists();
        call.write(HEAD + Integer.toHexString(LIST.length()) + "\r\n" + LIST + "\r\n");
        await(() -> lists() > lists);
    }

    /** Lets time pass until the module makes one more call. */
    private void until(int[] calls, int before) {
        while (calls[0] == before) {
            ticker.advanceMillis(5);
            loop.runNow();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "12000, 3, REFUSED", "12000, 100, REFUSED", "60000, 100, REFUSED",
        "12000, 3, FALLS_SILENT", "12000, 100, FALLS_SILENT", "60000, 100, FALLS_SILENT"})
    void whereListsAreAskedForTheNextCallComesInTime(long askWithinMs, int balancers, Last last)
            throws Exception {
        long longest = 0;
        for (long seed = 1; seed <= 20; seed++) {
            try (Peer discovery = new Peer(); Peer backend = new Peer()) {
                int[] calls = new int[1];
                new Proxy(asking(discovery, backend, askWithinMs, balancers, seed), loop,
                        (settings, s, now, out) ->
                                listening(new Policy(settings, s, now, counting(out, calls))),
                        Backends.tcp(loop), true, clock);
                for (int i = 0; i < FAILURES; i++) { // the pauses are at their longest
                    refuse(call(discovery));
                    until(calls, calls[0]);
                }
                Peer.Wire call = call(discovery);
                long reachable = nowMs();
                if (last == Last.REFUSED) {
                    refuse(call);
                } else if (last == Last.FALLS_SILENT) {
                    tell(call);
                }
                until(calls, calls[0]); // none comes before this one is given up
                longest = Math.max(longest, nowMs() - reachable);
                tell(call(discovery));
            }
        }
        assertTrue(longest <= TOLD_MS - ANSWER_IN_TURN_MS, "the next call came after " + longest + " ms");
    }

    private static Balancer.Actions counting(Balancer.Actions out, int[] calls) {
        return (Balancer.Actions) java.lang.reflect.Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                new Class<?>[] {Balancer.Actions.class}, (proxy, method, args) -> {
                    calls[0] += method.getName().equals("subscribe") ? 1 : 0;
                    return method.invoke(out, args);
                });
    }

    private Discovery watching(Peer discovery, Peer backend) throws ConfigException {
        JsonNode root = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
        ((ObjectNode) root.at("/settings/rules")).put("drain_grace_ns", 60_000_000_000L);
        Discovery watching = new Discovery(loop, Config.parse(root, Map.of()), new Discovery.Listener() {
            @Override
            public void onListUpdate(Discovery.ListUpdate listUpdate) { }

            @Override
            public void failed() { }
        });
        watching.watch(true);
        return watching;
    }

    private void pass(long ms) {
        for (long passed = 0; passed < ms; passed += 50) {
            ticker.advanceMillis(50);
            loop.runNow();
        }
    }

    /** A repeat would go to the end of the line, and the first call's turn would be spent on nobody. */
    @Test
    void aCallThatWaitsIsNotRepeatedWhileDiscoveryAcceptsConnections() throws Exception {
        try (Peer discovery = new Peer(); Peer backend = new Peer()) {
            Discovery watching = watching(discovery, backend);
            Peer.Wire hangs = call(discovery);
            for (int i = 0; i < 9; i++) { // 18 s, with a bare connection every 2 s
                pass(2000);
                await(() -> !discovery.hasNoPendingConnection()); // on a clock that stands still
                assertFalse(discovery.accept().hasInput());
                loop.run(TimeUnit.MILLISECONDS.toNanos(1)); // what is accepted has connected: it is seen now
            }
            assertTrue(nowMs() >= 18_000);
            tell(hangs, watching);
            watching.watch(false);
        }
    }

    private void tell(Peer.Wire call, Discovery watching) throws Exception {
        call.write(HEAD + Integer.toHexString(LIST.length()) + "\r\n" + LIST + "\r\n");
        await(() -> watching.version() == 42);
    }

    /** A machine that has vanished: what was open stays open, and the next call must come at its return. */
    @Test
    void aCallThatHangsIsGivenUpOnceDiscoveryAcceptsNoConnections() throws Exception {
        Peer discovery = new Peer();
        try (Peer backend = new Peer()) {
            Discovery watching = watching(discovery, backend);
            Peer.Wire hangs = call(discovery);
            int port = discovery.address().getPort();
            discovery.close();
            while (nowMs() <= TOLD_MS) {
                pass(100);
                loop.run(TimeUnit.MILLISECONDS.toNanos(1)); // a refused connect is seen at the next look
            }
            assertTrue(hangs.awaitClose());
            try (Peer returned = new Peer(port)) {
                long reachable = nowMs();
                pass(Discovery.longestPauseMs(60_000_000_000L));
                Peer.Wire call = call(returned);
                long took = nowMs() - reachable;
                assertTrue(took <= TOLD_MS - ANSWER_IN_TURN_MS, "the next call came after " + took + " ms");
                tell(call, watching);
            }
            watching.watch(false);
        }
    }
}
