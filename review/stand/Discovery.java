import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.util.List;

/** Discovery by the protocol page, with a list that does not change. */
final class Discovery {
    private static final long GENERATION = 1;
    private static final long HEARTBEAT_MS = 2000;

    final int port;
    private final List<String> entries;

    Discovery(List<String> entries) throws IOException {
        this.entries = List.copyOf(entries);
        this.port = Stand.listen("discovery", 0, this::serve).getLocalPort();
    }

    String list() {
        return Stand.list(GENERATION, true, entries);
    }

    private void serve(Socket socket) throws Exception {
        while (true) {
            String path = Stand.read(socket.getInputStream()).path();
            Stand.record("discovery called: " + path);
            if (!path.startsWith("/catalog/members")) {
                Stand.write(socket, Stand.answer("404 Not Found", "", ""));
            } else if (path.contains("stream=1")) {
                watch(socket, path.endsWith("index=" + GENERATION));
            } else {
                Stand.write(socket, Stand.answer("200 OK", "", list()));
            }
        }
    }

    private void watch(Socket socket, boolean isUpToDate) throws Exception {
        Stand.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        chunk(socket, (isUpToDate ? Stand.list(GENERATION, false, List.of()) : list()) + "\n");
        while (!socket.isClosed()) {
            Thread.sleep(HEARTBEAT_MS);
            chunk(socket, "\n");
        }
        throw new EOFException();
    }

    private static void chunk(Socket socket, String text) throws IOException {
        Stand.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
