package dewstage.proxy;

import dewstage.Balancer.Effect;
import dewstage.Balancer.Profile;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Accepts client connections, enforces their limits, and passes valid requests to a handler. */
final class Frontend implements ClientConnection.Owner {
    /** Handles valid client requests. */
    interface RequestHandler {
        boolean isReady();

        void onClientRequest(ClientConnection client, ClientRequest request, RequestMetadata metadata,
                long arrivedAt);

        /** The client disconnected before its response. */
        void onClientGone(ClientConnection client);
    }

    /**
     * Maximum time for a connection's first complete request from accept, and for a later one from its first
     * byte. Without it, clients that send nothing or part of a request would hold their descriptors forever.
     */
    private static final long REQUEST_TIMEOUT_NS = 1_800_000_000L;
    /** Time within which a client that intends to send a request sends its first bytes. */
    private static final long FIRST_BYTES_TIMEOUT_NS = 250_000_000L;
    /**
     * Maximum time for a client's socket to take a response: the longest timeout of requests, and half a
     * second after which a response is lost.
     */
    private static final long RESPONSE_TIMEOUT_NS = 3_500_000_000L;
    /** Maximum idle time between requests; ordinary clients send their next request sooner. */
    private static final long IDLE_TIMEOUT_NS = 5_000_000_000L;
    /** Maximum reads of a client's socket per iteration of the event loop. */
    static final int MAX_READS_PER_LOOP = 16;
    /** Number of connections that may wait to be accepted. */
    private static final int BACKLOG = 1024;
    private static final long SWEEP_INTERVAL_MS = 200;
    private static final long ID_EXPIRY_MS = 4000;
    private static final long STATS_INTERVAL_MS = 10_000;

    private final Config config;
    private final Clock clock;
    private final Sockets.Share sockets;
    private final MemoryShare requestMemory;
    private final MemoryShare responseMemory;
    private final RequestHandler requestHandler;
    private final RequestIds ids;
    /** Connections without a valid request so far, the oldest first. */
    private final Set<ClientConnection> unusedClients = new LinkedHashSet<>();
    /** The other connections, the least recently used first. */
    private final Set<ClientConnection> usedClients = new LinkedHashSet<>();
    /** Connections with a partial request, the one that has been silent longest first. */
    private final Set<ClientConnection> partialRequests = new LinkedHashSet<>();
    /** Invalid requests by response status. Counted, since clients could flood a log line per request. */
    private final Map<Integer, Integer> rejectedByStatus = new TreeMap<>();
    private final ClientConnectionStats connectionStats = new ClientConnectionStats();
    private final LoopLag lag;
    private Channel listener;
    private boolean draining;
    private long lastResponseAt;

    Frontend(Config config, Clock clock, LoopLag lag, Sockets.Share sockets, MemoryShare requestMemory,
            MemoryShare responseMemory, RequestIds ids, RequestHandler requestHandler) {
        this.ids = ids;
        this.requestMemory = requestMemory;
        this.responseMemory = responseMemory;
        this.config = config;
        this.clock = clock;
        this.lag = lag;
        this.sockets = sockets;
        this.requestHandler = requestHandler;
        sockets.onExhausted(this::evictOne);
    }

