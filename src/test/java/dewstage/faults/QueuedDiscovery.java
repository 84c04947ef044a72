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
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a discovery that is slow: it works through calls in turn and spends the same time on one that was
 * given up. Each proxy calls at a port of its own, so that what was written to whom is known.
 */
final class QueuedDiscovery implements AutoCloseable {
    /** A list that was written to a proxy; the time is that of System.nanoTime. */
    record Written(int proxy, long version, long at) {}

    /** Calls that were made, and those of them whose answer went to an open connection. */
    record Calls(long made, long useful) {}

    /** A time without end has Long.MAX_VALUE for its end. */
    record Reachable(long from, long to) {}

    /**
     * Below the ports that the system gives to outgoing connections: one that is free during an outage must not be
     * taken by those who call meanwhile, or even connect to itself.
     */
    private static final int FIRST_PORT = 20_000;

    private static final int PORTS = 10_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 100 % PORTS));

    private static final Duration BEAT = Duration.ofSeconds(2);
    private static final int BACKLOG = 4096;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String BUSY = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ServerList list;
    private final List<Integer> ports = new ArrayList<>();
    private final List<Channel> listeners = new ArrayList<>();
    private final List<Call> open = new ArrayList<>();
    private final Queue<Call> waiting = new ArrayDeque<>();
    private final Queue<Written> written = new ConcurrentLinkedQueue<>();
    private final List<Reachable> reachable = new ArrayList<>();
    private volatile Duration callTime;
    /** A call that has waited for so long is refused, and keeps its place in the line; null if none is. */
    private volatile Duration refuseAfter;

    private boolean working;
    private boolean silent;
    private long made;
    private long useful;

    QueuedDiscovery(ServerList list, int proxies, Duration callTime) {
        this.list = list;
        this.callTime = callTime;
        for (int i = 0; i < proxies; i++) {
            ports.add(0);
            listeners.add(null);
        }
        up();
        loop.scheduleAtFixedRate(this::beat, BEAT.toMillis(), BEAT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Where one proxy finds it. */
    String hostPort(int proxy) {
        return "127.0.0.1:" + ports.get(proxy);
    }

    void callTime(Duration each) {
        callTime = each;
    }

    void refuseAfter(Duration wait) {
        refuseAfter = wait;
    }

    /** Reads calls and answers none, and watches say nothing more; or all as usual again. */
    void silent(boolean on) {
        run(() -> silent = on);
    }

    /** Can be reached at its old addresses. */
    void up() {
        for (int i = 0; i < ports.size(); i++) {
            Channel listener = listen(i);
            listeners.set(i, listener);
            ports.set(i, ((java.net.InetSocketAddress) listener.localAddress()).getPort());
        }
        run(() -> reachable.add(new Reachable(System.nanoTime(), Long.MAX_VALUE)));
    }

    /** Goes down: watches and calls end, and connections are refused. */
    void down() {
        listeners.forEach(l -> l.close().syncUninterruptibly());
        run(() -> {
            Reachable last = reachable.remove(reachable.size() - 1);
            reachable.add(new Reachable(last.from(), System.nanoTime()));
            new ArrayList<>(open).forEach(c -> c.channel.close());
            waiting.clear();
        });
    }

    /** Tells all watches of a change. */
    void change(String server, ServerList.Lifecycle lifecycle) {
        run(() -> {
            list.change(server, lifecycle);
            if (!silent) {
                open.stream().filter(c -> c.watching).forEach(Call::writeChanges);
            }
        });
    }

    Calls calls() {
        long[] both = new long[2];
        run(() -> {
            both[0] = made;
            both[1] = useful;
        });
        return new Calls(both[0], both[1]);
    }

    /** Calls that wait, given up or not. */
    int queued() {
        int[] size = new int[1];
        run(() -> size[0] = waiting.size());
        return size[0];
    }

    List<Written> written() {
        return List.copyOf(written);
    }

    List<Reachable> reachable() {
        List<Reachable> copy = new ArrayList<>();
        run(() -> copy.addAll(reachable));
        return copy;
    }

    @Override
    public void close() {
        down();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void run(Runnable work) {
        loop.submit(work).syncUninterruptibly();
    }

    /** At the port where it listened before, or at the next free one. */
    private Channel listen(int proxy) {
        if (ports.get(proxy) > 0) {
            return bind(proxy, ports.get(proxy)).syncUninterruptibly().channel();
        }
        for (int i = 0; i < PORTS; i++) {
            int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
            ChannelFuture bound = bind(proxy, port).awaitUninterruptibly();
            if (bound.isSuccess()) {
                return bound.channel();
            }
        }
        throw new IllegalStateException("no port is free");
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

    private void beat() {
        if (!silent) {
            open.stream().filter(c -> c.watching).forEach(c -> c.write("\n"));
        }
    }

    private void work() {
        Call call = waiting.poll();
        working = call != null;
        if (working) {
            loop.schedule(
                    () -> {
                        call.answer();
                        work();
                    },
                    callTime.toNanos(),
                    TimeUnit.NANOSECONDS);
        }
    }

    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private final int proxy;
        private final Channel channel;
        private boolean refused;
        private long version;
        private boolean watching;

        Call(int proxy, Channel channel) {
            this.proxy = proxy;
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            open.add(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpRequest request) {
                List<String> index =
                        new QueryStringDecoder(request.uri()).parameters().get("index");
                version = index == null ? -1 : Long.parseLong(index.get(0));
                made++;
                waiting.add(this);
                if (refuseAfter != null) {
                    loop.schedule(this::refuse, refuseAfter.toNanos(), TimeUnit.NANOSECONDS);
                }
                if (!working) {
                    work();
                }
            }
        }

        private void answer() {
            if (silent || refused || !channel.isActive()) {
                return;
            }
            useful++;
            watching = true;
            channel.write(bytes(HEAD));
            if (version < 0) {
                writeList(list.whole());
            } else {
                writeChanges();
            }
        }

        private void refuse() {
            if (!watching && channel.isActive()) {
                refused = true;
                channel.writeAndFlush(bytes(BUSY));
            }
        }

        private void writeChanges() {
            writeList(list.since(version));
        }

        private void writeList(String line) {
            version = list.version();
            written.add(new Written(proxy, version, System.nanoTime()));
            write(line);
        }

        /** One chunk of the answer. */
        private void write(String text) {
            channel.writeAndFlush(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }

        private static ByteBuf bytes(String text) {
            return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            open.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
