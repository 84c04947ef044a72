package dewstage.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes requests, and nothing after a malformed one: its end is unknown, so bytes after it could be a
 * smuggled request. Netty itself rejects a request with both Content-Length and Transfer-Encoding.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 8 << 10;
    /** The parser's buffer for a line is part of the memory of a connection up to this size. */
    private static final int USUAL_LINE_BUFFER_BYTES = 1 << 10;

    private final HeadMemory headMemory = new HeadMemory();
    private ChannelHandlerContext context;
    private boolean reading;
    private boolean discarding;
    private boolean inRequest;
    private int lineBufferBytes;
    private int readCount;

    RequestDecoder() {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Discards all further input, and what has been received of a request. */
    void discardInput() {
        if (discarding) {
            return;
        }
        discarding = true;
        if (!reading && context != null) {
            releaseInput();
        }
    }

    /** Whether a request has begun and is not complete. */
    boolean inRequest() {
        return inRequest;
    }

    void requestComplete() {
        inRequest = false;
        headMemory.reset();
    }

    /** Number of reads of the socket so far. */
    int readCount() {
        return readCount;
    }

    /** Heap of the head of the current request. */
    long headBytes() {
        return headMemory.bytes();
    }

    /** Heap of the bytes that have been read and not yet decoded. */
    long undecodedBytes() {
        return internalBuffer().capacity();
    }

    /** Heap that the parser keeps as long as the connection is open, if a line was long; 0 otherwise. */
    long retainedBytes() {
        return lineBufferBytes > USUAL_LINE_BUFFER_BYTES ? lineBufferBytes : 0;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        readCount++;
        reading = true;
        try {
            super.channelRead(ctx, message);
        } finally {
            reading = false;
        }
        if (discarding && inRequest) {
            releaseInput();
        }
    }

    /** Drops the head and the bytes of an unfinished request, which Netty would keep until the close. */
    private void releaseInput() {
        requestComplete();
        reset(); // takes effect at the next decoding
        internalBuffer().skipBytes(internalBuffer().readableBytes());
        try {
            super.decode(context, Unpooled.EMPTY_BUFFER, new ArrayList<>());
            super.channelRead(context, Unpooled.EMPTY_BUFFER); // frees a buffer that has been read
        } catch (Exception e) {
            throw new IllegalStateException("an empty buffer was decoded", e);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (discarding) {
            in.skipBytes(in.readableBytes());
            return;
        }
        inRequest |= in.getByte(in.readerIndex()) > ' '; // empty lines do not start a request
        int readableBefore = in.readableBytes();
        super.decode(ctx, in, out);
        headMemory.onDecoded(readableBefore - in.readableBytes(), !out.isEmpty());
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        ResponseDecoder.checkColon(line, start + length);
        headMemory.onHeader();
        lineBufferBytes = line.length; // the parser's own buffer, which grows with the longest line
        return super.splitHeaderName(line, start, length);
    }
}
