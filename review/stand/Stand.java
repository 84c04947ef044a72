import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Parts shared by the stand-ins: the record, HTTP messages, the list, and processes of the program. */
final class Stand {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long START_NS = System.nanoTime();
    private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime());
    private static PrintWriter record;

    private Stand() { }

    // ---- record ----

    static void openRecord(String file) throws IOException {
        record = new PrintWriter(file, StandardCharsets.UTF_8);
    }

    /** Milliseconds since the start of this program. */
    static double ms(long nanoTime) {
        return (nanoTime - START_NS) / 1e6;
    }

    static synchronized void record(String line) {
        recordAt(System.nanoTime(), line);
    }

    static synchronized void recordAt(long nanoTime, String line) {
        record.printf("%10.1f %s%n", ms(nanoTime), line);
        record.flush();
    }

    /** Records and prints the verdict (0 held, 1 broken, 2 could not run), and ends this program with 10 more. */
    static void exit(int code, String verdict) {
        record("verdict " + code + ": " + verdict);
        System.out.println(verdict);
        Runtime.getRuntime().exit(10 + code);
    }

    static void sleepMs(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (IOException e) {
                // the connection has ended
            } catch (Exception e) {
                record("fault of the stand-in " + name + ": " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws Exception;
    }

    static String newRequestId() {
        return String.format("%016x", NEXT_ID.getAndIncrement() * 0x9e3779b97f4a7c15L);
    }

    // ---- HTTP ----

    /** An HTTP message: the first line, the header lines, the body, and when its bytes came. */
    static final class Message {
        String firstLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        long firstByteNs;
        long lastByteNs;

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private static String line(InputStream in, Message message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("end of the connection");
            }
            if (message.firstByteNs == 0) {
                message.firstByteNs = System.nanoTime();
            }
            if (b != '\r') {
                bytes.write(b);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message alone. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.firstLine = line(in, message);
        for (String line = line(in, message); !line.isEmpty(); line = line(in, message)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a request or an answer; throws EOFException if the connection ends before it is whole. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in, message), 16); size > 0;
                    size = Integer.parseInt(line(in, message), 16)) {
                body.write(exactly(in, size));
                line(in, message);
            }
            line(in, message);
            message.body = body.toByteArray();
        } else if (message.header("content-length") != null) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        }
        message.lastByteNs = System.nanoTime();
        return message;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("end of the connection");
        }
        return bytes;
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static String answer(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(LOOPBACK, port), 3000);
        return socket;
    }

    /** A request as clients send it, of one of the classes in {@link #config}. */
    static String request(String id, String requestClass, double timeoutS, String body) {
        String head = (requestClass.equals("status") ? "GET /" : "POST /") + requestClass + " HTTP/1.1\r\n"
                + "Host: api.internal\r\nRequest-Id: " + id + "\r\nRequest-Timeout: " + timeoutS + "\r\n"
                + (requestClass.equals("fault-log") ? "Idempotency-Key: key-" + id + "\r\n" : "");
        return requestClass.equals("status") ? head + "\r\n"
                : head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Accepts connections and runs the handler for each on a thread of its own. */
    static ServerSocket listen(String name, int port, Accepted handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(LOOPBACK, port), 512);
        start(name, () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                start(name, () -> {
                    try (socket) {
                        handler.on(socket);
                    }
                });
            }
        });
        return listener;
    }

    interface Accepted {
        void on(Socket socket) throws Exception;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    // ---- the list and the configuration ----

    /** An entry of the list in discovery's form. */
    static String entry(String id, int port, String zone, int cell, String lifecycle) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"dual-std\",\"cell\":" + cell + ",\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    static String list(long generation, boolean reset, List<String> entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":["
                + String.join(",", entries) + "]}";
    }

    /** The configuration of a proxy with the settings of the site trinidad-lift-mon. */
    static String config(String name, int me, int balancers, int listenPort, int discoveryPort, int memoryMb,
            int sockets, String discoveryMode, String known) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listenPort + "\",\n"
            + "\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\"8c1f30d27a5be96" + me % 10 + "\",\n"
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\n"
            + "\"known\":" + known + ",\n"
            + "\"settings\":{\"balancers\":" + balancers + ",\"me\":" + me + ",\"zone\":0,\"step_ns\":5000000,"
            + "\"discovery\":\"" + discoveryMode + "\",\"family\":\"proxy\",\"tier\":0,"
            + "\"tiers\":[\"monitor-fleet\"],\"tenants\":[],\"weights\":\"rough\",\"value_by\":\"request\","
            + "\"over_share_worth\":0.1,\"clients\":{\"marks_retry\":false},"
            + "\"zones\":[\"port-of-spain\",\"san-fernando\",\"chaguanas\",\"arima\"],"
            + "\"skus\":[\"single-fast\",\"dual-std\",\"dual-slow\"],"
            + "\"specifics\":{\"warm_keys\":false},\"report\":{\"how\":\"pull\",\"columns\":[\"utilization\",\"errors_per_s\"]},"
            + "\"objective_mix\":{\"whole\":0.55,\"worst_class\":0.3,\"worst_tenant\":0.0,\"worst_window\":0.15},"
            + "\"prices\":{\"connection\":0.0,\"cross_zone\":0.02,\"discovery\":0.0,\"handshake\":0.0,"
            + "\"late_fail\":0.08,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.05,\"waste\":0.035},"
            + "\"limits\":{\"cancelling\":true,\"connect_timeout_ns\":120000000,\"cpu_us_per_request\":0.0,"
            + "\"cpu_us_per_s\":8000,\"keepalive_ns\":5000000000,\"max_attempts\":4,\"max_open\":20000,"
            + "\"max_retry_after_ns\":750000000,\"may_duplicate\":false,\"multiplex\":1,\"peer_messages\":false,"
            + "\"probing\":true,\"retry_after\":true},"
            + "\"profiles\":["
            + "{\"name\":\"status\",\"effect\":\"idempotent\",\"dedup_scope\":\"all\",\"promise_ns\":250000000,"
            + "\"give_up_ns\":1200000000,\"late_share\":0.5,\"streamed\":false,\"window_ns\":5000000000,\"worth\":3.0},"
            + "{\"name\":\"fault-log\",\"effect\":\"deduplicated\",\"dedup_scope\":\"cell\",\"promise_ns\":300000000,"
            + "\"give_up_ns\":1000000000,\"late_share\":0.2,\"streamed\":false,\"window_ns\":5000000000,\"worth\":3.0},"
            + "{\"name\":\"dispatch\",\"effect\":\"at_most_once\",\"dedup_scope\":\"all\",\"promise_ns\":300000000,"
            + "\"give_up_ns\":1500000000,\"late_share\":0.25,\"streamed\":false,\"window_ns\":5000000000,\"worth\":8.0}],"
            + "\"rules\":{\"ask_within_ns\":10000000000,\"cold_ns\":8700000000,\"drain_grace_ns\":1500000000,"
            + "\"fall_ns\":2000000000,\"grace_to_answer_ns\":20000000,\"start_capacity\":0.31,\"tip_multiple\":4.0}}}\n";
    }

    // ---- processes of the program ----

    /** One proxy, started by `run` of the deploy file. */
    static final class Proxy {
        final String name;
        final int port = freePort();
        final Path folder;
        final Path configFile;
        final Map<String, String> environment = new LinkedHashMap<>();
        volatile boolean readsLog = true;
        private Process process;

        Proxy(String name, Path folder) throws IOException {
            this.name = name;
            this.folder = folder;
            this.configFile = folder.resolve(name + ".json");
        }

        /** Replaces the configuration file in one step. */
        void configure(String json) throws IOException {
            Path next = folder.resolve(name + ".next");
            Files.writeString(next, json);
            Files.move(next, configFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }

        void start(int discoveryPort) throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", System.getenv("RUN_COMMAND"));
            builder.environment().put("NODE_NAME", name);
            builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("NODE_DISCOVERY", "127.0.0.1:" + discoveryPort);
            builder.environment().put("NODE_CONFIG", configFile.toString());
            builder.environment().put("TMPDIR", folder.toString());
            builder.environment().putAll(environment);
            process = builder.redirectErrorStream(true)
                    .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null"))).start();
            Stand.start("log of " + name, this::copyLog);
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            Files.writeString(folder.resolve("pids"), process.pid() + "\n", StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
            record("proxy " + name + " started, process " + process.pid());
        }

        /** Copies what the proxy logs to a file; while it is not read, what was written stays in the pipe. */
        private void copyLog() throws IOException {
            try (OutputStream log = Files.newOutputStream(folder.resolve(name + ".log"))) {
                byte[] bytes = new byte[8192];
                for (int n = process.getInputStream().read(bytes); n >= 0; n = process.getInputStream().read(bytes)) {
                    log.write(bytes, 0, n);
                    while (!readsLog) {
                        sleepMs(100);
                    }
                }
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Waits until /_health answers 200. */
        boolean awaitReady(int seconds) {
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (System.nanoTime() < deadline && process.isAlive()) {
                try (Socket socket = connect(port)) {
                    socket.setSoTimeout(2000);
                    write(socket, "GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
                    if (read(socket.getInputStream()).status() == 200) {
                        record("proxy " + name + " ready");
                        return true;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                sleepMs(50);
            }
            return false;
        }

        void signal(String signal) throws Exception {
            record("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
        }

        /** Copies the end of the log into the record. */
        void recordLog(int lines) throws IOException {
            List<String> all = Files.readAllLines(folder.resolve(name + ".log"));
            record("last " + Math.min(lines, all.size()) + " of " + all.size() + " lines of the log of " + name);
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(l -> record("  " + l));
        }
    }

    static Path temporaryFolder() {
        return Path.of(System.getenv("CASE_TMP"));
    }
}
