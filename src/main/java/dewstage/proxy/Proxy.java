package dewstage.proxy;

import com.fasterxml.jackson.core.JsonParser;
import dewstage.Balancer;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Outcome;
import dewstage.Balancer.Profile;
import dewstage.Balancer.Report;
import dewstage.Balancer.Request;
import dewstage.Balancer.Status;
import dewstage.ListFreshness;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One proxy: the decision module, the open requests and the network I/O, all on one event loop. Events are
 * passed to the module and its actions are performed as I/O; the module decides on every attempt.
 */
public final class Proxy implements Balancer.Actions, Frontend.RequestHandler, Discovery.Listener {
    /**
     * The module's deadline is this much earlier than the client's, which runs from the client's send to its
     * receipt of the response. If the module misses its deadline by half of the margin, the backstop timer
     * responds. After a recent stall of the event loop the margin is extended by the stall's excess over
     * LOST_AFTER_NS, up to a fraction of the timeout: a request that waits until the last moment would be
     * lost in the next stall. The price is the rare backend response that arrives within the extended margin.
     */
    private static final long MARGIN_NS = 10_000_000L;
    /** A response later than this is accounted as lost; one that is less late merely has no worth. */
    private static final long LOST_AFTER_NS = 500_000_000L;
    private static final double MAX_MARGIN_FRACTION = 0.25;
    /** Time to wait for discovery's first list before reporting ready without it. */
    static final long DISCOVERY_WAIT_MS = 3000;

    /**
     * Number of requests in the rehearsal. With fewer than about 100, up to a fifth of the requests in the
     * first 5 s are late or refused. Each one prolongs the start, during which the other proxies carry this
     * one's load; if the next proxy is restarted meanwhile, no proxy is left for it.
     */
    private static final int REHEARSAL_REQUESTS = 150;
    static final long MAX_REHEARSAL_MS = 2000;

    /** Whether each attempt is logged. */
    private static final boolean LOG_ATTEMPTS = System.getenv("NODE_LOG_ATTEMPTS") != null;

    private interface Event {
        void dispatch(long now);
    }

    /** An accepted request, tracked until it is answered and its last attempt has completed. */
    private static final class Exchange {
        final int ticket;
        final ClientConnection client;
        /** Null once the exchange is completed, so that its body can be collected. */
        ClientRequest request;
        /** When the module must have completed the request. */
        final long moduleDeadline;
        /** When the client's timeout expires. */
        final long clientDeadline;
        final List<Backends.Attempt> attempts = new ArrayList<>(2);
        int attemptsInFlight;
        /** A completed attempt may have been executed by its backend. */
        boolean mayHaveRun;
        boolean completed;
        ScheduledFuture<?> backstopTimer;

        Exchange(int ticket, ClientConnection client, ClientRequest request, long moduleDeadline,
                long clientDeadline) {
            this.ticket = ticket;
            this.client = client;
            this.request = request;
            this.moduleDeadline = moduleDeadline;
            this.clientDeadline = clientDeadline;
        }
    }

    private final Config config;
    private final EventLoop loop;
    private final Clock clock;
    private final LoopLag lag = new LoopLag();
    private final Frontend frontend;
    private final Backends backends;
    private final Discovery discovery;
    private final ListFreshness freshness;
    private final Balancer balancer;
    private final Map<Integer, Exchange> exchanges = new HashMap<>();
    private final Map<ClientConnection, Exchange> exchangesByClient = new IdentityHashMap<>();
    private final Queue<Event> events = new ArrayDeque<>();
    private final Drain drain;
    private final boolean watchesDiscovery;
    private boolean delivering;
    private boolean hasList;
    /** Whether the list was reliable at the last check. */
    private boolean listWasReliable = true;
    private int lastTicket;
    private ChannelFuture listening;

    /** Must be called on the loop. Without watchesDiscovery the module's subscriptions are ignored. */
    Proxy(Config config, EventLoop loop, Balancer.Factory factory, Backends.Transport transport,
            boolean watchesDiscovery, Clock clock) {
        this(config, loop, factory, transport, watchesDiscovery, clock,
                new ListFreshness(config.drainGraceNs(), config.settings().askWithinNs()),
                HeapShares.ofThisProcess(config.sockets()));
    }

