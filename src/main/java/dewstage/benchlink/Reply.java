package dewstage.benchlink;

import dewstage.Balancer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The reply to one batch: action records of 24 bytes, followed by the tail that they refer to. */
final class Reply {
    static final int RECORD_BYTES = 24;

    private ByteBuffer records = ByteBuffer.allocate(1 << 14).order(ByteOrder.LITTLE_ENDIAN);
    private byte[] tail = new byte[1 << 10];
    private int tailLength;

    /** Returns the actions of one instance; each record carries the instance's number. */
    Balancer.Actions forInstance(int instanceId) {
        return new Balancer.Actions() {
            @Override
            public void send(int ticket, int server, long timeoutNs) {
                padRecord(beginRecord(65, instanceId)
                        .putInt(ticket)
                        .putInt(server)
                        .putLong(timeoutNs));
            }

            @Override
            public void refuse(int ticket, long retryInNs) {
                padRecord(beginRecord(66, instanceId).putInt(ticket).putLong(retryInNs));
            }

            @Override
            public void fail(int ticket) {
                padRecord(beginRecord(67, instanceId).putInt(ticket));
            }

            @Override
            public void cancel(int ticket, int attempt) {
                padRecord(beginRecord(68, instanceId).putInt(ticket).putShort((short) attempt));
            }

            @Override
            public void timer(long at, long token) {
                padRecord(beginRecord(69, instanceId).putLong(at).putLong(token));
            }

            @Override
            public void probe(int server) {
                padRecord(beginRecord(70, instanceId).putInt(server));
            }

            @Override
            public void closeIdle(int server) {
                padRecord(beginRecord(71, instanceId).putInt(server));
            }

            @Override
            public void tell(int peer, byte[] message) {
                padRecord(appendTail(beginRecord(72, instanceId).putInt(peer), message));
            }

            @Override
            public void log(String line) {
                padRecord(appendTail(beginRecord(73, instanceId), line.getBytes(StandardCharsets.UTF_8)));
            }

            @Override
            public void subscribe(boolean on) {
                padRecord(beginRecord(75, instanceId).put((byte) (on ? 1 : 0)));
            }

            @Override
            public void reload() {
                padRecord(beginRecord(76, instanceId));
            }
        };
    }

    /** Appends an action that reports an exception thrown by the module of an instance. */
    void exception(int instanceId, String text) {
        padRecord(appendTail(beginRecord(74, instanceId), text.getBytes(StandardCharsets.UTF_8)));
    }

    private ByteBuffer beginRecord(int code, int instanceId) {
        if (records.remaining() < RECORD_BYTES) {
            records = ByteBuffer.wrap(Arrays.copyOf(records.array(), records.capacity() * 2))
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .position(records.position());
        }
        return records.put((byte) code).putInt(instanceId);
    }

    /** Appends content to the tail and its offset and length to the record. */
    private ByteBuffer appendTail(ByteBuffer record, byte[] content) {
        if (tail.length - tailLength < content.length) {
            tail = Arrays.copyOf(tail, Math.max(tail.length * 2, tailLength + content.length));
        }
        System.arraycopy(content, 0, tail, tailLength, content.length);
        record.putInt(tailLength).putInt(content.length);
        tailLength += content.length;
        return record;
    }

    /** Fills the record with zeros up to its full length. */
    private void padRecord(ByteBuffer record) {
        while (record.position() % RECORD_BYTES != 0) {
            record.put((byte) 0);
        }
    }

    /** Writes the frame, flushes the stream and clears the buffers for the next batch. */
    void writeTo(OutputStream out) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN);
        header.putInt(records.position() / RECORD_BYTES).putInt(records.position() + tailLength);
        out.write(header.array());
        out.write(records.array(), 0, records.position());
        out.write(tail, 0, tailLength);
        out.flush();
        records.clear();
        tailLength = 0;
    }
}
