package dewstage.proxy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a watch on discovery and turns what it says into list events. A watch that ends, falls silent or says
 * what cannot be read is opened again from the last version; the old list stands meanwhile.
 */
final class Discovery {
    /** A backend as listed, and where this proxy reaches it; the socket address is made when asked for. */
    static class Listed {
        private final Member member;
        /** The IP address, of version 4 as a number, else its bytes; the port, or -1 for no address. */
        private final int ip;
        private final byte[] longIp;
        private final int port;

        Listed(Member member, InetSocketAddress address) {
            this.member = member;
            byte[] bytes = address == null ? new byte[4] : address.getAddress().getAddress();
            this.ip = bytes.length == 4 ? ByteBuffer.wrap(bytes).getInt() : 0;
            this.longIp = bytes.length == 4 ? null : bytes;
            this.port = address == null ? -1 : address.getPort();
        }

        final Member member() {
            return member;
        }

        /** Null if it has none, which only one that is gone may. */
        final InetSocketAddress address() {
            if (port < 0) {
                return null;
            }
            try {
                return new InetSocketAddress(InetAddress.getByAddress(
                        longIp == null ? ByteBuffer.allocate(4).putInt(ip).array() : longIp), port);
            } catch (UnknownHostException e) {
                throw new AssertionError("not of this length", e);
            }
        }

        final boolean same(Listed other) {
            return ip == other.ip && port == other.port && Arrays.equals(longIp, other.longIp)
                    && member.equals(other.member);
        }
    }

    /** One piece of news, in order: after the first list only what differs from the ones before. */
    record ListUpdate(ListKind kind, long version, List<Listed> list) {
        /** What the module hears of it: a view, since a list may be long. */
        List<Member> members() {
            return new AbstractList<>() {
                @Override
                public Member get(int i) {
                    return list.get(i).member();
                }

                @Override
                public int size() {
                    return list.size();
                }
            };
        }
    }

    /** Who hears of it: news, or that the watch failed. */
    interface Listener {
        void onListUpdate(ListUpdate listUpdate);

        void failed();
    }

    /**
     * One and a half beats of 2 s. What is not heard counts as told 6 s after the last beat all the same, and
     * by then all proxies must have called again, in turn, and been answered.
     */
    static final long SILENCE_MS = 3000;
    /**
     * An answer may take so long to begin: calls are worked through in turn, and one that has waited for too
     * long is refused there. A change counts as told 6 s after discovery can be reached: when a call hangs
     * that was made just before, this and the module's longest pause must leave time for the next.
     */
    static final long ANSWER_MS = 2200;
    private static final long FIRST_PAUSE_MS = 100, LONGEST_PAUSE_MS = 1600;
    /** A list that is too large is so again at the next call, and costs all that is sent of it. */
    static final long FIRST_REFUSAL_MS = 1000, LONGEST_REFUSAL_MS = 64_000;

    private final EventLoop loop;
    private final Config config;
    private final Listener listener;
    private final long silenceMs;
    private final long room;
    private final Membership membership;
    private InetSocketAddress address;
    private long version = -1;
    private long pauseMs = FIRST_PAUSE_MS;
    /** Has the watch brought a list that is too large? The pause if so, and when it ends by nanoTime. */
    private boolean refused;
    private long refusalMs;
    private long notBefore = System.nanoTime();
    private boolean wanted;
    private Channel watch;
    private ScheduledFuture<?> retry;
    private int calls;
    /** When a list or a beat last came, by nanoTime; 0 if none ever did. */
    private long confirmedAt;

    Discovery(EventLoop loop, Config config, Listener listener) {
        this(loop, config, listener, SILENCE_MS, Membership.usualRoom());
    }

    /** The entries of all that is listed may take so much room, in bytes, and so may the text of one list. */
    Discovery(EventLoop loop, Config config, Listener listener, long silenceMs, long room) {
        this.room = room;
        this.membership = new Membership(room);
        this.loop = loop;
        this.config = config;
        this.listener = listener;
        this.address = config.discovery();
        this.silenceMs = silenceMs;
    }

    /** The list that the proxy was started with; null if there is none that can be read. */
    ListUpdate known() {
        try (JsonParser parser = config.known().open()) {
            JsonToken first = parser.nextToken();
            if (first != JsonToken.START_OBJECT) {
                return null;
            }
            ListUpdate listUpdate = read(parser, first);
            return new ListUpdate(ListKind.CACHED, listUpdate.version(), listUpdate.list());
        } catch (IOException | IllegalArgumentException e) {
            Log.line("the known list is not used: " + firstLine(e));
            return null;
        }
    }

