package dewstage.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A client's connection. Requests are handled one at a time and pipelined ones are queued, up to a limit.
 * After a malformed request, or beyond that limit, an error response is sent and the connection is closed.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Receives complete requests and is notified of responses and of the close. */
    interface Owner {
        void onRequest(ClientConnection client, ClientRequest request, long arrivedAt);

        /** Part of a request has been received; the rest of it is missing. */
        void onPartialRequest(ClientConnection client);

        /** The partial request is complete, or has been discarded. */
        void onPartialRequestEnded(ClientConnection client);

        /** The client has sent bytes of requests, with which their memory may be exceeded. */
        void onRequestMemoryUsed(ClientConnection client);

        /** Called before a response is written; returns true to close the connection after it. */
        boolean onResponse(ClientConnection client, int status);

        void onClosed(ClientConnection client);

        long now();

        /** Returns the earliest time at which data that is read now may have arrived. */
        long earliestArrival();
    }

    /** Maximum number of queued requests per connection: enough for clients that pipeline. */
    static final int MAX_PIPELINED_REQUESTS = 16;
    /** A body of more parts than this must have parts of some size: each costs as much as a short request. */
    private static final int MAX_SMALL_CHUNKS = 1024;
    private static final int MIN_MEAN_CHUNK_BYTES = 8;
    /** Bounds the time for a client that goes on sending; more than the system buffers. */
    private static final int MAX_READ_PASSES = 64;
    private static final int REFUSED_STATUS = 503;
    private static final String REFUSED_TEXT = "too many requests in memory, try again";

    /** A complete request with the memory it uses, or the error response to one that is not handled. */
    private record QueuedRequest(ClientRequest request, long bytes, int status, String error, long arrivedAt,
            boolean keepAlive) {
        static QueuedRequest error(int status, String error, long arrivedAt, boolean keepAlive) {
            return new QueuedRequest(null, 0, status, error, arrivedAt, keepAlive);
        }
    }

    final long connectedAt;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final Owner owner;
    private final MemoryShare.Usage requestMemory;
    private final MemoryShare.Usage responseMemory;
    private final Deque<QueuedRequest> queue = new ArrayDeque<>();
    private HttpRequest requestHead;
    private ByteBuf body;
    /** Parts of the body that came in the same read as another one; slowly written ones do not count. */
    private int chunkCount;
    private int lastContentRead;
    private int reportedBodyCapacity;
    /** Memory of the request that is being handled. */
    private long openRequestBytes;
    private ClientRequest acceptedRequest;
    private boolean isForwarded;
    /** A request is being handled and has no response yet. */
    private boolean busy;
    /** The last response is not yet written to the socket. */
    private boolean responseInFlight;
    private boolean keepAlive;
    private boolean used;
    /** Further input is discarded: an error response or the close is pending. */
    private boolean closing;
    private long partialSince;
    private long idleSince;
    private long closingSince;

    ClientConnection(Channel channel, RequestDecoder decoder, MemoryShare.Usage requestMemory,
            MemoryShare.Usage responseMemory, Owner owner) {
        this.requestMemory = requestMemory;
        this.responseMemory = responseMemory;
        this.channel = channel;
        this.decoder = decoder;
        this.owner = owner;
        this.connectedAt = owner.now();
        this.idleSince = connectedAt;
    }

    /** Whether no request is open or partially read and the last response is written. */
    boolean isIdle() {
        return !busy && !responseInFlight && queue.isEmpty() && !hasPartialRequest();
    }

    /** Whether a valid request has been answered on this connection. */
    boolean isUsed() {
        return used;
    }

    boolean isBusy() {
        return busy;
    }

    /**
     * Checks whether the client is still connected. Reads the socket to its end first, since a close may be
     * unread behind any amount of data, and no attempt may start for a disconnected client.
     */
    boolean checkConnected() {
        int readsBefore;
        int passes = 0;
        do {
            readsBefore = decoder.readCount();
            Sockets.readPending(channel);
            passes++;
        } while (decoder.readCount() - readsBefore >= Frontend.MAX_READS_PER_LOOP && channel.isActive()
                && passes < MAX_READ_PASSES);
        return channel.isActive();
    }

    /** Records that the current request is valid and has been passed to the proxy. */
    void markAccepted(ClientRequest request) {
        acceptedRequest = request;
        isForwarded = false;
    }

    /** Records that an attempt of the accepted request is started. */
    void markForwarded() {
        isForwarded = true;
    }

    /** Whether an attempt of the accepted request was started. */
    boolean isForwarded() {
        return isForwarded;
    }

    /** Returns the accepted request that has no response yet, or null. */
    ClientRequest acceptedRequest() {
        return acceptedRequest;
    }

    private boolean hasPartialRequest() {
        return partialSince != 0;
    }

    /** Closes the connection immediately to free its descriptor. */
    void close() {
        channel.close();
    }

    /** Closes the connection unless a request is open on it, or arrived and is unread so far. */
    void closeIfIdle() {
        if (!closing && isIdle() && checkConnected() && isIdle()) {
            closeGracefully();
        }
    }

    /** Whether the proxy has closed its side, after all responses were written. */
    boolean hasEnded() {
        return closing && isIdle();
    }

    /** Closes a connection without an open request. */
    private void closeGracefully() {
        if (closing) {
            return;
        }
        stopReading(owner.now());
        halfClose();
    }

    /**
     * Closes the sending side; the connection is closed once the client closes it too, or on a timeout. A
     * full close with unread client data would reset the connection, which can discard a response in transit.
     */
    private void halfClose() {
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        } else {
            channel.close();
        }
    }

    /** Closes the connection if its request, its client's close or its next request is overdue. */
    void closeIfTimedOut(long now, long requestTimeoutNs, long responseTimeoutNs, long idleTimeoutNs) {
        if (closing) {
            if (now - closingSince > requestTimeoutNs && !busy) {
                channel.close(); // the client has not closed its side in time
            }
        } else if (hasPartialRequest() && now - partialSince > requestTimeoutNs) {
            rejectAndClose(408, "the request did not come in time");
        } else if (responseInFlight && now - idleSince > responseTimeoutNs) {
            channel.close(); // the client does not read its response
        } else if (now - idleSince > (used ? idleTimeoutNs : requestTimeoutNs)) {
            closeIfIdle();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (closing) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            boolean tooLong = message.decoderResult().cause() instanceof TooLongFrameException;
            rejectAndClose(tooLong ? 431 : 400, tooLong ? "the head is too long" : "malformed request");
            return;
        }
        if (message instanceof HttpRequest request && !startRequest(request)) {
            return;
        }
        if (message instanceof HttpContent content) {
            if (content.content().readableBytes() > body.maxWritableBytes()) {
                rejectAndClose(413, "the body is too long");
                return;
            }
            if (chunkCount > MAX_SMALL_CHUNKS && body.writerIndex() < MIN_MEAN_CHUNK_BYTES * chunkCount) {
                rejectAndClose(413, "too many chunks");
                return;
            }
            body.writeBytes(content.content());
            chunkCount += decoder.readCount() == lastContentRead ? 1 : 0;
            lastContentRead = decoder.readCount();
        }
        if (message instanceof LastHttpContent) {
            byte[] bytes = HeapBuffers.toBytes(body);
            enqueue(new QueuedRequest(
                    new ClientRequest(requestHead.method(), requestHead.uri(), requestHead.headers(), bytes),
                    decoder.headBytes() + bytes.length, 0, null, owner.earliestArrival(),
                    HttpUtil.isKeepAlive(requestHead)));
            requestHead = null;
            body = null;
            decoder.requestComplete();
        }
        if (message instanceof LastHttpContent) {
            onRequestBytes(); // each complete request counts, also of several in one read
        } else if (message instanceof HttpContent) {
            onContent();
        }
    }

    /** Reports received content if the memory for it has changed; a read may hold thousands of chunks. */
    private void onContent() {
        if (body.capacity() != reportedBodyCapacity) {
            reportedBodyCapacity = body.capacity();
            onRequestBytes();
        }
    }

    /** Reports received bytes of requests; their memory may have to be freed at once. */
    private void onRequestBytes() {
        if (closing) {
            return;
        }
        if (decoder.inRequest()) {
            owner.onPartialRequest(this);
        } else {
            owner.onPartialRequestEnded(this);
        }
        updateRequestMemory();
        owner.onRequestMemoryUsed(this);
    }

    private void updateRequestMemory() {
        long partialBytes = closing ? 0
                : decoder.headBytes() + decoder.undecodedBytes() + (body == null ? 0 : body.capacity());
        long queuedBytes = 0;
        for (QueuedRequest item : queue) {
            queuedBytes += item.bytes();
        }
        requestMemory.set(partialBytes + queuedBytes + openRequestBytes + decoder.retainedBytes());
    }

    /** Answers the partial request without waiting for the rest of it. */
    void refusePartialRequest() {
        rejectAndClose(REFUSED_STATUS, REFUSED_TEXT);
    }

    /** Answers the last queued request without handling it; returns false if there is none. */
    boolean refuseNewestRequest() {
        if (queue.isEmpty() || queue.peekLast().error() != null) {
            return false;
        }
        QueuedRequest refused = queue.pollLast();
        queue.add(QueuedRequest.error(REFUSED_STATUS, REFUSED_TEXT, refused.arrivedAt(),
                refused.keepAlive()));
        updateRequestMemory();
        return true;
    }

    /** Handles the head of a request; returns false if the request is rejected. */
    private boolean startRequest(HttpRequest receivedHead) {
        if (!receivedHead.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !receivedHead.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            rejectAndClose(505, "this is HTTP/1.1");
        } else if (HttpUtil.getContentLength(receivedHead, 0L) > Backends.MAX_BODY_BYTES) {
            rejectAndClose(413, "the body is too long"); // rejected unread: it may be arbitrarily long
        } else if (receivedHead.headers().contains(HttpHeaderNames.EXPECT)
                && !HttpUtil.is100ContinueExpected(receivedHead)) {
            rejectAndClose(417, "nothing to be expected but 100-continue");
        } else {
            if (HttpUtil.is100ContinueExpected(receivedHead) && !busy && queue.isEmpty()) {
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
            requestHead = receivedHead;
            chunkCount = 0;
            reportedBodyCapacity = 0;
            body = HeapBuffers.newBody(receivedHead);
            return true;
        }
        return false;
    }

    private void enqueue(QueuedRequest item) {
        if (queue.size() < MAX_PIPELINED_REQUESTS) {
            queue.add(item);
        } else {
            // Ordinary clients do not pipeline this many requests. None of the queued ones has been sent to a
            // backend, and their deadlines would expire in the queue.
            queue.clear();
            rejectAndClose(429, "too many requests at once on a connection");
        }
    }

    /** Queues an error response behind the queued requests; the connection is closed after it. */
    private void rejectAndClose(int status, String error) {
        stopReading(owner.now());
        queue.add(QueuedRequest.error(status, error, closingSince, false));
        updateRequestMemory();
        if (!busy) {
            channel.eventLoop().execute(this::handleNext);
        }
    }

    /** Discards the partial request and all further input. */
    private void stopReading(long now) {
        closing = true;
        closingSince = now;
        decoder.discardInput();
        requestHead = null;
        body = null;
        partialSince = 0;
        owner.onPartialRequestEnded(this);
    }

    /** Starts the next request only after all received requests have been queued and counted. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        onRequestBytes(); // also where not even a head is complete
        if (!closing && decoder.inRequest()) {
            // The timeout of a connection's first request runs from the accept, however slowly it is sent.
            partialSince = hasPartialRequest() ? partialSince : used || busy ? owner.now() : connectedAt;
        } else {
            partialSince = 0;
        }
        handleNext();
    }

    private void handleNext() {
        // The previous response must have been taken: responses to a client that reads none would add up.
        while (!busy && !responseInFlight && !queue.isEmpty() && channel.isActive()) {
            QueuedRequest item = queue.poll();
            openRequestBytes = item.bytes();
            busy = true;
            keepAlive = item.keepAlive();
            try {
                handle(item);
            } catch (RuntimeException | Error e) {
                onHandlingFailed(e);
            }
        }
    }

    private void handle(QueuedRequest item) {
        if (item.error() == null) {
            owner.onRequest(this, item.request(), item.arrivedAt());
        } else {
            respond(item.status(), null, item.error());
        }
    }

    /** Answers a request whose handling has failed; otherwise the connection would stay busy for good. */
    private void onHandlingFailed(Throwable failure) {
        Log.failure("a request could not be handled", failure);
        if (busy) {
            respond(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), null, "failed");
        } else {
            channel.close();
        }
    }

    /** Writes the final response to the current request; nothing is written to a disconnected client. */
    void respond(int status, HttpHeaders headers, byte[] content) {
        try {
            writeResponse(status, headers, content);
        } catch (RuntimeException | Error e) {
            channel.close(); // the client would wait in vain
            throw e;
        }
    }

    private void writeResponse(int status, HttpHeaders headers, byte[] content) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        if (headers != null) {
            ClientRequest.copyResponseHeaders(headers, response.headers());
        }
        HttpUtil.setContentLength(response, content.length);
        busy = false;
        openRequestBytes = 0;
        used |= acceptedRequest != null || status == 200;
        idleSince = owner.now();
        boolean retainsMemory = decoder.retainedBytes() > 0;
        // A client that sent no valid request may never close its side.
        boolean awaitsClientClose =
                acceptedRequest != null || status == REFUSED_STATUS && !retainsMemory;
        boolean freesMemory = retainsMemory && requestMemory.isShareHalfUsed();
        boolean hasNextRequest = !queue.isEmpty() || !closing && decoder.inRequest();
        boolean closeAfterResponse =
                (owner.onResponse(this, status) || freesMemory) && !hasNextRequest || !keepAlive;
        acceptedRequest = null;
        if (closeAfterResponse) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            stopReading(idleSince);
            queue.clear();
        }
        updateRequestMemory();
        responseInFlight = true;
        responseMemory.set(content.length + ResponseDecoder.MAX_HEAD_BYTES);
        channel.writeAndFlush(response).addListener(future -> {
            responseInFlight = false;
            responseMemory.set(0);
            if (closeAfterResponse && awaitsClientClose && future.isSuccess()) {
                halfClose();
            } else if (closeAfterResponse || !future.isSuccess()) {
                channel.close();
            } else if (!queue.isEmpty()) {
                channel.eventLoop().execute(this::handleNext);
            }
        });
    }

    void respond(int status, HttpHeaders headers, String text) {
        respond(status, headers, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        busy = false;
        body = null;
        queue.clear();
        openRequestBytes = 0;
        requestMemory.set(0);
        responseMemory.set(0);
        owner.onClosed(this);
        acceptedRequest = null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
