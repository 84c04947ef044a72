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
 * One call to discovery and the watch that its answer starts: a stream of JSON lists in a chunked response. A
 * list takes effect only once it is complete. All methods run on one event loop.
 */
final class DiscoveryWatch extends SimpleChannelInboundHandler<HttpObject> {
    /** Why a watch ended; OPEN until then. */
    enum EndReason {
        OPEN,
        CLOSED_BY_US,
        CONNECTION_REFUSED,
        CONNECTION_TIMED_OUT,
        /** For a local reason. */
        NOT_CONNECTED,
        NO_DESCRIPTOR,
        REFUSED,
        STALLED,
        INVALID,
        TOO_LARGE,
        CLOSED_BY_PEER;

        private static EndReason of(ConnectFailure failure) {
            return switch (failure) {
                case REFUSED -> CONNECTION_REFUSED;
                case TIMED_OUT -> CONNECTION_TIMED_OUT;
                case LOCAL -> NOT_CONNECTED;
            };
        }

        /** Why the connection did not come up; null if it did, or if it was not tried. */
        ConnectFailure connectFailure() {
            return switch (this) {
                case CONNECTION_REFUSED -> ConnectFailure.REFUSED;
                case CONNECTION_TIMED_OUT -> ConnectFailure.TIMED_OUT;
                case NOT_CONNECTED -> ConnectFailure.LOCAL;
                default -> null;
            };
        }
    }

    /** Receives the events of a watch, none of them after its end. */
    interface Owner {
        /** Discovery has accepted the connection. */
        void onConnected(DiscoveryWatch source);

        /** The head of a successful answer has been received. */
        void onAnswered(DiscoveryWatch source);

        /** A heartbeat has been received between two lists. */
        void onHeartbeat(DiscoveryWatch source);

        void onList(DiscoveryWatch source, Discovery.ListUpdate update);

        /** The stream ended within a list; the update holds the part that applies nevertheless. */
        void onListTruncated(Discovery.ListUpdate leaving);

        /** Called once. */
        void onEnded(DiscoveryWatch source, EndReason reason);
    }

    private final EventLoop loop;
    private final Owner owner;
    private final InetSocketAddress address;
    /** Version of the last list; before the first one, the requested version, or -1 for the whole list. */
    private long version;
    private final long stallTimeoutMs;
    private final long maxListBytes;
    private final DiscoveryCallLog callLog;
    private final ListReader listReader;
    private final Json.TokenStream stream;
    private final long openedAtNs = System.nanoTime();
    private Channel channel;
    private boolean isConnected;
    private boolean isAnswered;
    /** Whether a list or a heartbeat has been received. */
    private boolean hasDelivered;
    /** Whether the watch ended between two lists, so that nothing is known to be missing. */
    private boolean wasUpToDate;
    private EndReason endReason = EndReason.OPEN;
    /** Bytes received of the current list. */
    private long listBytes;
    private ScheduledFuture<?> stallTimer;

    /**
     * Prepares a call; {@link #open} makes it.
     *
     * @param fromVersion the version after which changes are requested; -1 for the whole list
     * @param stallTimeoutMs an answered watch that receives no data for this long ends as stalled
     * @param maxListBytes limit of the text of one list
     */
    DiscoveryWatch(EventLoop loop, Owner owner, InetSocketAddress address, long fromVersion,
            long stallTimeoutMs, long maxListBytes, ListReader listReader, DiscoveryCallLog callLog) {
        this.loop = loop;
        this.owner = owner;
        this.address = address;
        this.version = fromVersion;
        this.stallTimeoutMs = stallTimeoutMs;
        this.maxListBytes = maxListBytes;
        this.listReader = listReader;
        this.callLog = callLog;
        try {
            this.stream = new Json.TokenStream();
        } catch (IOException e) {
            throw new AssertionError("nothing has been read yet", e);
        }
    }

