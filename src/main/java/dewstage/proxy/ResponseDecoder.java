package dewstage.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes one response per request and reports every byte outside of a response, so that surplus bytes are
 * never taken for the response to the next request.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Receives the protocol errors that the decoder cannot express as messages. */
    interface Listener {
        /** Received bytes that do not start a response, or while no response was expected. */
        void onUnexpectedBytes();

        /** Received bytes after a complete response; if they start another one, the first did end there. */
        void onTrailingBytes(boolean startsAnotherResponse);
    }

    private static final byte[] RESPONSE_PREFIX = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_LINE_BYTES = 1024;
    static final int MAX_HEAD_BYTES = 8 << 10;

    private enum Expected { NOTHING, RESPONSE_START, RESPONSE_REMAINDER, AFTER_RESPONSE }

    private final Listener listener;
    private final HeadMemory headMemory = new HeadMemory();
    private Expected expected = Expected.NOTHING;

    ResponseDecoder(Listener listener) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES));
        this.listener = listener;
    }

    /** Expects a response: to the request that is being written, or after an interim response. */
    void expectResponse() {
        expected = Expected.RESPONSE_START;
        headMemory.reset();
    }

    /** The final response is complete: further bytes of the same read are trailing bytes. */
    void responseComplete() {
        expected = Expected.AFTER_RESPONSE;
    }

    /** Expects no bytes until the next request. */
    void expectNothing() {
        expected = Expected.NOTHING;
    }

    /** Heap of the current head and of the bytes that have been read and not yet decoded. */
    long heldBytes() {
        return headMemory.bytes() + internalBuffer().capacity();
    }

    private void decodeResponse(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int readableBefore = in.readableBytes();
        super.decode(ctx, in, out);
        headMemory.onDecoded(readableBefore - in.readableBytes(), !out.isEmpty());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        switch (expected) {
            case NOTHING -> {
                in.skipBytes(in.readableBytes());
                listener.onUnexpectedBytes();
            }
            case AFTER_RESPONSE -> {
                boolean startsAnotherResponse =
                        hasResponsePrefix(in) && in.readableBytes() >= RESPONSE_PREFIX.length;
                in.skipBytes(in.readableBytes());
                listener.onTrailingBytes(startsAnotherResponse);
            }
            case RESPONSE_START -> {
                if (!hasResponsePrefix(in)) {
                    in.skipBytes(in.readableBytes());
                    listener.onUnexpectedBytes();
                } else if (in.readableBytes() >= RESPONSE_PREFIX.length) {
                    expected = Expected.RESPONSE_REMAINDER;
                    decodeResponse(ctx, in, out);
                }
            }
            default -> decodeResponse(ctx, in, out);
        }
    }

    /** Rejects a header line without a colon, which Netty would accept as a name without a value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        checkColon(line, start + length);
        headMemory.onHeader();
        return super.splitHeaderName(line, start, length);
    }

    static void checkColon(byte[] line, int colonIndex) {
        if (colonIndex >= line.length || line[colonIndex] != ':') {
            throw new IllegalArgumentException("header line without a colon after its name");
        }
    }

    /** Whether the readable bytes match the prefix, as far as they go. */
    private static boolean hasResponsePrefix(ByteBuf in) {
        for (int i = 0; i < Math.min(RESPONSE_PREFIX.length, in.readableBytes()); i++) {
            if (in.getByte(in.readerIndex() + i) != RESPONSE_PREFIX[i]) {
                return false;
            }
        }
        return true;
    }
}
