package dewstage.proxy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dewstage.Balancer;
import dewstage.Balancer.Effect;
import dewstage.Balancer.Profile;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Warms up the process before the proxy reports ready: a temporary proxy serves synthetic requests. Without
 * it, classes are loaded and compiled while the first clients wait; on half a core that took seconds, in
 * which most of their requests were late. All connections are local to the process, so no address is bound
 * before the proxy serves, nobody outside can receive a synthetic answer, and no sockets are needed.
 * Discovery is not called: a fleet that starts at once would make two calls for each proxy, and what
 * discovery sends to the temporary proxy would count as delivered to the real one.
 */
final class Rehearsal {
    private static final int CLIENTS = 6;
    private static final int BACKENDS = 4;
    private static final int REQUEST_BYTES = 200;
    private static final int ANSWER_BYTES = 1000;
    /**
     * One answer in this many is an error. None says that the backend is full: the module would take that
     * for an overload of the whole zone, and on a slow start the rest of the rehearsal would pass while it
     * waits for that to end.
     */
    private static final int ERROR_INTERVAL = 25;

    private final Config config;
    private final EventLoop loop;
    private final Proxy proxy;
    private final int maxRequests;
    private final LocalAddress address = new LocalAddress(Rehearsal.class);
    private final List<ChannelHandlerContext> connectedClients = new ArrayList<>();
    private final CompletableFuture<Integer> done = new CompletableFuture<>();
    private int acceptedCount;
    private int sentCount;
    private int answeredCount;
    private int servedCount;
    private int backendRequestCount;

    /** Must be called on the loop. */
    private Rehearsal(Config config, EventLoop loop, Balancer.Factory factory, int maxRequests) {
        this.config = config;
        this.loop = loop;
        this.proxy = new Proxy(config, loop, factory, to -> bootstrap(), false, new Clock());
        this.maxRequests = maxRequests;
    }

