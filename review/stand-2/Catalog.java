import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery: the whole list, and watches that bring each change at once and an empty line every 2 s. */
final class Catalog implements Closeable {
    /** How calls are treated. */
    enum Mode {
        /** Answered at once. */
        SOUND,
        /** A call waits 2 s in the queue, too long, and ends in 503. */
        CROWDED,
        /** A call ends in a reset at once. */
        DOWN
    }

    private record Entry(String id, String address, String zone, String lifecycle, long startedAtMs,
            long generation) { }

    private final Stage stage;
    private final String name;
    private volatile ServerSocket listener;
    private final int port;
    private volatile boolean closed;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private long generation = 1;
    /** The answer to the next call in place of the true one; null if there is none. */
    private String nextAnswer;
    private volatile Mode mode = Mode.SOUND;

    Catalog(Stage stage, String name) throws IOException {
        this.stage = stage;
        this.name = name;
        listen(Stage.freePort());
        port = listener.getLocalPort();
        Stage.thread(this::beat);
    }

    private void listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        listener = socket;
        Stage.thread(() -> accept(socket));
    }

    /** Dies as a process does: open connections are reset and new ones refused. It keeps what it knows. */
    synchronized void die() throws IOException {
        stage.record(name + " goes down");
        listener.close();
        resetWatches();
    }

    /** Comes back at its address. */
    synchronized void comeBack() throws IOException {
        listen(port);
        stage.record(name + " is back");
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    void setMode(Mode mode) {
        this.mode = mode;
        stage.record(name + " is now " + mode);
    }

    /** Adds or changes an entry and tells it to every open watch. */
    void put(String id, String address, String lifecycle, long startedAtMs) {
        put(id, address, "a", lifecycle, startedAtMs);
    }

    /** As above, in a zone. */
    synchronized void put(String id, String address, String zone, String lifecycle, long startedAtMs) {
        entries.put(id, new Entry(id, address, zone, lifecycle, startedAtMs, ++generation));
        stage.record(name + " has " + id + " " + lifecycle + ", generation " + generation + ", " + watches.size()
                + " open watches");
        String line = list(generation - 1, false);
        watches.removeIf(watch -> !write(watch, line));
    }

    /** Answers the next call with this list and nothing more. */
    synchronized void answerNextCallWith(String list) {
        nextAnswer = list;
    }

    /** Resets all open watches. */
    synchronized void resetWatches() throws IOException {
        stage.record(name + " resets " + watches.size() + " open watches");
        for (Socket watch : watches) {
            watch.setSoLinger(true, 0);
            watch.close();
        }
        watches.clear();
    }

    /** The list after a version as one line of JSON. */
    synchronized String list(long after, boolean whole) {
        StringBuilder text = new StringBuilder("{\"generation\":" + generation + ",\"reset\":" + whole
                + ",\"instances\":[");
        String separator = "";
        for (Entry e : entries.values()) {
            if (whole ? !e.lifecycle().equals("terminated") : e.generation() > after) {
                text.append(separator).append("{\"instanceId\":\"" + e.id() + "\",\"hostPort\":\"" + e.address()
                        + "\",\"zone\":\"" + e.zone() + "\",\"machineType\":\"m1\",\"cell\":0,\"lifecycle\":\"" + e.lifecycle()
                        + "\",\"weight\":1.0,\"startedAtMs\":" + e.startedAtMs() + "}");
                separator = ",";
            }
        }
        return text + "]}\n";
    }

    private void accept(ServerSocket from) {
        try {
            while (true) {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                Stage.thread(() -> serve(socket));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket socket) {
        try {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Wire.Message request = Wire.read(in);
            if (request == null) {
                socket.close();
                return; // a check of whether discovery accepts connections
            }
            Mode now = mode;
            stage.record(name + " is called: " + request.path() + ", " + now);
            if (now == Mode.DOWN) {
                socket.setSoLinger(true, 0);
                socket.close();
            } else if (now == Mode.CROWDED) {
                Thread.sleep(2000);
                socket.getOutputStream().write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".getBytes());
                stage.record(name + " ends a call with 503 after 2 s");
                socket.close();
            } else {
                answer(socket, request.path());
            }
        } catch (IOException e) {
            // the proxy has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void answer(Socket socket, String path) throws IOException {
        OutputStream out = socket.getOutputStream();
        int index = path.indexOf("index=");
        String text = nextAnswer != null ? nextAnswer : list(index < 0 ? 0 : Long.parseLong(path.substring(index + 6)), index < 0);
        nextAnswer = null;
        stage.record(name + " answers " + path + " with " + text.trim());
        if (!path.contains("stream=1")) {
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text).getBytes());
            return;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
        if (write(socket, text)) {
            watches.add(socket);
        }
    }

    private static boolean write(Socket socket, String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            socket.getOutputStream().write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void beat() {
        try {
            while (!closed) {
                Thread.sleep(2000);
                synchronized (this) {
                    watches.removeIf(watch -> !write(watch, "\n"));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes no new connections from now on; open ones stay. */
    void stopAccepting() throws IOException {
        listener.close();
        stage.record(name + " takes no new connections");
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket watch : watches) {
            watch.close();
        }
    }
}
