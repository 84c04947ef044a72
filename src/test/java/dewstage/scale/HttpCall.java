package dewstage.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A raw HTTP call to discovery whose response is read chunk by chunk. */
final class HttpCall implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 20_000;

    private final Socket socket = new Socket();
    private final BufferedReader in;

    HttpCall(InetSocketAddress address, String pathAndQuery) throws IOException {
        socket.setReceiveBufferSize(16 << 10); // small, so that unread data stays with the sender
        socket.connect(address, READ_TIMEOUT_MS);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        socket.getOutputStream().write(("GET " + pathAndQuery + " HTTP/1.1\r\nHost: d\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads the status line and skips the headers; returns null if the connection has ended. */
    String status() throws IOException {
        String statusLine = in.readLine();
        for (String line = statusLine; line != null && !line.isEmpty();) {
            line = in.readLine();
        }
        return statusLine;
    }

    /** Reads the next chunk: empty at the end of the response, null if the connection has ended. */
    String chunk() throws IOException {
        String size = in.readLine();
        if (size == null) {
            return null;
        }
        char[] text = new char[Integer.parseInt(size, 16)];
        for (int filled = 0; filled < text.length;) {
            int count = in.read(text, filled, text.length - filled);
            if (count < 0) {
                return null;
            }
            filled += count;
        }
        in.readLine();
        return new String(text);
    }

    /** Reads the next non-empty line from one or more chunks; returns null if the connection has ended. */
    String line() throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.isEmpty() || line.charAt(line.length() - 1) != '\n') {
            String chunk = chunk();
            if (chunk == null) {
                return null;
            }
            line.append(line.isEmpty() && chunk.equals("\n") ? "" : chunk);
        }
        return line.toString();
    }

    /** Returns whether nothing is received for the given time. */
    boolean receivesNothingFor(int durationMs) throws IOException {
        socket.setSoTimeout(durationMs);
        try {
            in.mark(1);
            in.read();
            in.reset();
            return false;
        } catch (java.net.SocketTimeoutException e) {
            return true;
        } finally {
            socket.setSoTimeout(READ_TIMEOUT_MS);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
