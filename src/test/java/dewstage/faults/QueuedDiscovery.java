package dewstage.faults;

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
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for a slow discovery. It answers calls in turn and spends the same time on each, including those that
 * were given up. Each proxy calls at a port of its own, so that every list written is attributed to a proxy.
 */
final class QueuedDiscovery implements AutoCloseable {
    /** A list written to a proxy, with the time by System.nanoTime. */
    record Written(int proxy, long version, long atNs) {}

    /** The number of calls made, and of those whose answer was written to an open connection. */
    record Calls(long made, long useful) {}

    /** A period in which connections were accepted; {@code toNs} is Long.MAX_VALUE while it lasts. */
    record Reachable(long fromNs, long toNs) {}

    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(2);
    private static final int BACKLOG = 4096;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ServerList list;
    private final List<Integer> ports = new ArrayList<>();
    private final List<Channel> listeners = new ArrayList<>();
    private final List<Call> openCalls = new ArrayList<>();
    private final Queue<Call> waitingCalls = new ArrayDeque<>();
    private final Queue<Written> written = new ConcurrentLinkedQueue<>();
    private final List<Reachable> reachable = new ArrayList<>();
    private volatile Duration callTime;
    /** Waiting time after which a call is refused but keeps its place in the queue; null to refuse none. */
    private volatile Duration refuseAfter;

    private boolean isAnswering;
    private boolean isStalled;
    private boolean isResetting;
    private long madeCount;
    private long usefulCount;

    QueuedDiscovery(ServerList list, int proxies, Duration callTime) {
        this.list = list;
        this.callTime = callTime;
        for (int i = 0; i < proxies; i++) {
            ports.add(0);
            listeners.add(null);
        }
        up();
        loop.scheduleAtFixedRate(
                this::sendHeartbeats,
                HEARTBEAT_INTERVAL.toMillis(),
                HEARTBEAT_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** The address for one proxy. */
    String hostPort(int proxy) {
        return "127.0.0.1:" + ports.get(proxy);
    }

    void setCallTime(Duration newCallTime) {
        callTime = newCallTime;
    }

    void setRefuseAfter(Duration waitTime) {
        refuseAfter = waitTime;
    }

    /** While stalled, calls are read but not answered, and nothing is written to watches. */
    void setStalled(boolean stalled) {
        runOnLoop(() -> isStalled = stalled);
    }

    /** While resetting, watches and calls end in a reset, and so does each new call once it has been read. */
    void setResetting(boolean resetting) {
        runOnLoop(() -> {
            isResetting = resetting;
            if (resetting) {
                new ArrayList<>(openCalls).forEach(Call::reset);
            }
        });
    }

    /** Accepts connections, after an outage at the same addresses as before. */
    void up() {
        for (int i = 0; i < ports.size(); i++) {
            Channel listener = listen(i);
            listeners.set(i, listener);
            ports.set(i, ((java.net.InetSocketAddress) listener.localAddress()).getPort());
        }
        runOnLoop(() -> reachable.add(new Reachable(System.nanoTime(), Long.MAX_VALUE)));
    }

    /** Refuses connections; open watches and calls stay. */
    void refuseConnections() {
        listeners.forEach(l -> l.close().syncUninterruptibly());
        ports.forEach(HarnessPorts::awaitFree);
        runOnLoop(() -> {
            Reachable last = reachable.remove(reachable.size() - 1);
            reachable.add(new Reachable(last.fromNs(), Math.min(last.toNs(), System.nanoTime())));
        });
    }

    /** Closes all watches and calls and refuses connections. */
    void down() {
        refuseConnections();
        runOnLoop(() -> {
            new ArrayList<>(openCalls).forEach(c -> c.channel.close());
            waitingCalls.clear();
        });
    }

    /** Changes the list and sends the change to all watches. */
    void publish(String server, ServerList.Lifecycle lifecycle) {
        runOnLoop(() -> {
            list.change(server, lifecycle);
            if (!isStalled) {
                openCalls.stream().filter(c -> c.isWatching).forEach(Call::writeChanges);
            }
        });
    }

    Calls calls() {
        long[] counts = new long[2];
        runOnLoop(() -> {
            counts[0] = madeCount;
            counts[1] = usefulCount;
        });
        return new Calls(counts[0], counts[1]);
    }

    /** The number of waiting calls, including those given up. */
    int queued() {
        int[] size = new int[1];
        runOnLoop(() -> size[0] = waitingCalls.size());
        return size[0];
    }

    List<Written> written() {
        return List.copyOf(written);
    }

    List<Reachable> reachable() {
        List<Reachable> copy = new ArrayList<>();
        runOnLoop(() -> copy.addAll(reachable));
        return copy;
    }

    @Override
    public void close() {
        down();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void runOnLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    /** Listens at the previous port of the proxy, or at a new one. */
    private Channel listen(int proxy) {
        int port = ports.get(proxy) > 0 ? ports.get(proxy) : HarnessPorts.next();
        return bind(proxy, port).syncUninterruptibly().channel();
    }

    private ChannelFuture bind(int proxy, int port) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpRequestDecoder(), new Call(proxy, c));
                    }
                })
                .bind("127.0.0.1", port);
    }

    private void sendHeartbeats() {
        if (!isStalled) {
            openCalls.stream().filter(c -> c.isWatching).forEach(c -> c.write("\n"));
        }
    }

    private void answerNext() {
        Call call = waitingCalls.poll();
        isAnswering = call != null;
        if (isAnswering) {
            loop.schedule(
                    () -> {
                        call.answer();
                        answerNext();
                    },
                    callTime.toNanos(),
                    TimeUnit.NANOSECONDS);
        }
    }

    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final int proxy;
        private final Channel channel;
        private boolean isRefused;
        private long version;
        private boolean isWatching;

        Call(int proxy, Channel channel) {
            this.proxy = proxy;
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            openCalls.add(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest request) {
                List<String> index =
                        new QueryStringDecoder(request.uri()).parameters().get("index");
                version = index == null ? -1 : Long.parseLong(index.get(0));
                madeCount++;
                if (isResetting) {
                    reset();
                    return;
                }
                waitingCalls.add(this);
                if (refuseAfter != null) {
                    loop.schedule(this::refuse, refuseAfter.toNanos(), TimeUnit.NANOSECONDS);
                }
                if (!isAnswering) {
                    answerNext();
                }
            }
        }

        private void answer() {
            if (isStalled || isRefused || !channel.isActive()) {
                return;
            }
            usefulCount++;
            isWatching = true;
            channel.write(bytes(HEAD));
            if (version < 0) {
                writeList(list.fullList());
            } else {
                writeChanges();
            }
        }

        private void reset() {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }

        private void refuse() {
            if (!isWatching && channel.isActive()) {
                isRefused = true;
                channel.writeAndFlush(bytes(UNAVAILABLE));
            }
        }

        private void writeChanges() {
            writeList(list.changesSince(version));
        }

        private void writeList(String json) {
            version = list.version();
            written.add(new Written(proxy, version, System.nanoTime()));
            write(json);
        }

        /** Writes one chunk of the answer. */
        private void write(String text) {
            channel.writeAndFlush(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }

        private static ByteBuf bytes(String text) {
            return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            openCalls.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
