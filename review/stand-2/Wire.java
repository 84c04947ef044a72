import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads HTTP/1.1 messages from a blocking stream, for clients, backends and discovery alike. */
final class Wire {
    /** A message: its first line, its header lines and its body. */
    record Message(String first, List<String> headers, String body) {
        String header(String name) {
            for (String line : headers) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).trim().equalsIgnoreCase(name)) {
                    return line.substring(colon + 1).trim();
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    private Wire() { }

    /** Returns null if the stream ends before the first byte; throws EOFException if it ends later. */
    static Message read(InputStream in) throws IOException {
        String first = line(in, true);
        if (first == null) {
            return null;
        }
        List<String> headers = new ArrayList<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            headers.add(line);
        }
        Message head = new Message(first, headers, "");
        String encoding = head.header("Transfer-Encoding");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
            for (int size = size(in); size > 0; size = size(in)) {
                copy(in, size, body);
                line(in, false);
            }
            while (!line(in, false).isEmpty()) { }
        } else if (head.header("Content-Length") != null) {
            copy(in, Integer.parseInt(head.header("Content-Length")), body);
        }
        return new Message(first, headers, body.toString(StandardCharsets.ISO_8859_1));
    }

    private static int size(InputStream in) throws IOException {
        return Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
    }

    private static void copy(InputStream in, int count, ByteArrayOutputStream to) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the body is cut off");
        }
        to.write(bytes);
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("a line is cut off");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
