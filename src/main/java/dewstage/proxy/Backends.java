package dewstage.proxy;

import dewstage.Balancer.Report;
import dewstage.Balancer.State;
import dewstage.Balancer.Status;
import dewstage.IntMap;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;

/**
 * Sends attempts to backends over pooled connections and reports their outcomes. Each attempt completes
 * exactly once; this class never retries.
 */
final class Backends {
    /** Maximum size of a request or response body. */
    static final int MAX_BODY_BYTES = 64 << 10;
    /** Maximum number of interim (1xx) responses before a final response. */
    private static final int MAX_INTERIM_RESPONSES = 8;
    /** Maximum plausible utilization in a load report; a fully busy server reports 1. */
    private static final double MAX_UTILIZATION = 100;
    /** Maximum plausible value of every other field of a load report. */
    private static final double MAX_REPORTED_COUNT = 1e6;

    /** A complete response of a backend. */
    record Response(HttpResponse head, byte[] body) { }

    /** Receives the outcome of an attempt, exactly once. */
    interface Listener {
        /** The response is non-null if the status is OK, or MOOT because the backend rejected the request. */
        void onCompleted(Attempt attempt, Status status, Report report, Response response);
    }

    /** Creates the bootstrap for connections to a backend: TCP, except during the rehearsal. */
    interface Transport {
        Bootstrap to(InetSocketAddress address);
    }

