package dewstage.scale;

import io.netty.bootstrap.Bootstrap;
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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * An open-loop load generator: sends requests at a constant rate regardless of the responses. The latency of
 * a request counts from its scheduled time, so that a pause shows in all requests scheduled during it. Each
 * target receives the load of one proxy. Everything but the pacing runs on one event loop.
 */
final class OpenLoop {
    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int REQUEST_BODY_BYTES = 200;
    /** One request in ten is keyed. */
    private static final int MIX_PERIOD = 10;
    /** Remainder of the number of a keyed request, which is of the second class in the configuration. */
    private static final int KEYED_REMAINDER = 1;
    private static final String TIMEOUT_S = "0.600";
    /** Maximum wait for responses after the last request: more than the time-out of a client. */
    private static final long DRAIN_MS = 1500;
    /** Interval of the checks for outstanding responses. */
    private static final long POLL_MS = 10;

    /** The latencies of served requests, and the number of requests sent. */
    record Result(Latencies latencies, long sent) { }

    /** Connections to one proxy, or to the ports of the backends in turn. */
    private final class Target {
        private final List<InetSocketAddress> addresses;
        private final List<Deque<Connection>> idle;
        private int nextIndex;

        Target(List<InetSocketAddress> addresses) {
            this.addresses = addresses;
            this.idle = addresses.stream().<Deque<Connection>>map(a -> new ArrayDeque<>()).toList();
        }

        void send(ScheduledRequest request) {
            int index = nextIndex++ % addresses.size();
            Connection connection = idle.get(index).pollLast();
            while (connection != null && !connection.channel.isActive()) {
                connection = idle.get(index).pollLast();
            }
            if (connection == null) {
                connect(index, request);
            } else {
                connection.begin(request);
            }
        }

        private void connect(int index, ScheduledRequest request) {
            Connection connection = new Connection(idle.get(index));
            ChannelFuture connect = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true).handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpClientCodec(),
                                    new HttpObjectAggregator(MAX_BODY_BYTES), connection);
                        }
                    }).connect(addresses.get(index));
            connection.channel = connect.channel();
            connect.addListener(f -> {
                if (f.isSuccess()) {
                    connection.begin(request);
                }
            });
        }
    }

    /** A request with its scheduled time, and where its latency is recorded. */
    private record ScheduledRequest(long scheduledNs, long number, Latencies latencies) { }

    private final EventLoop loop;
    private final List<Target> targets;
    private final String idPrefix = UUID.randomUUID().toString().substring(0, 8) + '-';
    private final byte[] body = new byte[REQUEST_BODY_BYTES];
    private long nextNumber;

    /** Creates a generator; each target is the address of a proxy, or all addresses of the backends. */
    OpenLoop(EventLoop loop, List<List<InetSocketAddress>> targets) {
        this.loop = loop;
        this.targets = targets.stream().map(Target::new).toList();
    }

    /** Sends requests at the given rate to each target and waits for the last responses. */
    Result run(int requestsPerSecond, long durationNs) throws InterruptedException, ExecutionException {
        Latencies latencies = new Latencies();
        long intervalNs = TimeUnit.SECONDS.toNanos(1) / ((long) requestsPerSecond * targets.size());
        long count = durationNs / intervalNs;
        long startNs = System.nanoTime();
        for (long i = 0; i < count; i++) {
            ScheduledRequest request = new ScheduledRequest(startNs + i * intervalNs, nextNumber++,
                    latencies);
            Target target = targets.get((int) (i % targets.size()));
            for (long remainingNs = request.scheduledNs() - System.nanoTime(); remainingNs > 0;
                    remainingNs = request.scheduledNs() - System.nanoTime()) {
                LockSupport.parkNanos(remainingNs);
                if (Thread.interrupted()) {
                    throw new InterruptedException();
                }
            }
            loop.execute(() -> target.send(request));
        }
        Latencies servedLatencies = new Latencies();
        long drainDeadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS);
        while (loop.submit(latencies::count).get() < count && System.nanoTime() < drainDeadline) {
            Thread.sleep(POLL_MS);
        }
        loop.submit(() -> servedLatencies.addAll(latencies)).get(); // later responses belong to no run
        return new Result(servedLatencies, count);
    }

    private DefaultFullHttpRequest newRequest(long number) {
        boolean keyed = number % MIX_PERIOD == KEYED_REMAINDER;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                keyed ? HttpMethod.POST : HttpMethod.GET, keyed ? "/order/1" : "/look/1",
                keyed ? Unpooled.wrappedBuffer(body) : Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, "scale").set("Request-Id", idPrefix + number)
                .set("Request-Timeout", TIMEOUT_S);
        if (keyed) {
            request.headers().set("Idempotency-Key", idPrefix + number)
                    .set(HttpHeaderNames.CONTENT_LENGTH, REQUEST_BODY_BYTES);
        }
        return request;
    }

    /** A connection that carries one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Deque<Connection> idleConnections;
        private Channel channel;
        private ScheduledRequest request;

        Connection(Deque<Connection> idleConnections) {
            this.idleConnections = idleConnections;
        }

        private void begin(ScheduledRequest nextRequest) {
            request = nextRequest;
            channel.writeAndFlush(newRequest(nextRequest.number()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.status().equals(HttpResponseStatus.OK)) {
                request.latencies().add(System.nanoTime() - request.scheduledNs());
            }
            idleConnections.addLast(this);
        }

        /** Closes the connection; its request in flight counts as not served. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
