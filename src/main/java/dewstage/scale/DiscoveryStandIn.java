package dewstage.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A test double of the discovery service on the loopback address, as PROTOCOL defines it: full lists, watches
 * with an index, changes and heartbeats. It can also answer 503, end all watches or become unresponsive. The
 * encoded list is held once and shared by all watches: each call keeps only its position in a shared buffer
 * and writes while its connection is writable. All work is done on one event loop; the methods may be called
 * from any other thread and wait for the result.
 */
final class DiscoveryStandIn implements AutoCloseable {
    /** Interval of the empty lines that keep an unchanged watch alive. */
    private static final long HEARTBEAT_MS = 2000;
    /** An empty line as a chunk. */
    private static final ByteBuf HEARTBEAT = sharedBuffer("1\r\n\n\r\n");
    private static final ByteBuf LAST_CHUNK = sharedBuffer("0\r\n\r\n");
    private static final ByteBuf HEAD = sharedBuffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    private static final ByteBuf SERVICE_UNAVAILABLE = sharedBuffer(
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    private static final ByteBuf NOT_FOUND = sharedBuffer(
            "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    /** Limit of the bytes that a call has written and its connection has not sent yet. */
    private static final int MAX_PENDING_BYTES = 256 << 10;
    /** Length of the slices in which an update is written, smaller than MAX_PENDING_BYTES. */
    private static final int SLICE_BYTES = 64 << 10;
    /** Time in which the event loop completes a selection, unless it is overloaded. */
    private static final long SELECTION_MS = 10;
    /** Length of the accept queue: all proxies of a fleet may call at once. */
    private static final int BACKLOG = 1024;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ListHistory history;
    private final Set<Call> calls = new HashSet<>();
    private final AtomicLong callCount = new AtomicLong();
    private final AtomicLong refusedCount = new AtomicLong();
    private final AtomicLong fullListCount = new AtomicLong();
    private final AtomicLong byteCount = new AtomicLong();
    private final InetSocketAddress address;
    private volatile Channel listener;
    private boolean unresponsive;
    private boolean refusing;

    /**
     * Counters since the start.
     *
     * @param calls requests for the list, also those refused or never answered
     * @param refused requests answered 503
     * @param fullLists full lists that it began to send
     * @param bytes bytes of responses written, including heads, framing and heartbeats
     */
    record Counts(long calls, long refused, long fullLists, long bytes) {
        Counts since(Counts earlier) {
            return new Counts(calls - earlier.calls, refused - earlier.refused, fullLists - earlier.fullLists,
                    bytes - earlier.bytes);
        }

        Counts plus(Counts more) {
            return new Counts(calls + more.calls, refused + more.refused, fullLists + more.fullLists,
                    bytes + more.bytes);
        }
    }

    /** Listens on a free port of the loopback address; throws if there is none. */
    DiscoveryStandIn(Iterable<Backend> backends) throws IOException {
        this.history = new ListHistory(backends);
        this.address = listen(0);
        loop.scheduleAtFixedRate(this::sendHeartbeat, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    private static ByteBuf sharedBuffer(String text) {
        ByteBuf direct = Unpooled.directBuffer();
        direct.writeCharSequence(text, StandardCharsets.US_ASCII);
        return Unpooled.unreleasableBuffer(direct.asReadOnly());
    }

    private <T> T runOnLoop(Callable<T> work) throws IOException {
        try {
            return loop.submit(work).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException("discovery stand-in failed: " + e.getCause(), e.getCause());
        }
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the address in the form used by configurations. */
    String hostPort() {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    Counts counts() {
        return new Counts(callCount.get(), refusedCount.get(), fullListCount.get(), byteCount.get());
    }

    /** Returns the number of open watches. */
    int watchCount() throws IOException {
        return runOnLoop(() -> (int) calls.stream().filter(call -> call.isWatch).count());
    }

    /** Returns the current version of the list. */
    long generation() throws IOException {
        return runOnLoop(history::generation);
    }

    /** Sends the changes to all watches as a new version and returns that version. */
    long publish(List<Backend> changes) throws IOException {
        return runOnLoop(() -> {
            history.publish(changes);
            pump();
            return history.generation();
        });
    }

    /** Sends the full list to all watches as a new version, like a discovery service without a history. */
    long resendFullList() throws IOException {
        return runOnLoop(() -> {
            history.reset();
            pump();
            return history.generation();
        });
    }

    /** Switches between answering new calls with 503 and serving them; open watches continue. */
    void refuseCalls(boolean refuse) throws IOException {
        runOnLoop(() -> refusing = refuse);
    }

    /** Ends all watches and refuses connections. */
    void stop() throws IOException {
        listener.close().awaitUninterruptibly();
        runOnLoop(() -> {
            new ArrayList<>(calls).forEach(call -> call.channel.close());
            return null;
        });
        // A closed listener still accepts connections until the next selection of the event loop.
        loop.schedule(() -> { }, SELECTION_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** Listens again at the same address. */
    void restart() throws IOException {
        listen(address.getPort());
    }

    /** Becomes unresponsive: connections stay open but nothing is sent any more. */
    void stopResponding() throws IOException {
        runOnLoop(() -> unresponsive = true);
    }

    /** Ends {@link #stopResponding}: watches continue, calls received in the meantime are reset. */
    void resumeResponding() throws IOException {
        runOnLoop(() -> {
            unresponsive = false;
            for (Call call : new ArrayList<>(calls)) {
                if (!call.responding) {
                    call.channel.config().setOption(ChannelOption.SO_LINGER, 0);
                    call.channel.close();
                }
            }
            pump();
            return null;
        });
    }

    @Override
    public void close() throws IOException {
        stop();
        runOnLoop(() -> {
            history.close();
            return null;
        });
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private InetSocketAddress listen(int port) throws IOException {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(SLICE_BYTES, MAX_PENDING_BYTES))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accepted.pipeline().addLast(new HttpRequestDecoder(), new Call(accepted));
                    }
                }).bind("127.0.0.1", port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("discovery stand-in failed to listen on port " + port, bound.cause());
        }
        listener = bound.channel();
        return (InetSocketAddress) listener.localAddress();
    }

    private void pump() {
        new ArrayList<>(calls).forEach(Call::pump);
    }

    private void sendHeartbeat() {
        if (!unresponsive) {
            calls.forEach(Call::sendHeartbeat);
        }
    }

    /** A connection and its call: the version that was sent and the rest of the update being sent. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final Channel channel;
        private boolean responding;
        private boolean isWatch;
        private boolean pumping;
        private long version = -1;
        private ByteBuf update;

        Call(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            calls.add(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (!(message instanceof HttpRequest request)) {
                return;
            }
            callCount.incrementAndGet();
            if (unresponsive) {
                return;
            }
            responding = true;
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.path().equals("/catalog/members")) {
                write(NOT_FOUND.duplicate());
            } else if (refusing) {
                refusedCount.incrementAndGet();
                write(SERVICE_UNAVAILABLE.duplicate());
            } else {
                isWatch = query.parameters().containsKey("stream");
                version = requestedVersion(query);
                write(HEAD.duplicate());
                beginUpdate();
                pump();
            }
            channel.flush();
        }

        /** Returns the index of a watch; -1, for the full list, if there is none or the call is no watch. */
        private long requestedVersion(QueryStringDecoder query) {
            List<String> indexes = query.parameters().getOrDefault("index", List.of());
            return isWatch && !indexes.isEmpty() ? Long.parseLong(indexes.get(0)) : -1;
        }

        private void beginUpdate() {
            ListHistory.Update next = history.updateFrom(version);
            fullListCount.addAndGet(next.isFull() ? 1 : 0);
            version = next.version();
            update = next.encoded();
        }

        /** Writes while the connection is writable, then yields to the other calls. */
        private void pump() {
            if (pumping) {
                return; // re-entered from its own write or flush
            }
            pumping = true;
            writePendingData();
            channel.flush();
            pumping = false;
            if (channel.isWritable() && hasPendingData()) {
                loop.execute(this::pump);
            }
        }

        private void writePendingData() {
            while (channel.isWritable() && hasPendingData()) {
                if (update == null) {
                    beginUpdate();
                }
                write(update.readRetainedSlice(Math.min(SLICE_BYTES, update.readableBytes())));
                if (!update.isReadable()) {
                    releaseUpdate();
                    if (!isWatch) {
                        responding = false; // the connection can serve another call
                        write(LAST_CHUNK.duplicate());
                    }
                }
            }
        }

        /** Returns whether there is something to send now. */
        private boolean hasPendingData() {
            return responding && !unresponsive
                    && (update != null || isWatch && version < history.generation());
        }

        private void sendHeartbeat() {
            if (isWatch && update == null && channel.isWritable()) {
                write(HEARTBEAT.duplicate());
                channel.flush();
            }
        }

        private void write(ByteBuf data) {
            byteCount.addAndGet(data.readableBytes());
            channel.write(data);
        }

        private void releaseUpdate() {
            if (update != null) {
                update.release();
                update = null;
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            pump();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            calls.remove(this);
            releaseUpdate();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // reset by the peer, or an invalid request
        }
    }
}
