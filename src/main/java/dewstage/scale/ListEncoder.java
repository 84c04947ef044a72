package dewstage.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Encodes a list once, including the framing of a chunked response: all watches send slices of the same
 * direct buffer.
 */
final class ListEncoder {
    private static final JsonFactory JSON = new JsonFactory();
    /** Size of a chunk; a few dozen entries make up about one read from a socket. */
    private static final int CHUNK_BYTES = 64 << 10;
    private static final byte[] CRLF = {'\r', '\n'};

    private ListEncoder() { }

    /** Encodes a list as one line of JSON in HTTP chunks; the caller releases the buffer. */
    static ByteBuf encode(long generation, boolean isFull, Iterable<Backend> backends) {
        ByteBuf buffer = Unpooled.directBuffer();
        try (OutputStream chunks = new ChunkedOutputStream(buffer);
                JsonGenerator generator = JSON.createGenerator(chunks)) {
            generator.writeStartObject();
            generator.writeNumberField("generation", generation);
            generator.writeBooleanField("reset", isFull);
            generator.writeArrayFieldStart("instances");
            for (Backend backend : backends) {
                writeEntry(generator, backend);
            }
            generator.writeEndArray();
            generator.writeEndObject();
            generator.writeRaw('\n');
        } catch (IOException e) {
            throw new AssertionError("failed to write to a buffer", e);
        }
        return buffer;
    }

    private static void writeEntry(JsonGenerator generator, Backend backend) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("instanceId", backend.id());
        generator.writeStringField("hostPort", backend.hostPort());
        generator.writeStringField("zone", backend.zone());
        generator.writeStringField("machineType", backend.kind());
        generator.writeNumberField("cell", backend.cell());
        generator.writeStringField("lifecycle", backend.lifecycle());
        generator.writeNumberField("weight", backend.weight());
        generator.writeNumberField("startedAtMs", backend.startedAtMs());
        generator.writeEndObject();
    }

    /** Writes its input as HTTP chunks. */
    private static final class ChunkedOutputStream extends OutputStream {
        private final ByteBufOutputStream target;
        private final byte[] chunk = new byte[CHUNK_BYTES];
        private int chunkLength;

        ChunkedOutputStream(ByteBuf target) {
            this.target = new ByteBufOutputStream(target);
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int start, int length) throws IOException {
            int position = start;
            for (int remaining = length; remaining > 0;) {
                int copied = Math.min(remaining, CHUNK_BYTES - chunkLength);
                System.arraycopy(bytes, position, chunk, chunkLength, copied);
                chunkLength += copied;
                position += copied;
                remaining -= copied;
                if (chunkLength == CHUNK_BYTES) {
                    endChunk();
                }
            }
        }

        private void endChunk() throws IOException {
            if (chunkLength > 0) { // an empty chunk would end the response
                target.write((Integer.toHexString(chunkLength) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                target.write(chunk, 0, chunkLength);
                target.write(CRLF);
                chunkLength = 0;
            }
        }

        @Override
        public void close() throws IOException {
            endChunk();
            target.close();
        }
    }
}