    ChannelFuture listen(EventLoop loop) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until the socket is empty: after a first short read a close could remain unread.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, HeapBuffers.readSizes()
                        .respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_LOOP))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        accept(c);
                    }
                }).bind(config.listen());
        listener = bound.channel();
        lag.heartbeat(clock.now()); // before any request is read
        long heartbeatMs = TimeUnit.NANOSECONDS.toMillis(LoopLag.HEARTBEAT_INTERVAL_NS);
        PeriodicTasks.schedule(loop, "heartbeat", () -> lag.heartbeat(clock.now()), heartbeatMs, heartbeatMs);
        PeriodicTasks.schedule(loop, "close of overdue connections", this::closeTimedOut, SWEEP_INTERVAL_MS,
                SWEEP_INTERVAL_MS);
        PeriodicTasks.schedule(loop, "expiry of ids", ids::expireClosed, ID_EXPIRY_MS, ID_EXPIRY_MS);
        PeriodicTasks.schedule(loop, "statistics", this::logStats, STATS_INTERVAL_MS, STATS_INTERVAL_MS);
        return bound;
    }

    /** Sets up a new client connection, or closes it if all slots are taken. */
    void accept(Channel channel) {
        connectionStats.accepted++;
        if (!sockets.tryAcquire()) {
            connectionStats.rejected++;
            channel.close();
            return;
        }
        channel.closeFuture().addListener(f -> sockets.release());
        channel.config().setAllocator(HeapBuffers.ALLOCATOR);
        RequestDecoder decoder = new RequestDecoder();
        ClientConnection client = new ClientConnection(channel, decoder, requestMemory.new Usage(),
                responseMemory.new Usage(), this);
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), client);
        unusedClients.add(client);
    }

    private void closeTimedOut() {
        long now = clock.now();
        allClients().forEach(c -> c.closeIfTimedOut(now, REQUEST_TIMEOUT_NS, RESPONSE_TIMEOUT_NS,
                IDLE_TIMEOUT_NS));
    }

    private void logStats() {
        if (!rejectedByStatus.isEmpty()) {
            Log.line("invalid requests by response status: " + rejectedByStatus);
            rejectedByStatus.clear();
        }
        connectionStats.logAndReset();
    }

    /** Closes each connection after its next response. */
    void drain() {
        draining = true;
    }

    /** Closes the listener, once all connections in its backlog are accepted, and the idle connections. */
    void close() {
        acceptBacklog();
        listener.close();
        lastResponseAt = clock.now();
        logStats();
        closeIdle();
    }

    /** Accepts the connections that clients have opened: closing the listener would reset them. */
    private void acceptBacklog() {
        int acceptedBefore;
        int reads = 0;
        do {
            acceptedBefore = connectionStats.accepted;
            Sockets.readPending(listener);
            reads++;
        } while (connectionStats.accepted > acceptedBefore && reads < BACKLOG);
    }

    /** Closes each connection without a request, whether the request has been read or not. */
    void closeIdle() {
        allClients().forEach(ClientConnection::closeIfIdle);
    }

    /** Refuses each request of which a part is missing. */
    void refusePartialRequests() {
        for (ClientConnection client : List.copyOf(partialRequests)) {
            if (client.checkConnected() && partialRequests.remove(client)) {
                client.refusePartialRequest();
            }
        }
    }

    /** Whether the proxy has closed its side of every open connection: it owes no response to any client. */
    boolean hasEndedAll() {
        return allClients().stream().allMatch(ClientConnection::hasEnded);
    }

    /** Returns when the last response began to be written, or the listener was closed. */
    long lastResponseAt() {
        return lastResponseAt;
    }

    private List<ClientConnection> allClients() {
        return Stream.concat(unusedClients.stream(), usedClients.stream()).toList();
    }

    /**
     * Closes a connection without an open request to free its slot; returns false if there is none. Prefers
     * the oldest unused connection if it is overdue, then the one idle longest. A connection that was just
     * accepted comes last: its request may be in transit or unread and would be lost, whereas a client
     * whose connection is closed between requests opens another. So new clients do not evict each other when
     * many clients send one request and keep their connections. The price: many silent clients can evict
     * idle connections that are expensive to re-establish.
     */
    private boolean evictOne() {
        boolean oldestIsOverdue = !unusedClients.isEmpty()
                && clock.now() - unusedClients.iterator().next().connectedAt > FIRST_BYTES_TIMEOUT_NS;
        return oldestIsOverdue && evictFirst(unusedClients, false) || evictFirst(usedClients, true)
                || evictFirst(unusedClients, false);
    }

    private boolean evictFirst(Set<ClientConnection> clients, boolean requireIdle) {
        for (Iterator<ClientConnection> candidates = clients.iterator(); candidates.hasNext();) {
            ClientConnection client = candidates.next();
            if (requireIdle ? client.isIdle() : !client.isBusy()) {
                // Not left to channelInactive, which is called later: until then every new connection of a
                // burst would be given this slot, and the process would run out of descriptors.
                candidates.remove();
                connectionStats.recordEviction(client, clock.now());
                client.close();
                return true;
            }
        }
        return false;
    }

    int openConnections() {
        return unusedClients.size() + usedClients.size();
    }

    // ---- events of the connections ----

    @Override
    public long now() {
        return clock.now();
    }

    @Override
    public long earliestArrival() {
        return lag.earliestArrival(clock.now());
    }

    @Override
    public void onRequest(ClientConnection client, ClientRequest request, long arrivedAt) {
        String path = new QueryStringDecoder(request.uri()).rawPath();
        if (path.equals("/_health")) {
            boolean isServing = requestHandler.isReady() && !draining;
            int status = isServing ? 200 : 503;
            client.respond(request.method().equals(HttpMethod.GET) ? status : 405, null,
                    isServing ? "ready" : "not ready");
            return;
        }
        int slash = path.indexOf('/', 1);
        int profileIndex = path.startsWith("/")
                ? config.classes().indexOf(path.substring(1, slash < 0 ? path.length() : slash)) : -1;
        if (profileIndex < 0) {
            client.respond(404, null, "no such class");
            return;
        }
        Profile profile = config.settings().profiles().get(profileIndex);
        HttpMethod method = profile.effect() == Effect.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        String validationError = RequestMetadata.validationError(request, profile);
        if (!request.method().equals(method)) {
            client.respond(405, null, "this class takes " + method);
        } else if (validationError != null) {
            client.respond(400, null, validationError);
        } else if (!ids.tryOpen(request.id())) {
            client.respond(409, null, "this Request-Id is another request's");
        } else {
            client.markAccepted(request);
            connectionStats.acceptedRequests++;
            requestHandler.onClientRequest(client, request, RequestMetadata.of(request, profileIndex, config),
                    arrivedAt);
        }
    }

    @Override
    public void onPartialRequest(ClientConnection client) {
        partialRequests.remove(client);
        partialRequests.add(client); // moves it to the end
    }

    @Override
    public void onPartialRequestEnded(ClientConnection client) {
        partialRequests.remove(client);
    }

    /**
     * Refuses partial requests, the one that has been silent longest first: its client is the least likely to
     * send the rest. If complete requests alone use all the memory, the newest one is refused.
     */
    @Override
    public void onRequestMemoryUsed(ClientConnection client) {
        while (requestMemory.isExceeded() && !partialRequests.isEmpty()) {
            ClientConnection longestSilent = partialRequests.iterator().next();
            partialRequests.remove(longestSilent);
            connectionStats.refusedPartialRequests++;
            longestSilent.refusePartialRequest();
        }
        if (requestMemory.isExceeded() && client.refuseNewestRequest()) {
            connectionStats.refusedRequests++;
        }
    }

    @Override
    public boolean onResponse(ClientConnection client, int status) {
        lastResponseAt = clock.now();
        if (client.acceptedRequest() != null) {
            ids.close(client.acceptedRequest().id(), client.isForwarded());
        } else if (status >= 400 && status < 500) {
            rejectedByStatus.merge(status, 1, Integer::sum);
        }
        if (unusedClients.remove(client) || usedClients.remove(client)) {
            (client.isUsed() ? usedClients : unusedClients).add(client); // moves it to the end
        }
        return draining;
    }

    @Override
    public void onClosed(ClientConnection client) {
        unusedClients.remove(client);
        usedClients.remove(client);
        partialRequests.remove(client);
        if (client.acceptedRequest() != null) {
            ids.close(client.acceptedRequest().id(), client.isForwarded());
            requestHandler.onClientGone(client);
        }
    }

}
