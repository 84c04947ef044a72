package dewstage.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dewstage.Balancer;
import dewstage.Balancer.Member;
import dewstage.Balancer.Outcome;
import dewstage.Balancer.Request;
import dewstage.ListFreshness;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A proxy whose decision module is the test, which receives each event and performs the actions itself. */
final class Setup implements AutoCloseable {
    private static final String CONFIG_FORMAT = """
        {"listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
         "known":{"generation":41,"reset":true,"instances":[
           {"instanceId":"s-1","hostPort":"%s","zone":"a","machineType":"m1","cell":3,
            "lifecycle":"in_service","weight":1.0,"startedAtMs":0}]},
         "settings":{"me":0,"balancers":3,"zone":0,"step_ns":5000000,"zones":["a","b"],"skus":["m1","m2"],
          "tenants":[],"discovery":"pushed",
          "profiles":[
           {"name":"look","effect":"idempotent","promise_ns":250000000,"give_up_ns":600000000,"worth":5.0},
           {"name":"order","effect":"deduplicated","dedup_scope":"zone","window_ns":1200000000,
            "promise_ns":400000000,"give_up_ns":1200000000,"worth":10.0},
           {"name":"pay","effect":"at_most_once","promise_ns":400000000,"give_up_ns":1200000000,"worth":1}],
          "limits":{"cancelling":true,"max_attempts":5,"retry_after":true,"max_retry_after_ns":1200000000,
           "connect_timeout_ns":%d,"keepalive_ns":15000000000},
          "rules":{"start_capacity":0.31,"cold_ns":8800000000,"tip_multiple":3.0,"fall_ns":1500000000,
           "drain_grace_ns":500000000}}}
        """;

    private static final AtomicInteger LAST_REQUEST_ID = new AtomicInteger();

    /** A clock that a test can freeze and advance. */
    static final class ManualClock extends Clock {
        private volatile long frozenAt;

        @Override
        long now() {
            return frozenAt == 0 ? super.now() : frozenAt;
        }

        void freeze() {
            frozenAt = now();
        }

        void advance(long ns) {
            frozenAt = now() + ns;
        }
    }

    /** An event that the module received. */
    record ModuleEvent(String kind, Object event) { }

    final EventLoop loop = Proxy.newLoop();
    final BlockingQueue<ModuleEvent> events = new LinkedBlockingQueue<>();
    final ManualClock clock = new ManualClock();
    Proxy proxy;
    Balancer.Actions actions;
    /** Runs in the module's onRequest, before the event is passed to the test. */
    volatile Runnable onRequest = () -> { };
    private boolean inAction;

    static JsonNode json(String discovery, String backend, int sockets, long connectTimeoutMs) {
        try {
            return new ObjectMapper().readTree(CONFIG_FORMAT.formatted(discovery, sockets, backend,
                    connectTimeoutMs * 1_000_000));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Makes the settings of a configuration those of lists that are requested by calls. */
    static void requestLists(JsonNode root, long askWithinMs) {
        ((ObjectNode) root.path("settings")).put("discovery", "on_request");
        ((ObjectNode) root.at("/settings/rules")).put("ask_within_ns", askWithinMs * 1_000_000);
    }

    static Config config(Peer discovery, Peer backend) throws ConfigException {
        return Config.parse(json(discovery.hostPort(), backend.hostPort(), 1024, 5000), Map.of());
    }

    Setup start(Config config) throws IOException {
        return start(config, HeapShares.ofThisProcess(config.sockets()));
    }

    Setup start(Config config, HeapShares heapShares) throws IOException {
        proxy = Proxy.start(config, loop, (settings, seed, now, moduleActions) -> {
            actions = moduleActions;
            return new TestModule();
        }, clock, confirmedFreshness(), heapShares);
        return this;
    }

    /** Treats the configured list as confirmed for an hour, so that discovery need not respond. */
    private static ListFreshness confirmedFreshness() {
        ListFreshness freshness = new ListFreshness(TimeUnit.HOURS.toNanos(1), 0);
        freshness.onConfirmed(System.nanoTime());
        return freshness;
    }

    Peer.Wire client() throws IOException {
        return Peer.Wire.to(proxy.address());
    }

    /** Runs an action on the event loop, as the module would. */
    void runOnLoop(Runnable action) throws Exception {
        loop.submit(action).get(20, TimeUnit.SECONDS);
    }

    private ModuleEvent pollEvent() throws InterruptedException {
        return events.poll(20, TimeUnit.SECONDS);
    }

    /** Waits for the next event of a kind, discarding others. */
    <T> T awaitEvent(String kind, Class<T> type) throws InterruptedException {
        for (ModuleEvent moduleEvent = pollEvent(); moduleEvent != null; moduleEvent = pollEvent()) {
            if (moduleEvent.kind().equals(kind)) {
                return type.cast(moduleEvent.event());
            }
        }
        throw new AssertionError("the module received no event of kind " + kind);
    }

    Request awaitRequest() throws InterruptedException {
        return awaitEvent("request", Request.class);
    }

    Outcome awaitOutcome() throws InterruptedException {
        return awaitEvent("outcome", Outcome.class);
    }

    /** Waits for the member list and returns the id of its only server. */
    int backendId() throws InterruptedException {
        return ((Member) awaitEvent("members", List.class).get(0)).id();
    }

    /** Returns a request with a unique id. */
    static String get(String headers) {
        return "GET /look/1?x=2 HTTP/1.1\r\nHost: api\r\nRequest-Id: r" + LAST_REQUEST_ID.incrementAndGet()
                + "\r\n" + headers + "\r\n";
    }

    static String get() {
        return get("Request-Timeout: 30\r\n");
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private final class TestModule implements Balancer {
        private void addEvent(String eventKind, Object event) {
            if (inAction) {
                throw new AssertionError("the module was called from within its own action");
            }
            events.add(new ModuleEvent(eventKind, event));
        }

        @Override
        public void onMembers(long now, ListKind kind, long version, List<Member> members) {
            addEvent("members", members);
            addEvent("kind", kind);
        }

        @Override
        public void onRequest(long now, Request request) {
            inAction = true;
            onRequest.run();
            inAction = false;
            addEvent("request", request);
        }

        @Override
        public void onStreamBegun(long now, int ticket, int attempt, int server, long elapsedNs) { }

        @Override
        public void onOutcome(long now, Outcome outcome) {
            addEvent("outcome", outcome);
        }

        @Override
        public void onWithdrawn(long now, int ticket) {
            addEvent("withdrawn", ticket);
        }

        @Override
        public void onTimer(long now, long token) {
            addEvent("timer", token);
        }
    }
}
