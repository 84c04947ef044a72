package dewstage.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.PreferHeapByteBufAllocator;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Buffers of all connections. They are on the heap, so the shares of the heap cover them: a pool of direct
 * memory would be a second memory with a limit of its own, and the runtime stops the event loop for half a
 * second at each allocation beyond that limit.
 */
final class HeapBuffers {
    static final ByteBufAllocator ALLOCATOR =
            new PreferHeapByteBufAllocator(new UnpooledByteBufAllocator(false));
    /** Also the most that a connection reads after its share is exceeded. */
    private static final int MAX_READ_BYTES = 8 << 10;
    private static final int INITIAL_BODY_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2 << 10;
    private static final int MIN_READ_BYTES = 64;

    private HeapBuffers() { }

    /** Returns an empty buffer for the body of a message; a body of known length will fill it exactly. */
    static ByteBuf newBody(HttpMessage head) {
        int maxBytes = HttpUtil.isTransferEncodingChunked(head)
                ? Backends.MAX_BODY_BYTES : (int) HttpUtil.getContentLength(head, 0L);
        return Unpooled.buffer(Math.min(INITIAL_BODY_BYTES, maxBytes), maxBytes);
    }

    /** Returns the bytes of a body; without a copy if they fill the buffer. */
    static byte[] toBytes(ByteBuf body) {
        return ByteBufUtil.getBytes(body, body.readerIndex(), body.readableBytes(), false);
    }

    /** Returns the sizing of read buffers for one connection. */
    static DefaultMaxMessagesRecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }
}
