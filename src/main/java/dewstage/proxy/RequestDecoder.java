package dewstage.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes requests, and nothing after a malformed one: its end is unknown, so bytes after it could be a
 * smuggled request. Netty itself rejects a request with both Content-Length and Transfer-Encoding.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_HEAD_BYTES = 8 << 10;

    private boolean discarding;
    private boolean inRequest;

    RequestDecoder() {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Discards all further input. */
    void discardInput() {
        discarding = true;
    }

    /** Whether a request has begun and is not complete. */
    boolean inRequest() {
        return inRequest;
    }

    void requestComplete() {
        inRequest = false;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        if (discarding) {
            in.skipBytes(in.readableBytes());
        } else {
            inRequest |= in.getByte(in.readerIndex()) > ' '; // empty lines do not start a request
            super.decode(ctx, in, out);
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        ResponseDecoder.checkColon(line, start + length);
        return super.splitHeaderName(line, start, length);
    }
}
