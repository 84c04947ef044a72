package dewstage.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/**
 * One frame of events: a clock in ns, records of 48 bytes and a tail that they refer to. Tail references are checked
 * against the bounds of the frame.
 */
final class Batch {
    static final int HEADER_BYTES = 16;
    static final int RECORD_BYTES = 48;

    final long clockNs;
    final int recordCount;
    private final ByteBuffer body;
    private final int tailStart;

    private Batch(long clockNs, int recordCount, byte[] body) {
        this.clockNs = clockNs;
        this.recordCount = recordCount;
        this.body = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        this.tailStart = recordCount * RECORD_BYTES;
    }

    /**
     * Reads the next frame; returns null if the input ends between frames.
     *
     * @throws WireException if the input ends inside a frame or the lengths in its header are invalid
     */
    static Batch read(InputStream in) throws IOException {
        byte[] headerBytes = in.readNBytes(HEADER_BYTES);
        if (headerBytes.length == 0) {
            return null;
        }
        if (headerBytes.length < HEADER_BYTES) {
            throw new WireException("input ends inside a frame header");
        }
        ByteBuffer header = ByteBuffer.wrap(headerBytes).order(ByteOrder.LITTLE_ENDIAN);
        long length = Integer.toUnsignedLong(header.getInt());
        long recordCount = Integer.toUnsignedLong(header.getInt());
        if (recordCount * RECORD_BYTES > length) {
            throw new WireException(recordCount + " records do not fit in a frame of " + length + " bytes");
        }
        if (length > Integer.MAX_VALUE - 64) {
            throw new WireException("frame length of " + length + " bytes exceeds the maximum");
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new WireException("input ends inside a frame");
        }
        return new Batch(header.getLong(), (int) recordCount, body);
    }

    int u8(int offset) {
        return body.get(offset) & 0xff;
    }

    int u16(int offset) {
        return body.getShort(offset) & 0xffff;
    }

    int i32(int offset) {
        return body.getInt(offset);
    }

    long i64(int offset) {
        return body.getLong(offset);
    }

    float f32(int offset) {
        return body.getFloat(offset);
    }

    /**
     * Resolves the tail reference at an offset to a position in the frame body.
     *
     * @param entryBytes size of one referenced entry
     * @throws WireException if the reference exceeds the tail
     */
    int tail(int offset, int entryBytes) {
        long tailOffset = Integer.toUnsignedLong(body.getInt(offset));
        long referencedBytes = Integer.toUnsignedLong(body.getInt(offset + 4)) * entryBytes;
        if (tailOffset + referencedBytes > body.capacity() - tailStart) {
            throw new WireException("tail reference of " + referencedBytes + " bytes at " + tailOffset
                    + " exceeds the tail of " + (body.capacity() - tailStart) + " bytes");
        }
        return tailStart + (int) tailOffset;
    }

    byte[] bytes(int offset) {
        int start = tail(offset, 1);
        return Arrays.copyOfRange(body.array(), start, start + body.getInt(offset + 4));
    }
}