    /** Sends this many requests, or as many as the time allows; returns the number of requests served. */
    static int run(Config config, Balancer.Factory factory, int requests, long maxMs) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
        EventLoop loop = group.next();
        try {
            CompletableFuture<Integer> done = loop.submit(() -> {
                Rehearsal rehearsal = new Rehearsal(config, loop, factory, requests);
                rehearsal.start(maxMs);
                return rehearsal.done;
            }).get();
            return done.get();
        } catch (Exception e) {
            Log.line("rehearsal failed: " + e);
            return 0;
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private Bootstrap bootstrap() {
        return new Bootstrap().group(loop).channel(LocalChannel.class).remoteAddress(address);
    }

    private void start(long maxMs) {
        loop.schedule(() -> done.complete(servedCount), maxMs, TimeUnit.MILLISECONDS);
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(LocalServerChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        if (acceptedCount++ < CLIENTS) {
                            proxy.accept(c);
                            startWhenConnected(null);
                        } else {
                            c.pipeline().addLast(new BackendHandler());
                        }
                    }
                }).bind(address);
        bound.addListener(f -> {
            if (!f.isSuccess()) {
                done.completeExceptionally(f.cause());
                return;
            }
            try (JsonParser list = memberList().traverse()) {
                proxy.apply(list);
            }
            for (int i = 0; i < CLIENTS; i++) {
                connect();
            }
        });
    }

    /** The synthetic backends, all in the zone of the proxy. Their address is never connected to. */
    private JsonNode memberList() {
        int zone = config.settings().zone();
        ObjectNode list = JsonNodeFactory.instance.objectNode().put("generation", 1).put("reset", true);
        ArrayNode instances = list.putArray("instances");
        for (int i = 0; i < BACKENDS; i++) {
            instances.addObject().put("instanceId", "rehearsal-" + i).put("hostPort", "127.0.0.1:9")
                    .put("zone", zone < config.zones().size() ? config.zones().get(zone) : "")
                    .put("machineType", config.kinds().isEmpty() ? "" : config.kinds().get(0))
                    .put("lifecycle", "in_service");
        }
        return list;
    }

    private void connect() {
        bootstrap().handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new ClientHandler());
                    }
                }).connect();
    }

    /** Starts all clients once they are connected; later connections are from the proxy to backends. */
    private void startWhenConnected(ChannelHandlerContext client) {
        if (client != null) {
            connectedClients.add(client);
        }
        if (connectedClients.size() == CLIENTS && acceptedCount >= CLIENTS) {
            connectedClients.forEach(this::sendRequest);
            connectedClients.clear();
        }
    }

    private void sendRequest(ChannelHandlerContext ctx) {
        int profileIndex = sentCount++ % config.classes().size();
        Profile profile = config.settings().profiles().get(profileIndex);
        boolean isIdempotent = profile.effect() == Effect.IDEMPOTENT;
        String id = "rehearsal-" + sentCount;
        StringBuilder request = new StringBuilder(512).append(isIdempotent ? "GET /" : "POST /")
                .append(config.classes().get(profileIndex))
                .append("/1 HTTP/1.1\r\nHost: rehearsal\r\nRequest-Id: ")
                .append(id).append("\r\nRequest-Timeout: 1.000\r\nCookie: sid=").append(sentCount % 100);
        if (profile.effect() == Effect.DEDUPLICATED) {
            request.append("\r\nIdempotency-Key: ").append(id);
        }
        if (!isIdempotent) {
            request.append("\r\nContent-Length: ").append(REQUEST_BYTES);
        }
        write(ctx, request.append("\r\n\r\n").append(isIdempotent ? "" : body(REQUEST_BYTES)));
    }

    /** Every body ends with a newline without a carriage return, unlike the end of a head. */
    private static String body(int bytes) {
        return ".".repeat(bytes - 1) + "\n";
    }

    private static void write(ChannelHandlerContext ctx, CharSequence message) {
        ctx.writeAndFlush(Unpooled.copiedBuffer(message, StandardCharsets.US_ASCII));
    }

    /**
     * A peer of the proxy. It writes prepared bytes and checks only the end of what it reads: an HTTP codec
     * would take as much time to compile and run as the proxy that is being warmed up.
     */
    private abstract static class PeerHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private int firstByte = -1;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            if (!bytes.isReadable()) {
                return; // local channels also deliver empty bodies
            }
            firstByte = firstByte < 0 ? bytes.getByte(bytes.readerIndex()) : firstByte;
            int endIndex = bytes.writerIndex();
            boolean endsWithNewline = bytes.getByte(endIndex - 1) == '\n';
            boolean endsHead = endsWithNewline && bytes.readableBytes() > 1
                    && bytes.getByte(endIndex - 2) == '\r';
            if (endsWithNewline && endsHead == (firstByte == 'G')) {
                firstByte = -1;
                onMessageEnd(ctx, bytes);
            }
        }

        /** Called with the last bytes of a message. */
        abstract void onMessageEnd(ChannelHandlerContext ctx, ByteBuf last);

        /** The proxy may close a connection at any time. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A client that sends the next request when the previous one is answered. */
    private final class ClientHandler extends PeerHandler {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            startWhenConnected(ctx);
        }

        @Override
        void onMessageEnd(ChannelHandlerContext ctx, ByteBuf last) {
            servedCount += last.getByte(last.writerIndex() - 2) == '.' ? 1 : 0;
            if (++answeredCount >= maxRequests) {
                done.complete(servedCount);
            } else {
                sendRequest(ctx);
            }
        }
    }

    /** A backend that answers at once, at regular intervals with an error. */
    private final class BackendHandler extends PeerHandler {
        private final String body = body(ANSWER_BYTES);

        @Override
        void onMessageEnd(ChannelHandlerContext ctx, ByteBuf last) {
            backendRequestCount++;
            boolean isError = backendRequestCount % ERROR_INTERVAL == 0;
            StringBuilder answer = new StringBuilder(ANSWER_BYTES + 200).append("HTTP/1.1 ")
                    .append(isError ? "500 Error" : "200 OK")
                    .append("\r\nServer-Load: util=0.").append(backendRequestCount % 9).append(",inflight=")
                    .append(backendRequestCount % 3).append(",eps=0\r\nContent-Length: ")
                    .append(isError ? 0 : ANSWER_BYTES);
            write(ctx, answer.append("\r\n\r\n").append(isError ? "" : body));
        }
    }
}
