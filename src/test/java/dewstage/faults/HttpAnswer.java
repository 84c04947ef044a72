package dewstage.faults;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reads answers with a Content-Length, as the proxy writes them. */
final class HttpAnswer {
    private static final String LENGTH_HEADER = "content-length:";

    private HttpAnswer() {}

    /** Returns the next answer with its body; empty if the stream ends before it is complete. */
    static String read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.US_ASCII);
        int length = contentLength(text);
        byte[] body = in.readNBytes(length);
        return body.length < length ? "" : text + new String(body, StandardCharsets.US_ASCII);
    }

    /** Returns the status of an answer that is not empty. */
    static int status(String answer) {
        return Integer.parseInt(answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    }

    private static int contentLength(String head) {
        return head.toLowerCase(Locale.ROOT)
                .lines()
                .filter(line -> line.startsWith(LENGTH_HEADER))
                .mapToInt(line ->
                        Integer.parseInt(line.substring(LENGTH_HEADER.length()).trim()))
                .findFirst()
                .orElse(0);
    }
}
