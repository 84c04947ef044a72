import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A backend: listens on loopback, records each whole request and lets a script answer it. */
final class Backend implements Closeable {
    /** Answers one request; the connection is closed if it returns false. */
    interface Script {
        boolean answer(Backend backend, Wire.Message request, Socket socket, OutputStream out)
                throws IOException, InterruptedException;
    }

    final String name;
    private final Stage stage;
    private final ServerSocket listener;
    private final Script script;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Backend(Stage stage, String name, Script script) throws IOException {
        this.stage = stage;
        this.name = name;
        this.script = script;
        this.listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        Stage.thread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** The sound answer: 200 with a body that names the request. */
    static byte[] sound(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Stage.thread(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Wire.Message request = Wire.read(in); request != null; request = Wire.read(in)) {
                String id = request.header("Request-Id");
                stage.record(name + " got " + request.first() + " id " + id + " key "
                        + request.header("Idempotency-Key") + " timeout " + request.header("Request-Timeout"));
                if (id == null) {
                    socket.getOutputStream().write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes());
                } else if (!script.answer(this, request, socket, socket.getOutputStream())) {
                    return;
                }
            }
        } catch (IOException e) {
            // the proxy has closed or reset the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