    /** Takes in a list from elsewhere; throws IllegalArgumentException if it is none. */
    ListUpdate read(JsonParser parser) throws IOException {
        return read(parser, parser.nextToken());
    }

    private ListUpdate read(JsonParser parser, JsonToken first) throws IOException {
        ListReader reader = new ListReader(membership, config);
        ListUpdate listUpdate = reader.take(parser, first);
        while (listUpdate == null) {
            JsonToken t = parser.nextToken();
            if (t == null) {
                throw new IllegalArgumentException("it has no end");
            }
            listUpdate = reader.take(parser, t);
        }
        return listUpdate;
    }

    /** What is listed under a number; null if nothing is. */
    Listed listed(int number) {
        return membership.get(number);
    }

    /** The id of what is listed under a number; the number itself if nothing is. */
    String name(int number) {
        Membership.Entry entry = membership.get(number);
        return entry == null ? "#" + Integer.toUnsignedString(number) : entry.id;
    }

    private static String firstLine(Exception e) {
        return e.getMessage().lines().findFirst().orElse("");
    }

    /** Opens the watch or closes it. Pushed lists are watched for good; one that is asked for is one call. */
    void watch(boolean on) {
        if (on && wanted && watch != null) {
            return; // a further call would only go to the end of the line that this one waits in
        }
        close();
        wanted = on;
        long waitNs = notBefore - System.nanoTime();
        if (on && waitNs > 0) {
            retry = loop.schedule(this::open, waitNs, TimeUnit.NANOSECONDS);
        } else if (on) {
            open();
        }
    }

