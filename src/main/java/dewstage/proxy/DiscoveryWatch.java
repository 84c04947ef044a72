package dewstage.proxy;

import com.fasterxml.jackson.core.exc.StreamConstraintsException;
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
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One call to discovery and the watch that its answer begins: JSON in a chunked answer. A list counts once
 * its end has come, however it is laid out. Everything happens on one event loop.
 */
final class DiscoveryWatch extends SimpleChannelInboundHandler<HttpObject> {
    /** Why a watch has ended; OPEN as long as it has not. */
    enum End {
        OPEN,
        CLOSED_BY_US,
        NOT_CONNECTED,
        NO_DESCRIPTOR,
        REFUSED,
        SILENT,
        UNUSABLE,
        TOO_LARGE,
        CLOSED_BY_PEER
    }

    /** Who hears of it; nothing is called any more once it has ended. */
    interface Owner {
        /** The answer has begun. */
        void answered(DiscoveryWatch watch);

        /** Discovery has shown, between two lists, that this watch is alive. */
        void alive(DiscoveryWatch watch);

        void listed(DiscoveryWatch watch, Discovery.ListUpdate update);

        /** A list has broken off; this is what of it counts all the same. */
        void brokenOff(Discovery.ListUpdate leaving);

        /** Called once. */
        void ended(DiscoveryWatch watch, End end);
    }

    private final EventLoop loop;
    private final Owner owner;
    private final InetSocketAddress address;
    /** After which changes are wanted, and then that of the last list; -1 for the whole list. */
    private long version;
    private final long silenceMs;
    private final long room;
    private final DiscoveryCall call;
    private final ListReader lists;
    private final Json.Stream stream;
    private final long openedAt = System.nanoTime();
    private Channel channel;
    private boolean connected;
    private boolean answered;
    private End end = End.OPEN;
    /** Of the list at hand. */
    private long listBytes;
    private ScheduledFuture<?> silence;

    /**
     * A call that is not made yet.
     *
     * @param fromVersion the version after which changes are wanted; -1 for the whole list
     * @param silenceMs once answered, a watch that brings nothing for so long has ended
     * @param room the text of one list may take so many bytes
     */
    DiscoveryWatch(EventLoop loop, Owner owner, InetSocketAddress address, long fromVersion, long silenceMs,
            long room, ListReader lists, DiscoveryCall call) {
        this.loop = loop;
        this.owner = owner;
        this.address = address;
        this.version = fromVersion;
        this.silenceMs = silenceMs;
        this.room = room;
        this.lists = lists;
        this.call = call;
        try {
            this.stream = new Json.Stream();
        } catch (IOException e) {
            throw new AssertionError("nothing has been read yet", e);
        }
    }

    /** Makes the call; the owner may hear of its end before this returns. */
    void open(int connectTimeoutMs) {
        ChannelFuture connect = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpClientCodec(), DiscoveryWatch.this);
                    }
                }).connect(address);
        channel = connect.channel();
        if (Sockets.hasNoDescriptor(connect)) {
            Log.line("discovery cannot be called: " + connect.cause());
            end(End.NO_DESCRIPTOR, "no descriptor");
            return;
        }
        // A refused connect may be heard of as the end of the channel first.
        channel.closeFuture().addListener(f -> {
            if (connected) {
                end(End.CLOSED_BY_PEER, "closed by discovery");
            } else {
                end(End.NOT_CONNECTED, "cannot connect: " + connect.cause());
            }
        });
        connect.addListener(f -> {
            if (!f.isSuccess()) {
                end(End.NOT_CONNECTED, "cannot connect: " + f.cause());
            }
        });
    }

    /** Ends it; the owner is not told. */
    void close(String reason) {
        if (end == End.OPEN) {
            end = End.CLOSED_BY_US;
            call.ended(reason);
            release();
        }
    }

    /** Ends it as one that has brought nothing for too long. */
    void giveUp(String reason) {
        end(End.SILENT, reason);
    }

    /** Has the answer begun? */
    boolean answered() {
        return answered;
    }

    InetSocketAddress address() {
        return address;
    }

    /** How long ago the call was made. */
    long ageNs() {
        return System.nanoTime() - openedAt;
    }

    private void end(End why, String reason) {
        if (end == End.OPEN) {
            end = why;
            call.ended(reason);
            release();
            breakOff();
            owner.ended(this, why);
        }
    }

    /** What cannot be read or is too large is no list at all. */
    private void breakOff() {
        if (end == End.CLOSED_BY_PEER || end == End.SILENT) {
            Discovery.ListUpdate leaving = lists.breakOff(version);
            if (leaving != null) {
                owner.brokenOff(leaving);
            }
        }
    }

    private void release() {
        if (silence != null) {
            silence.cancel(false);
        }
        if (end != End.NO_DESCRIPTOR) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        connected = true;
        call.connected();
        String from = version < 0 ? "" : "&index=" + version;
        DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                "/catalog/members?stream=1" + from);
        get.headers().set(HttpHeaderNames.HOST, ctx.channel().remoteAddress().toString().substring(1));
        ctx.writeAndFlush(get);
    }

    /** A discovery that is cut off leaves the watch open and silent. */
    private void restartSilenceTimer() {
        if (silence != null) {
            silence.cancel(false);
        }
        silence = loop.schedule(() -> end(End.SILENT, "silent for " + silenceMs + " ms"), silenceMs,
                TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (end != End.OPEN) {
            return; // what is left of it comes again on the next
        }
        if (message.decoderResult().isFailure()) {
            end(End.UNUSABLE, "no HTTP: " + message.decoderResult().cause());
        } else if (message instanceof HttpResponse r) {
            begin(r.status());
        }
        if (end == End.OPEN && message instanceof HttpContent content) {
            read(content.content());
        }
        if (end == End.OPEN && message instanceof LastHttpContent) {
            end(End.CLOSED_BY_PEER, "the answer has ended");
        }
    }

    private void begin(HttpResponseStatus status) {
        call.answered(status);
        if (!status.equals(HttpResponseStatus.OK)) {
            end(End.REFUSED, "refused with " + status.code());
            return;
        }
        answered = true;
        restartSilenceTimer();
        owner.answered(this);
    }

    private void read(ByteBuf bytes) {
        // An empty line is a sign of life between lists; inside one it brings that no nearer to its end.
        boolean blank = bytes.forEachByte(b -> b >= 0 && b <= ' ') < 0;
        boolean between = lists.between();
        if (between || !blank) {
            restartSilenceTimer();
        }
        if (between && blank && bytes.isReadable()) {
            owner.alive(this);
        }
        try {
            stream.feed(ByteBufUtil.getBytes(bytes), (parser, token) -> {
                Discovery.ListUpdate update = lists.take(parser, token);
                if (update != null && end == End.OPEN) {
                    call.list(version, update);
                    version = update.version();
                    owner.listed(this, update);
                }
            });
            listBytes = lists.between() ? 0 : listBytes + bytes.readableBytes();
            if (listBytes > room) {
                throw new TooLargeException("more than " + room / 1_000_000 + " MB of text");
            }
        } catch (TooLargeException | StreamConstraintsException e) {
            Log.line("a list of discovery is too large, the old one stands: " + Json.firstLine(e));
            end(End.TOO_LARGE, "its list is too large");
        } catch (IOException | IllegalArgumentException e) {
            // It may have been news: only a new watch from the last version is sure to bring it.
            Log.line("a list of discovery is not understood: " + Json.firstLine(e));
            end(End.UNUSABLE, "its list is not understood");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws IOException {
        stream.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        end(End.CLOSED_BY_PEER, "broken: " + cause);
    }
}