    static Transport tcp(EventLoop loop) {
        return address -> new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).remoteAddress(address);
    }

    /** Idle connections are closed this long before the backend does, so that no request races with it. */
    private static final long KEEP_ALIVE_MARGIN_NS = 1_500_000_000L;
    private static final long SWEEP_MS = 500;
    /**
     * Minimum time between a response and the next request on the same connection. A duplicate response,
     * which arrives 1 to 7 ms after the first, would otherwise be taken for the response to the next request.
     * Opening a new connection instead would take longer and add load to the backend.
     */
    static final long REUSE_DELAY_NS = 10_000_000L;

    /** State of a backend that is in use or draining; most listed backends have none. */
    private static final class Backend {
        final int id;
        InetSocketAddress address;
        /** Start time of the process at the address. */
        long bootNs;
        /** When this proxy was notified that the backend is draining or gone; 0 while it is in service. */
        long outOfServiceSince;
        /** Number of attempts in flight plus open connections. */
        int useCount;
        /** Ordered by last use, the least recently used first. */
        final Deque<Connection> idleConnections = new ArrayDeque<>(2);

        Backend(ListedBackend entry) {
            this.id = entry.member().id();
            this.address = entry.address();
            this.bootNs = entry.member().bootNs();
        }
    }

    private final EventLoop loop;
    private final Transport transport;
    private final Clock clock;
    private final Sockets.Share sockets;
    private final ResponseMemory responseMemory;
    private final long connectTimeoutNs;
    private final long keepAliveNs;
    private final long drainGraceNs;
    private final IntFunction<ListedBackend> listedById;
    private final IntMap<Backend> tracked = new IntMap<>();
    /** Idle connections of all backends in insertion order: the one idle longest is first. */
    private final Set<Connection> idleByAge = new LinkedHashSet<>();

    /** {@code listedById} returns the current list entry of a server, or null if it is not listed. */
    Backends(EventLoop loop, Clock clock, Sockets.Share sockets, ResponseMemory responseMemory, Config config,
            Transport transport, IntFunction<ListedBackend> listedById) {
        this.responseMemory = responseMemory;
        this.listedById = listedById;
        this.transport = transport;
        this.loop = loop;
        this.clock = clock;
        this.sockets = sockets;
        sockets.onExhausted(this::closeOldestIdle);
        this.connectTimeoutNs = config.connectTimeoutNs();
        this.keepAliveNs = Math.max(config.keepAliveNs() / 2, config.keepAliveNs() - KEEP_ALIVE_MARGIN_NS);
        this.drainGraceNs = config.drainGraceNs();
        PeriodicTasks.schedule(loop, "sweep of idle connections", this::sweep, SWEEP_MS, SWEEP_MS);
    }

    // ---- member list ----

    /** Applies a list update. Updates after the first one include the members that are gone. */
    void apply(ListUpdate listUpdate) {
        long now = clock.now();
        for (ListedBackend entry : listUpdate.entries()) {
            State state = entry.member().state();
            Backend backend = tracked.get(entry.member().id());
            if (backend == null && state == State.DRAINING) {
                backend = new Backend(entry); // later attempts need the time at which draining began
                tracked.put(backend.id, backend);
            }
            if (backend != null) {
                applyEntry(backend, entry, state, now);
            }
        }
    }

    private void applyEntry(Backend backend, ListedBackend entry, State state, long now) {
        InetSocketAddress address = entry.address();
        boolean moved = address != null && !address.equals(backend.address);
        if (moved || entry.member().bootNs() > backend.bootNs) {
            closeIdle(backend); // connected to a process that no longer runs
        }
        backend.address = moved ? address : backend.address;
        backend.bootNs = entry.member().bootNs();
        if (state == State.READY) {
            backend.outOfServiceSince = 0;
            removeIfUnused(backend);
        } else {
            backend.outOfServiceSince = backend.outOfServiceSince == 0 ? now : backend.outOfServiceSince;
            closeIdle(backend);
        }
        if (state == State.GONE) {
            tracked.remove(backend.id);
        }
    }

    private void removeIfUnused(Backend backend) {
        if (backend.useCount == 0 && backend.outOfServiceSince == 0) {
            tracked.remove(backend.id);
        }
    }

    private void release(Backend backend) {
        backend.useCount--;
        removeIfUnused(backend);
    }

    int trackedCount() {
        return tracked.size();
    }

    // ---- idle connections ----

    void closeIdle(int id) {
        Backend backend = tracked.get(id);
        if (backend != null) {
            closeIdle(backend);
        }
    }

    private void closeIdle(Backend backend) {
        while (!backend.idleConnections.isEmpty()) {
            removeFromIdle(backend.idleConnections.peekLast()).channel.close();
        }
    }

    private Connection removeFromIdle(Connection connection) {
        connection.backend.idleConnections.remove(connection);
        idleByAge.remove(connection);
        return connection;
    }

    /** Closes the connection that has been idle longest; returns false if there is none. */
    private boolean closeOldestIdle() {
        if (idleByAge.isEmpty()) {
            return false;
        }
        removeFromIdle(idleByAge.iterator().next()).channel.close();
        return true;
    }

    private void sweep() {
        while (!idleByAge.isEmpty() && !isFresh(idleByAge.iterator().next())) {
            closeOldestIdle();
        }
    }

    private boolean isFresh(Connection connection) {
        return clock.now() - connection.idleSince < keepAliveNs;
    }

    private Connection pollReusable(Backend backend) {
        // The one idle longest: a close or surplus bytes right after its last response have been read by now.
        Connection connection = backend.idleConnections.peekFirst();
        // Also checked here: after a stall of the loop the sweep is late, and the backend may be about to
        // close the connection.
        while (connection != null && !(isFresh(connection) && connection.isUnused())) {
            removeFromIdle(connection).channel.close();
            connection = backend.idleConnections.peekFirst();
        }
        return connection == null ? null : removeFromIdle(connection);
    }

    // ---- attempts ----

    /**
     * Starts an attempt. It never completes within this call. If it has to wait for a connection, the request
     * is written only if {@code stillWanted} then returns true; otherwise the caller cancels the attempt.
     */
    Attempt send(int server, ClientRequest request, long timeoutNs, BooleanSupplier stillWanted,
            Listener listener) {
        Attempt attempt = new Attempt(track(server), request, clock.now() + timeoutNs, stillWanted, listener);
        if (attempt.backend == null) {
            loop.execute(() -> attempt.complete(Status.MOOT, null, null)); // no longer listed
            return attempt;
        }
        attempt.backend.useCount++;
        try {
            start(attempt, timeoutNs);
        } catch (RuntimeException | Error e) {
            Log.failure("an attempt failed to start", e);
            loop.execute(() -> attempt.abort(Status.MOOT)); // not the backend's fault
        }
        return attempt;
    }

    private void start(Attempt attempt, long timeoutNs) {
        attempt.timer = loop.schedule(attempt::onTimeout, timeoutNs, TimeUnit.NANOSECONDS);
        Connection reused = pollReusable(attempt.backend);
        long delayNs = reused == null ? 0 : reused.idleSince + REUSE_DELAY_NS - clock.now();
        if (reused == null) {
            connectNew(attempt);
        } else if (delayNs > 0) {
            attempt.connection = reused;
            loop.schedule(() -> startAfterDelay(attempt), delayNs, TimeUnit.NANOSECONDS);
        } else {
            reused.start(attempt);
        }
    }

    /** Returns the state of a backend, creating it if needed; null if the server is not listed. */
    private Backend track(int server) {
        Backend backend = tracked.get(server);
        ListedBackend entry = backend == null ? listedById.apply(server) : null;
        if (entry != null) {
            backend = new Backend(entry);
            tracked.put(server, backend);
        }
        return backend;
    }

    private void startAfterDelay(Attempt attempt) {
        if (attempt.completed || !attempt.stillWanted.getAsBoolean()) {
            return;
        }
        if (attempt.connection.isUnused()) {
            attempt.connection.start(attempt);
        } else {
            connectNew(attempt); // closed during the delay; nothing of this attempt was written
        }
    }

    private void connectNew(Attempt attempt) {
        if (sockets.tryAcquire()) {
            connect(attempt);
        } else {
            loop.execute(() -> attempt.complete(Status.MOOT, null, null)); // not the backend's fault
        }
    }

    private void connect(Attempt attempt) {
        Connection newConnection = new Connection(attempt.backend);
        ChannelFuture connectFuture = transport.to(attempt.backend.address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNs / 1_000_000))
                .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .option(ChannelOption.RECVBUF_ALLOCATOR, HeapBuffers.readSizes())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(newConnection.decoder, new HttpRequestEncoder(),
                                newConnection);
                    }
                }).connect();
        if (Sockets.hasNoDescriptor(connectFuture)) {
            sockets.release();
            loop.execute(() -> attempt.complete(Status.MOOT, null, null)); // not the backend's fault
            return;
        }
        newConnection.channel = connectFuture.channel();
        attempt.connection = newConnection;
        attempt.backend.useCount++;
        newConnection.channel.closeFuture().addListener(future -> {
            sockets.release();
            release(attempt.backend);
        });
        connectFuture.addListener(future -> {
            if (future.isSuccess() && !attempt.completed) {
                if (attempt.stillWanted.getAsBoolean()) {
                    newConnection.start(attempt);
                }
            } else {
                newConnection.channel.close();
                loop.execute(() -> attempt.complete(Status.CONNECT_FAILED, null, null));
            }
        });
    }

    /** One attempt of a request at a backend. */
    final class Attempt {
        final long startedAt = clock.now();
        private final Backend backend;
        /** Null once it has been passed to a connection, so that its body can be collected. */
        private ClientRequest request;
        private final long deadline;
        private final BooleanSupplier stillWanted;
        private final Listener listener;
        private Connection connection;
        private ScheduledFuture<?> timer;
        /** The request was written completely, so the backend may have executed it. */
        private boolean requestWritten;
        private boolean completed;

        private Attempt(Backend backend, ClientRequest request, long deadline, BooleanSupplier stillWanted,
                Listener listener) {
            this.backend = backend;
            this.request = request;
            this.deadline = deadline;
            this.stillWanted = stillWanted;
            this.listener = listener;
        }

        void cancel() {
            loop.execute(() -> abort(Status.CANCELLED));
        }

        private void onTimeout() {
            abort(requestWritten ? Status.TIMEOUT : Status.CONNECT_FAILED);
        }

        private void abort(Status status) {
            if (!completed) {
                complete(status, null, null);
                if (connection != null) {
                    connection.channel.close();
                }
            }
        }

        private void connectionFailed() {
            complete(requestWritten ? Status.RESET : Status.CONNECT_FAILED, null, null);
        }

        private void complete(Status status, Report report, Response response) {
            if (completed) {
                return;
            }
            completed = true;
            if (timer != null) {
                timer.cancel(false);
            }
            if (backend != null) {
                release(backend);
            }
            listener.onCompleted(this, status, report, response);
        }

        private DefaultFullHttpRequest toHttpRequest() {
            DefaultFullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                    request.method(), request.uri(), Unpooled.wrappedBuffer(request.body()));
            ClientRequest.copyRequestHeaders(request.headers(), message.headers());
            message.headers().set(HttpHeaderNames.HOST, request.headers().get(HttpHeaderNames.HOST, ""));
            message.headers().set("Request-Timeout",
                    ClientRequest.formatSeconds(Math.max(1000, deadline - clock.now())));
            if (request.body().length > 0 || !request.method().equals(HttpMethod.GET)) {
                HttpUtil.setContentLength(message, request.body().length);
            }
            request = null;
            return message;
        }
    }

    /** A connection to a backend, which carries one attempt at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject>
            implements ResponseDecoder.Listener, ResponseMemory.Reader {
        private final Backend backend;
        private final ResponseDecoder decoder = new ResponseDecoder(this);
        private final ResponseMemory.Response memory = responseMemory.newResponse(this);
        private Channel channel;
        private long idleSince;
        private Attempt current;
        private HttpResponse head;
        private ByteBuf body;
        private int interimCount;
        /** The final response is complete; bytes after it in the same read may still be undecoded. */
        private boolean responseComplete;
        private boolean hasTrailingBytes;

        Connection(Backend backend) {
            this.backend = backend;
        }

        /**
         * Whether the connection is open and nothing has arrived since its last response. It is read first: a
         * second response that lies unread would be taken for the response to the next request.
         */
        boolean isUnused() {
            Sockets.readPending(channel);
            return channel.isActive();
        }

        void start(Attempt attempt) {
            attempt.connection = this;
            // The backend may have started draining or disappeared while the connection was established.
            if (backend.outOfServiceSince != 0 && clock.now() - backend.outOfServiceSince > drainGraceNs) {
                channel.close();
                loop.execute(() -> attempt.complete(Status.MOOT, null, null));
                return;
            }
            current = attempt;
            head = null;
            interimCount = 0;
            responseComplete = false;
            hasTrailingBytes = false;
            decoder.expectResponse();
            channel.writeAndFlush(attempt.toHttpRequest()).addListener(f -> {
                if (f.isSuccess()) {
                    attempt.requestWritten = true;
                } else {
                    channel.close();
                }
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (current == null || message.decoderResult().isFailure()) {
                failConnection();
                return;
            }
            if (message instanceof HttpResponse response) {
                head = response;
                boolean isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                if (isInterim ? ++interimCount > MAX_INTERIM_RESPONSES || response.status().code() == 101
                        : !hasDelimitedBody(response)) {
                    failConnection();
                    return;
                }
                body = isInterim ? Unpooled.EMPTY_BUFFER : HeapBuffers.newBody(response);
            }
            if (message instanceof HttpContent content) {
                if (content.content().readableBytes() > body.maxWritableBytes()) {
                    failConnection();
                    return;
                }
                body.writeBytes(content.content());
            }
            if (message instanceof LastHttpContent) {
                if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                    decoder.expectResponse();
                } else {
                    responseComplete = true;
                    decoder.responseComplete();
                }
            }
            updateMemory();
        }

        private void updateMemory() {
            if (current != null) {
                memory.update(decoder.heldBytes() + (body == null ? 0 : body.capacity()));
            }
        }

        @Override
        public void setReading(boolean on) {
            channel.config().setAutoRead(on);
        }

        @Override
        public void onUnexpectedBytes() {
            failConnection();
        }

        /**
         * Handles bytes beyond the declared end of the response. If they start another response, the first
         * one is complete and is used. Otherwise its Content-Length may be too short, so the attempt fails.
         */
        @Override
        public void onTrailingBytes(boolean startsAnotherResponse) {
            if (!hasTrailingBytes && !startsAnotherResponse) {
                failConnection();
            }
            hasTrailingBytes = true;
        }

        /** Completes the attempt only after all bytes read with the response have been decoded. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (responseComplete && current != null) {
                onResponseComplete();
            } else {
                updateMemory(); // also where not even a head is complete
            }
        }

        private void onResponseComplete() {
            Attempt attempt = current;
            byte[] bytes = HeapBuffers.toBytes(body);
            current = null;
            body = null;
            memory.end();
            decoder.expectNothing();
            if (attempt.requestWritten && !hasTrailingBytes && HttpUtil.isKeepAlive(head)
                    && backend.outOfServiceSince == 0) {
                idleSince = clock.now();
                backend.idleConnections.addLast(this);
                idleByAge.add(this);
            } else {
                channel.close();
            }
            Status status = statusOf(head);
            attempt.complete(status, lastValidReport(head.headers().getAll("Server-Load")),
                    status == Status.OK || status == Status.MOOT ? new Response(head, bytes) : null);
        }

        /**
         * Fails the attempt before closing the connection: on close the decoder emits what it has buffered,
         * which must not complete a response that was rejected.
         */
        private void failConnection() {
            Attempt attempt = current;
            current = null;
            body = null;
            memory.end();
            decoder.expectNothing();
            removeFromIdle(this);
            if (attempt != null) {
                attempt.connectionFailed();
            }
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (responseComplete && current != null) {
                onResponseComplete(); // the close arrived in the same read
            }
            failConnection();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /**
     * Whether the head delimits the body, within the maximum size. A body delimited only by the end of the
     * connection cannot be distinguished from a truncated one.
     */
    private static boolean hasDelimitedBody(HttpResponse response) {
        if (!response.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !response.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return false;
        }
        return HttpUtil.isTransferEncodingChunked(response)
                || response.status().code() == 204 || response.status().code() == 304
                || HttpUtil.isContentLengthSet(response)
                && HttpUtil.getContentLength(response, -1L) <= MAX_BODY_BYTES;
    }

    private static Status statusOf(HttpResponse response) {
        int code = response.status().code();
        if (code == 200) {
            return Status.OK;
        }
        // Other 4xx concern the request: any backend would reject it, and they do not reflect on its health.
        if (code / 100 == 4 && code != 408 && code != 425 && code != 429) {
            return Status.MOOT;
        }
        // Only an explicit Not-Started header proves that the request was not executed.
        return (code == 503 || code == 504) && "1".equals(response.headers().get("Not-Started"))
                ? Status.FULL : Status.ERROR;
    }

    /** Returns the last load report that is valid; null if none is. */
    private static Report lastValidReport(List<String> texts) {
        Report last = null;
        for (String text : texts) {
            Report report = parseReport(text);
            last = report == null ? last : report;
        }
        return last;
    }

    /** Parses a load report; returns null if it is absent, has no known field or has an invalid value. */
    static Report parseReport(String text) {
        if (text == null) {
            return null;
        }
        double[] values = new double[6];
        Arrays.fill(values, Double.NaN);
        for (String field : text.split(",")) {
            String[] pair = field.trim().split("=", 2);
            int column = switch (pair[0]) {
                case "inflight", "outstanding" -> 0;
                case "queue", "backlog" -> 1;
                case "util", "utilization" -> 2;
                case "latency_ms", "recent_ms" -> 3;
                case "qps", "throughput" -> 4;
                case "eps", "errors_per_s" -> 5;
                default -> -1;
            };
            if (column >= 0) {
                try {
                    values[column] = Double.parseDouble(pair.length < 2 ? "" : pair[1]);
                } catch (NumberFormatException e) {
                    return null;
                }
                if (!(values[column] >= 0
                        && values[column] <= (column == 2 ? MAX_UTILIZATION : MAX_REPORTED_COUNT))) {
                    return null;
                }
            }
        }
        if (Arrays.stream(values).allMatch(Double::isNaN)) {
            return null;
        }
        return new Report(values[0], values[1], values[2], values[3], values[4], values[5]);
    }
}