    /** Connects and sends the request. The owner may be notified of the end before this method returns. */
    void open(int connectTimeoutMs) {
        ChannelFuture connect = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpClientCodec(), DiscoveryWatch.this);
                    }
                }).connect(address);
        channel = connect.channel();
        if (Sockets.hasNoDescriptor(connect)) {
            Log.line("discovery cannot be called: " + connect.cause());
            end(EndReason.NO_DESCRIPTOR, "no descriptor");
            return;
        }
        // When a connect is refused, the close future may complete before the connect future.
        channel.closeFuture().addListener(f -> {
            if (isConnected) {
                end(EndReason.CLOSED_BY_PEER, "closed by discovery");
            } else {
                endNotConnected(connect.cause());
            }
        });
        connect.addListener(f -> {
            if (!f.isSuccess()) {
                endNotConnected(f.cause());
            }
        });
    }

    private void endNotConnected(Throwable cause) {
        end(EndReason.of(ConnectFailure.of(cause)), "cannot connect: " + cause);
    }

    /** Closes the watch without notifying the owner. */
    void close(String reason) {
        if (endReason == EndReason.OPEN) {
            endReason = EndReason.CLOSED_BY_US;
            callLog.ended(reason);
            release();
        }
    }

    /** Ends the watch as stalled and notifies the owner. */
    void giveUp(String reason) {
        end(EndReason.STALLED, reason);
    }

    /** Whether a successful answer has begun. */
    boolean isAnswered() {
        return isAnswered;
    }

    /** Whether the watch, which has ended, had delivered all that is known to have been due. */
    boolean wasUpToDate() {
        return wasUpToDate;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Time since the call was created. */
    long ageNs() {
        return System.nanoTime() - openedAtNs;
    }

    private void end(EndReason reason, String details) {
        if (endReason == EndReason.OPEN) {
            endReason = reason;
            wasUpToDate = hasDelivered && listReader.isBetweenLists() && hasOnlyValidLists();
            callLog.ended(details);
            release();
            reportTruncatedList();
            owner.onEnded(this, reason);
        }
    }

    /** Reports the usable part of an unfinished list, but nothing of one that is invalid or too large. */
    private void reportTruncatedList() {
        if (hasOnlyValidLists()) {
            Discovery.ListUpdate leaving = listReader.endTruncated(version);
            if (leaving != null) {
                owner.onListTruncated(leaving);
            }
        }
    }

    private boolean hasOnlyValidLists() {
        return endReason == EndReason.CLOSED_BY_PEER || endReason == EndReason.STALLED;
    }

    private void release() {
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        if (channel != null && endReason != EndReason.NO_DESCRIPTOR) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        isConnected = true;
        callLog.connected();
        owner.onConnected(this);
        String from = version < 0 ? "" : "&index=" + version;
        DefaultFullHttpRequest get = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                "/catalog/members?stream=1" + from);
        get.headers().set(HttpHeaderNames.HOST, ctx.channel().remoteAddress().toString().substring(1));
        ctx.writeAndFlush(get);
    }

    /** Detects a discovery that is cut off from the network: the connection stays open without data. */
    private void restartStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        stallTimer = loop.schedule(() -> end(EndReason.STALLED, "no data for " + stallTimeoutMs + " ms"),
                stallTimeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (endReason != EndReason.OPEN) {
            return; // the next watch receives the remaining changes
        }
        if (message.decoderResult().isFailure()) {
            end(EndReason.INVALID, "invalid HTTP: " + message.decoderResult().cause());
        } else if (message instanceof HttpResponse r) {
            onResponse(r.status());
        }
        if (endReason == EndReason.OPEN && message instanceof HttpContent content) {
            read(content.content());
        }
        if (endReason == EndReason.OPEN && message instanceof LastHttpContent) {
            end(EndReason.CLOSED_BY_PEER, "the answer has ended");
        }
    }

    private void onResponse(HttpResponseStatus status) {
        callLog.answered(status);
        if (!status.equals(HttpResponseStatus.OK)) {
            end(EndReason.REFUSED, "refused with " + status.code());
            return;
        }
        isAnswered = true;
        restartStallTimer();
        owner.onAnswered(this);
    }

    private void read(ByteBuf bytes) {
        // An empty line is a heartbeat between lists. Within a list it does not count as progress.
        boolean isBlank = bytes.forEachByte(b -> b >= 0 && b <= ' ') < 0;
        boolean isBetweenLists = listReader.isBetweenLists();
        if (isBetweenLists || !isBlank) {
            restartStallTimer();
        }
        if (isBetweenLists && isBlank && bytes.isReadable()) {
            hasDelivered = true;
            owner.onHeartbeat(this);
        }
        try {
            stream.feed(ByteBufUtil.getBytes(bytes), (parser, token) -> {
                Discovery.ListUpdate update = listReader.accept(parser, token);
                if (update != null && endReason == EndReason.OPEN) {
                    callLog.listReceived(version, update);
                    version = update.version();
                    hasDelivered = true;
                    owner.onList(this, update);
                }
            });
            listBytes = listReader.isBetweenLists() ? 0 : listBytes + bytes.readableBytes();
            if (listBytes > maxListBytes) {
                throw new TooLargeException("more than " + maxListBytes / 1_000_000 + " MB of text");
            }
        } catch (TooLargeException | StreamConstraintsException e) {
            Log.line("a list from discovery is too large, keeping the current one: " + Json.firstLine(e));
            end(EndReason.TOO_LARGE, "its list is too large");
        } catch (IOException | IllegalArgumentException e) {
            // The invalid list may contain a change; a new watch from the last version delivers it again.
            Log.line("invalid list from discovery: " + Json.firstLine(e));
            end(EndReason.INVALID, "its list is invalid");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws IOException {
        stream.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        end(EndReason.CLOSED_BY_PEER, "connection failed: " + cause);
    }
}
