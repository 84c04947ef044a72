package dewstage.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A test double of backends: a few ports that respond to each request after the same short service time, with
 * a load report. Lists of any size can refer to these ports since each entry has connections of its own: the
 * load of an entry is that of its connection, which is idle once the response is sent.
 */
final class BackendStandIn implements AutoCloseable {
    /** Maximum size of a body in the protocol. */
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int RESPONSE_BYTES = 1000;
    /** Least reported utilization in percent. */
    private static final int MIN_UTIL_PERCENT = 20;
    /** Range of the reported utilization in percent; it varies since a repeated report counts as stale. */
    private static final int UTIL_STEPS = 30;
    /** Length of the accept queue: all proxies of a fleet may connect at once. */
    private static final int ACCEPT_BACKLOG = 4096;

    private final List<Channel> listeners = new ArrayList<>();
    private final ScheduledExecutorService timer;
    private final long serviceNs;
    private final byte[] body = new byte[RESPONSE_BYTES];
    private final AtomicLong servedCount = new AtomicLong();

    /** Uses the timer for the service time since that of the event loop rounds to milliseconds. */
    BackendStandIn(EventLoopGroup group, ScheduledExecutorService timer, int ports, long serviceNs) {
        this.timer = timer;
        this.serviceNs = serviceNs;
        ServerBootstrap server = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES),
                                new RequestHandler());
                    }
                });
        for (int i = 0; i < ports; i++) {
            listeners.add(server.bind("127.0.0.1", 0).syncUninterruptibly().channel());
        }
    }

    List<InetSocketAddress> addresses() {
        return listeners.stream().map(c -> (InetSocketAddress) c.localAddress()).toList();
    }

    /** Returns the number of requests served so far. */
    long servedCount() {
        return servedCount.get();
    }

    @Override
    public void close() {
        listeners.forEach(c -> c.close().syncUninterruptibly());
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                respond(ctx, HttpResponseStatus.BAD_REQUEST);
            } else if (!request.headers().contains("Request-Id")) {
                respond(ctx, HttpResponseStatus.NOT_FOUND);
            } else {
                timer.schedule(() -> respond(ctx, HttpResponseStatus.OK), serviceNs, TimeUnit.NANOSECONDS);
            }
        }

        private void respond(ChannelHandlerContext ctx, HttpResponseStatus status) {
            boolean isServed = status.equals(HttpResponseStatus.OK);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    isServed ? Unpooled.wrappedBuffer(body) : Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (isServed) {
                long utilPercent = MIN_UTIL_PERCENT + servedCount.incrementAndGet() % UTIL_STEPS;
                response.headers().set("Server-Load", "inflight=0,queue=0,util=0." + utilPercent);
            }
            ctx.writeAndFlush(response);
        }

        /** Closes the connection: proxies may reset theirs at any time. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