    /**
     * Discovery is elsewhere now: the watch goes on there at once, from the last version that was heard, also
     * where the module has a pause before its next call: that is for the old address, and what the new one
     * has to tell soon counts as told.
     */
    void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        pauseMs = FIRST_PAUSE_MS;
        refusalMs = 0;
        notBefore = System.nanoTime();
        close();
        wanted = true;
        open();
    }

    private void close() {
        Channel old = watch;
        watch = null;
        if (old != null) {
            Watch call = old.pipeline().get(Watch.class);
            if (call != null) {
                call.call.reason("closed by this proxy");
            }
            old.close();
        }
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
    }

    private void open() {
        retry = null;
        DiscoveryCall call = new DiscoveryCall(++calls, address, version);
        ChannelFuture connect = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMs(config.drainGraceNs()))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) throws IOException {
                        c.pipeline().addLast(new HttpClientCodec(), new Watch(call));
                    }
                }).connect(address);
        watch = connect.channel();
        if (Sockets.noneFor(connect)) {
            Log.line("discovery cannot be called: " + connect.cause());
            call.ended("no descriptor");
            ended(watch);
        } else {
            connect.addListener(f -> {
                if (!f.isSuccess()) {
                    call.reason("cannot connect: " + f.cause());
                }
            });
            watch.closeFuture().addListener(f -> {
                call.ended("closed by discovery");
                ended(connect.channel());
            });
        }
    }

    /** How long ago discovery last showed that the list is current, in ns; -1 if it never did. */
    long listAgeNs() {
        return confirmedAt == 0 ? -1 : System.nanoTime() - confirmedAt;
    }

    /** The version of the list in force; -1 if there is none. */
    long version() {
        return version;
    }

    private void ended(Channel c) {
        if (c != watch) {
            return; // closed on purpose
        }
        watch = null;
        // Doubles until a watch ends otherwise: a list that was taken ahead of the large one proves nothing.
        refusalMs = refused ? Math.max(FIRST_REFUSAL_MS, Math.min(2 * refusalMs, LONGEST_REFUSAL_MS)) : 0;
        notBefore = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(refusalMs);
        refused = false;
        if (!wanted) {
            return;
        }
        if (config.settings().askForList()) {
            // Here calls cost, and the module says when to ask again.
            wanted = false;
            listener.failed();
            return;
        }
        retry = loop.schedule(this::open, Math.max(pauseMs, refusalMs), TimeUnit.MILLISECONDS);
        pauseMs = Math.min(2 * pauseMs, longestPauseMs(config.drainGraceNs()));
    }

    /**
     * Where lists are pushed, what comes in while discovery could not be reached counts as told at its return
     * at once: a try that hangs and the pause behind it must leave some of the time that drains have.
     */
    static long connectMs(long drainGraceNs) {
        return Math.max(FIRST_PAUSE_MS, Math.min(LONGEST_PAUSE_MS, drainGraceNs / 2_000_000));
    }

    static long longestPauseMs(long drainGraceNs) {
        return connectMs(drainGraceNs) / 2;
    }

    /** One watch: JSON in a chunked answer. A list counts once its end has come, however it is laid out. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final Json.Stream stream = new Json.Stream();
        private final ListReader lists = new ListReader(membership, config);
        /** Of the list at hand. */
        private long listBytes;
        private ScheduledFuture<?> silence;
        private final DiscoveryCall call;

        Watch(DiscoveryCall call) throws IOException {
            this.call = call;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            call.connected();
            String from = version < 0 ? "" : "&index=" + version;
            DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/catalog/members?stream=1" + from);
            get.headers().set(HttpHeaderNames.HOST, ctx.channel().remoteAddress().toString().substring(1));
            ctx.writeAndFlush(get);
            restartSilenceTimer(ctx, ANSWER_MS);
        }

        /** A discovery that is cut off leaves the watch open and silent: give it up. */
        private void restartSilenceTimer(ChannelHandlerContext ctx, long nextMs) {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(() -> {
                close(ctx, "silent for " + nextMs + " ms");
            }, nextMs, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (ctx.channel() != watch) {
                return; // given up: what is left of it comes again on the next
            }
            if (message.decoderResult().isFailure()) {
                close(ctx, "no HTTP: " + message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpResponse r) {
                call.answered(r.status());
                if (!r.status().equals(HttpResponseStatus.OK)) {
                    close(ctx, "refused with " + r.status().code());
                    return;
                }
                restartSilenceTimer(ctx, silenceMs);
            }
            if (message instanceof HttpContent content) {
                read(ctx, content.content());
            }
            if (message instanceof LastHttpContent) {
                close(ctx, "the answer has ended");
            }
        }

        private void close(ChannelHandlerContext ctx, String reason) {
            call.reason(reason);
            ctx.close();
        }

        private void read(ChannelHandlerContext ctx, ByteBuf bytes) {
            // An empty line is a sign of life between lists; inside one it brings that no nearer to its end.
            boolean blank = bytes.forEachByte(b -> b >= 0 && b <= ' ') < 0;
            if (lists.between() || !blank) {
                restartSilenceTimer(ctx, silenceMs);
            }
            if (lists.between() && version >= 0) {
                confirmedAt = System.nanoTime();
            }
            try {
                stream.feed(ByteBufUtil.getBytes(bytes), (parser, token) -> {
                    ListUpdate listUpdate = lists.take(parser, token);
                    if (listUpdate != null) {
                        take(listUpdate);
                    }
                });
                listBytes = lists.between() ? 0 : listBytes + bytes.readableBytes();
                if (listBytes > room) {
                    throw new TooLargeException("more than " + room / 1_000_000 + " MB of text");
                }
            } catch (TooLargeException | StreamConstraintsException e) {
                refused = true;
                Log.line("a list of discovery is too large, the old one stands: " + firstLine(e));
                close(ctx, "its list is too large");
            } catch (IOException | IllegalArgumentException e) {
                // It may have been news: only a new watch from the last version is sure to bring it.
                Log.line("a list of discovery is not understood: " + firstLine(e));
                close(ctx, "its list is not understood");
            }
        }

        private void take(ListUpdate listUpdate) {
            call.list(version, listUpdate);
            confirmedAt = System.nanoTime();
            version = listUpdate.version();
            pauseMs = FIRST_PAUSE_MS;
            listener.onListUpdate(listUpdate);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws IOException {
            silence.cancel(false);
            stream.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            close(ctx, "broken: " + cause);
        }
    }

    /** How many backends have a number. */
    int numbered() {
        return membership.size();
    }

    /** FNV-1a, its bits mixed well. */
    static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 32) * 0x9e3779b97f4a7c15L;
        return h ^ h >>> 29;
    }

    /** The version that a watch starts after, once the known list has been taken. */
    void startFrom(long known) {
        version = known;
    }
}
