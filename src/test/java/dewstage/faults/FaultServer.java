package dewstage.faults;

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
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** A server that answers every request after the same time and records when its first byte arrived. */
final class FaultServer implements AutoCloseable {
    private static final int MAX_BYTES = 64 << 10;

    private final String id;
    private final Duration serviceTime;
    private final Queue<DrainRule.ServerRequest> requests;
    private final Channel listener;

    /** Records each request in the queue; the request id starts with the number of the proxy and a dash. */
    FaultServer(String id, EventLoopGroup loops, Duration serviceTime, Queue<DrainRule.ServerRequest> requests) {
        this.id = id;
        this.serviceTime = serviceTime;
        this.requests = requests;
        this.listener = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BYTES), new Handler());
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    String hostPort() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String requestId = request.headers().get("Request-Id", "0-");
            int proxy = Integer.parseInt(requestId.substring(0, requestId.indexOf('-')));
            requests.add(new DrainRule.ServerRequest(proxy, id, requestId, System.nanoTime()));
            ctx.executor().schedule(() -> answer(ctx), serviceTime.toNanos(), TimeUnit.NANOSECONDS);
        }

        private void answer(ChannelHandlerContext ctx) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.OK,
                    Unpooled.copiedBuffer("served", StandardCharsets.US_ASCII));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