    /** {@code freshness} decides how long the list is reliable; Discovery updates it. */
    private Proxy(Config config, EventLoop loop, Balancer.Factory factory, Backends.Transport transport,
            boolean watchesDiscovery, Clock clock, ListFreshness freshness, HeapShares heapShares) {
        this.freshness = freshness;
        this.config = config;
        this.clock = clock;
        this.watchesDiscovery = watchesDiscovery;
        this.loop = loop;
        Sockets sockets = new Sockets(config.sockets());
        MemoryShare responseMemory = new MemoryShare(heapShares.responseBytes());
        this.frontend = new Frontend(config, clock, lag, sockets.clients,
                new MemoryShare(heapShares.requestBytes()), responseMemory,
                new RequestIds(heapShares.requestIdBytes()), this);
        this.drain = new Drain(loop, clock, frontend, () -> !exchangesByClient.isEmpty(),
                config.settings().profiles().stream().mapToLong(Profile::giveUpNs).max().orElse(0));
        this.discovery = new Discovery(loop, config, this, Discovery.STALL_TIMEOUT_MS,
                heapShares.listBytes(), freshness);
        this.backends = new Backends(loop, clock, sockets.backends, new ResponseMemory(responseMemory),
                config, transport, discovery::find);
        this.balancer = factory.create(config.settings(), config.seed(), clock.now(), this);
    }

    /**
     * Serves until the process is terminated. SIGHUP reloads the configuration; an invalid configuration is
     * ignored.
     */
    public static void run(Map<String, String> environment, Balancer.Factory factory)
            throws ConfigException, IOException {
        // First, since SIGHUP terminates the process by default; an early signal is handled after the start.
        CompletableFuture<Proxy> started = new CompletableFuture<>();
        Reload reload = new Reload(() -> Config.reread(environment),
                config -> started.thenAccept(proxy -> proxy.loop.execute(() -> proxy.reload(config))));
        Runnable reloadOnceStarted = () -> started.thenRun(reload::run);
        if (Signals.isIgnored(Signals.SIGHUP)) {
            Log.line("SIGHUP is ignored in this process: the configuration file is checked every "
                    + ConfigFileWatch.POLL_INTERVAL_MS + " ms instead");
            ConfigFileWatch.start(environment.get("NODE_CONFIG"), reloadOnceStarted);
        } else if (!Signals.installHandler("HUP", reloadOnceStarted)) {
            Log.line("this runtime cannot handle SIGHUP: the configuration is read at startup only");
        }
        LibraryLog.install();
        Log.line("starting");
        Config config = Config.read(environment);
        playRehearsal(config, factory);
        LoopThreadFactory loopThread = new LoopThreadFactory();
        EventLoop loop = newLoop(loopThread);
        // Registered before the listener opens: from then on requests may be open at shutdown.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                CompletableFuture<Void> drained = started.thenCompose(Proxy::drain);
                CompletableFuture.anyOf(drained, loopThread.ended()).join();
                if (drained.isDone()) {
                    // Otherwise the exit status would report the signal, although the shutdown was clean.
                    Runtime.getRuntime().halt(0);
                }
            } catch (CompletionException e) {
                Log.line("nothing to drain"); // the start failed, or the event loop has terminated
            }
        }, "drain"));
        try {
            started.complete(start(config, loop, factory, new Clock()));
        } catch (IOException e) {
            started.completeExceptionally(e);
            throw e;
        }
        loopThread.ended().join();
        throw new IOException("the event loop has terminated"); // exit rather than stop accepting requests
    }

    /** Runs the rehearsal, then starts a proxy and drains it. */
    public static void rehearse(Map<String, String> environment, Balancer.Factory factory)
            throws ConfigException, IOException {
        Config config = Config.read(environment);
        playRehearsal(config, factory);
        Proxy proxy = start(config, newLoop(), factory, new Clock());
        proxy.drain().join();
    }

    private static void playRehearsal(Config config, Balancer.Factory factory) {
        int served = Rehearsal.run(config, factory, REHEARSAL_REQUESTS, MAX_REHEARSAL_MS);
        Log.line("served " + served + " requests of a rehearsal");
    }

    /** Creates the event loop of a serving process. */
    static EventLoop newLoop() {
        return newLoop(new LoopThreadFactory());
    }

    private static EventLoop newLoop(LoopThreadFactory loopThread) {
        return new MultiThreadIoEventLoopGroup(1, loopThread,
                RecoveringIoHandler.wrap(NonPollingIoHandler.wrap(
                        SelectBeforeTimersIoHandler.wrap(NioIoHandler.newFactory())))).next();
    }

    static Proxy start(Config config, EventLoop loop, Balancer.Factory factory, Clock clock)
            throws IOException {
        return start(config, loop, factory, clock,
                new ListFreshness(config.drainGraceNs(), config.settings().askWithinNs()),
                HeapShares.ofThisProcess(config.sockets()));
    }

    static Proxy start(Config config, EventLoop loop, Balancer.Factory factory, Clock clock,
            ListFreshness freshness, HeapShares heapShares) throws IOException {
        try {
            return loop.submit(() -> {
                Proxy proxy = new Proxy(config, loop, factory, Backends.tcp(loop), true, clock, freshness,
                        heapShares);
                proxy.startServing();
                return proxy;
            }).get().awaitListening();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting");
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private Proxy awaitListening() throws IOException {
        listening.awaitUninterruptibly();
        if (!listening.isSuccess()) {
            throw new IOException("cannot listen on " + config.listen() + ": "
                    + listening.cause().getMessage());
        }
        return this;
    }

    private void startServing() {
        Discovery.ListUpdate known = discovery.readKnownList();
        if (known != null) {
            discovery.resumeFrom(known.version());
            apply(known);
        }
        if (!config.settings().askForList()) {
            discovery.setWatching(true);
        }
        loop.schedule(() -> {
            if (known != null && !known.entries().isEmpty()) {
                if (!hasList) {
                    Log.line("no list from discovery after " + DISCOVERY_WAIT_MS
                            + " ms: ready with the configured list, version " + known.version()
                            + (isListReliable() ? "" : ", refusing requests until discovery confirms it"));
                }
                markReady();
            }
        }, DISCOVERY_WAIT_MS, TimeUnit.MILLISECONDS);
        listening = frontend.listen(loop);
    }

    /** Adds a client connection that was accepted by another listener. */
    void accept(Channel channel) {
        frontend.accept(channel);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.channel().localAddress();
    }

    /**
     * Applies the only setting that may change at run time, the address of discovery. The member list and
     * open requests are kept. Must be called on the loop.
     */
    void reload(Config config) {
        Log.line("configuration reloaded: discovery is at " + config.discovery());
        discovery.changeAddress(config.discovery());
    }

    /** Answers all open and still arriving requests; the future completes once every one is answered. */
    CompletableFuture<Void> drain() {
        return drain.start();
    }

    @Override
    public void log(String line) {
        Log.line(line);
    }

    // ---- events ----

    /**
     * Queues an event for the module. Events are delivered in order, never from within an action of the
     * module, and all events of one batch with the same time.
     */
    private void enqueue(int ticket, Event event) {
        events.add(now -> {
            try {
                event.dispatch(now);
            } catch (RuntimeException | Error e) {
                // A failure in the module fails one request rather than all open requests.
                Log.failure("the module failed", e);
                fail(ticket);
            }
        });
        scheduleDelivery();
    }

    private void scheduleDelivery() {
        if (!delivering) {
            loop.execute(this::deliver);
            delivering = true;
        }
    }

    private void deliver() {
        try {
            long now = clock.now();
            for (Event e = events.poll(); e != null; e = events.poll()) {
                e.dispatch(now);
            }
        } finally {
            delivering = false;
            if (!events.isEmpty()) {
                scheduleDelivery(); // an event has failed; those behind it are still due
            }
        }
    }

    @Override
    public void onListUpdate(Discovery.ListUpdate listUpdate) {
        apply(listUpdate);
        markReady();
    }

    @Override
    public void onTruncatedList(Discovery.ListUpdate leaving) {
        apply(leaving);
    }

    /** Marks the proxy as ready: it has a member list, which discovery may have yet to confirm. */
    private void markReady() {
        if (!hasList) {
            hasList = true;
            Log.line("ready");
        }
    }

    /** Applies a member list that does not come from discovery. */
    void apply(JsonParser list) throws IOException {
        apply(discovery.read(list));
    }

    private void apply(Discovery.ListUpdate update) {
        backends.apply(update);
        enqueue(0, now -> balancer.onMembers(now, update.kind(), update.version(), update.members()));
    }

    @Override
    public void onWatchFailed() {
        enqueue(0, now -> balancer.onMembers(now, ListKind.FAILED, 0, List.of()));
    }

    @Override
    public boolean isReady() {
        return hasList;
    }

    @Override
    public void onClientRequest(ClientConnection client, ClientRequest request, RequestMetadata metadata,
            long arrivedAt) {
        do {
            lastTicket++;
        } while (lastTicket == 0 || exchanges.containsKey(lastTicket));
        long now = clock.now();
        long excessStallNs = Math.max(0, lag.expectedStallNs(now) - LOST_AFTER_NS);
        long marginNs =
                (long) Math.min(metadata.timeoutNs() * MAX_MARGIN_FRACTION, MARGIN_NS + excessStallNs);
        long clientDeadline = Math.min(arrivedAt + metadata.timeoutNs(), drain.latestDeadline(now));
        Exchange exchange =
                new Exchange(lastTicket, client, request, clientDeadline - marginNs, clientDeadline);
        exchange.backstopTimer = loop.schedule(() -> onOverdue(exchange),
                Math.max(0, clientDeadline - marginNs / 2 - now), TimeUnit.NANOSECONDS);
        try {
            exchanges.put(exchange.ticket, exchange);
            exchangesByClient.put(client, exchange);
            admit(exchange, metadata);
        } catch (RuntimeException | Error e) {
            complete(exchange); // the connection answers the request
            exchanges.remove(exchange.ticket);
            throw e;
        }
    }

    private void admit(Exchange exchange, RequestMetadata metadata) {
        if (!isListReliable()) {
            refuse(exchange.ticket, config.settings().maxRetryAfterNs());
            return;
        }
        enqueue(exchange.ticket, deliveredAt -> {
            long leftNs = Math.max(0, exchange.moduleDeadline - deliveredAt);
            balancer.onRequest(deliveredAt, new Request(exchange.ticket, metadata.profile(),
                    metadata.tenant(), metadata.key(), leftNs, metadata.hintNs(), metadata.isRetry()));
        });
    }

    /** Answers a request that the module has not completed in time. */
    private void onOverdue(Exchange exchange) {
        if (!exchange.completed) {
            Log.line("no answer in time, ticket " + exchange.ticket);
            respond(exchange, 504, null, "no answer in time\n".getBytes(StandardCharsets.UTF_8));
            withdraw(exchange);
        }
    }

    @Override
    public void onClientGone(ClientConnection client) {
        Exchange exchange = exchangesByClient.get(client);
        if (exchange != null) {
            complete(exchange);
            withdraw(exchange);
        }
    }

    /**
     * Whether an attempt of the request may start now. It may not if the client has disconnected, which is
     * checked here, nor on a member list that may be outdated; the request is completed in either case.
     */
    private boolean mayStartAttempt(Exchange exchange) {
        if (!exchange.completed && !exchange.client.checkConnected()) {
            onClientGone(exchange.client);
        }
        if (!exchange.completed && !isListReliable()) {
            abandon(exchange);
        }
        return !exchange.completed;
    }

    /** Whether the member list is recent enough to send attempts; logs each change. */
    private boolean isListReliable() {
        boolean reliable = !watchesDiscovery || freshness.isReliable(System.nanoTime());
        if (reliable != listWasReliable) {
            listWasReliable = reliable;
            Log.line("list version " + discovery.version() + ", confirmed " + describeListAge() + ", state "
                    + freshness.describeState()
                    + (reliable ? ": reliable" : ": may be outdated, refusing requests"));
        }
        return reliable;
    }

    /** Answers a request for which no further attempt may start. */
    private void abandon(Exchange exchange) {
        if (exchange.mayHaveRun || exchange.attemptsInFlight > 1) {
            fail(exchange.ticket);
        } else {
            refuse(exchange.ticket, config.settings().maxRetryAfterNs());
        }
        withdraw(exchange);
    }

    private void withdraw(Exchange exchange) {
        // Cancelled here rather than by the module, so that nothing more is sent in any case.
        for (int i = 0; i < exchange.attempts.size(); i++) {
            cancel(exchange.ticket, i);
        }
        enqueue(exchange.ticket, now -> {
            balancer.onWithdrawn(now, exchange.ticket);
            removeIfFinished(exchange);
        });
    }

    private void respond(Exchange exchange, int status, HttpHeaders headers, byte[] body) {
        long lateNs = clock.now() - exchange.clientDeadline;
        if (lateNs > 0) {
            Log.line("answered " + TimeUnit.NANOSECONDS.toMillis(lateNs) + " ms late, ticket "
                    + exchange.ticket);
        }
        complete(exchange);
        exchange.client.respond(status, headers, body);
    }

    private void complete(Exchange exchange) {
        exchange.completed = true;
        exchange.request = null;
        exchange.backstopTimer.cancel(false);
        exchangesByClient.remove(exchange.client);
    }

    private void removeIfFinished(Exchange exchange) {
        if (exchange.completed && exchange.attemptsInFlight == 0) {
            exchanges.remove(exchange.ticket);
        }
    }

    private void onAttemptCompleted(Exchange exchange, int attemptNumber, int server, long startedAt,
            Status status, Report report, Backends.Response response) {
        if (status == Status.OK && !exchange.completed) {
            respond(exchange, 200, response.head().headers(), response.body());
        } else if (response != null && !exchange.completed) {
            respond(exchange, response.head().status().code(), null,
                    "the backend cannot use this request\n".getBytes(StandardCharsets.UTF_8));
        }
        exchange.mayHaveRun |= !status.neverRan || status == Status.FULL && config.settings().fullIsNoProof();
        long elapsedNs = clock.now() - startedAt;
        enqueue(exchange.ticket, now -> {
            exchange.attemptsInFlight--;
            balancer.onOutcome(now, new Outcome(exchange.ticket, attemptNumber, server, status, elapsedNs,
                    exchange.completed, report));
            removeIfFinished(exchange);
        });
    }

    // ---- actions ----

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        Exchange exchange = exchanges.get(ticket);
        if (exchange == null) {
            Log.line("dropped an attempt for ticket " + ticket + ", which is no longer open");
            enqueue(0, now -> balancer.onOutcome(now,
                    new Outcome(ticket, 0, server, Status.MOOT, 0, true, null)));
            return;
        }
        long now = clock.now();
        long leftNs = exchange.moduleDeadline - now;
        int attemptNumber = exchange.attempts.size();
        exchange.attemptsInFlight++;
        if (!mayStartAttempt(exchange) || leftNs <= 0 || attemptNumber >= config.settings().maxAttempts()) {
            exchange.attempts.add(null);
            onAttemptCompleted(exchange, attemptNumber, server, now, Status.MOOT, null, null);
            return;
        }
        if (LOG_ATTEMPTS) {
            logAttempt(exchange, attemptNumber, server);
        }
        exchange.client.markForwarded();
        Backends.Attempt started = null;
        try {
            started = backends.send(server, exchange.request,
                    timeoutNs == 0 ? leftNs : Math.min(timeoutNs, leftNs), () -> mayStartAttempt(exchange),
                    (attempt, status, report, response) -> onAttemptCompleted(exchange, attemptNumber,
                            server, now, status, report, response));
        } catch (RuntimeException | Error e) {
            Log.failure("an attempt failed to start", e);
        }
        exchange.attempts.add(started);
        if (started == null) { // a local failure, not the backend's
            onAttemptCompleted(exchange, attemptNumber, server, now, Status.MOOT, null, null);
        }
    }

    private void logAttempt(Exchange exchange, int attemptNumber, int server) {
        Log.line("attempt " + attemptNumber + " of request "
                + exchange.request.headers().get("Request-Id") + " to server "
                + discovery.idOf(server) + ", list version " + discovery.version() + ", confirmed "
                + describeListAge());
    }

    private String describeListAge() {
        long ageNs = discovery.listAgeNs();
        return ageNs < 0 ? "never" : TimeUnit.NANOSECONDS.toMillis(ageNs) + " ms ago";
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        Exchange exchange = exchanges.get(ticket);
        if (exchange != null && !exchange.completed) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (retryInNs > 0) {
                headers.set("Retry-After", ClientRequest.formatSeconds(retryInNs));
            }
            respond(exchange, 503, headers, "refused, try again\n".getBytes(StandardCharsets.UTF_8));
            removeIfFinished(exchange);
        }
    }

    @Override
    public void fail(int ticket) {
        Exchange exchange = exchanges.get(ticket);
        if (exchange != null && !exchange.completed) {
            respond(exchange, 502, null, "failed\n".getBytes(StandardCharsets.UTF_8));
            removeIfFinished(exchange);
        }
    }

    @Override
    public void cancel(int ticket, int attempt) {
        Exchange exchange = exchanges.get(ticket);
        if (exchange != null && attempt < exchange.attempts.size()
                && exchange.attempts.get(attempt) != null) {
            exchange.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void timer(long at, long token) {
        loop.schedule(() -> enqueue(0, now -> balancer.onTimer(now, token)), Math.max(0, at - clock.now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdle(int server) {
        backends.closeIdle(server);
    }

    @Override
    public void subscribe(boolean on) {
        if (watchesDiscovery) {
            discovery.setWatching(on);
        }
    }

    @Override
    public void probe(int server) {
        throw new UnsupportedOperationException("this proxy sends no probes");
    }

    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("this proxy does not communicate with peers");
    }

    @Override
    public void reload() {
        throw new UnsupportedOperationException("this proxy watches discovery and sends no single queries");
    }
}
