import java.io.EOFException;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery by the protocol page. It works through calls in turn and spends the same time on each; a call that has
 * waited for longer than the limit ends in 503 and takes no time.
 */
final class Discovery {
    /** The list, shared by all addresses of discovery. */
    static final class Members {
        private final TreeMap<Long, List<String>> changes = new TreeMap<>();
        private final TreeMap<String, String> entries = new TreeMap<>();
        private long generation = 1;

        synchronized void put(String id, String entry) {
            entries.put(id, entry);
        }

        /** Makes one change and returns when it was made. */
        synchronized long change(String id, String entry) {
            generation++;
            changes.put(generation, List.of(entry));
            entries.put(id, entry);
            notifyAll();
            return System.nanoTime();
        }

        synchronized long generation() {
            return generation;
        }

        synchronized String whole() {
            return Stand.list(generation, true, new ArrayList<>(entries.values()));
        }

        synchronized String since(long from) {
            if (from < 0) {
                return whole();
            }
            List<String> changed = new ArrayList<>();
            changes.tailMap(from, false).values().forEach(changed::addAll);
            return Stand.list(generation, false, changed);
        }

        /** Waits until there is a newer list; returns false after the time. */
        synchronized boolean awaitNewer(long than, long ms) throws InterruptedException {
            long end = System.nanoTime() + ms * 1_000_000;
            while (generation <= than && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            return generation > than;
        }
    }

    /** One call in the queue. */
    private static final class Call {
        private enum State { WAITING, IN_WORK, ANSWERED, TOO_LATE }

        private State state = State.WAITING;

        /** Begins the work on this call; returns false if it has waited too long. */
        synchronized boolean begin() {
            if (state == State.WAITING) {
                state = State.IN_WORK;
            }
            return state == State.IN_WORK;
        }

        synchronized void end() {
            state = State.ANSWERED;
            notifyAll();
        }

        /** Waits for the answer; returns false if the work has not begun within the time. */
        synchronized boolean await(long ms) throws InterruptedException {
            long end = System.nanoTime() + ms * 1_000_000;
            while (state == State.WAITING && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            if (state == State.WAITING) {
                state = State.TOO_LATE;
            }
            while (state == State.IN_WORK) {
                wait();
            }
            return state == State.ANSWERED;
        }
    }

    final String name;
    final int port;
    private final Members members;
    private final long callMs;
    private final long waitLimitMs;
    private final ServerSocket listener;
    private final LinkedBlockingQueue<Call> queue = new LinkedBlockingQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Discovery(String name, Members members, long callMs, long waitLimitMs) throws IOException {
        this.name = name;
        this.members = members;
        this.callMs = callMs;
        this.waitLimitMs = waitLimitMs;
        this.listener = Stand.listen(name, 0, this::serve);
        this.port = listener.getLocalPort();
        Stand.start(name + " queue", () -> {
            while (true) {
                Call call = queue.take();
                if (call.begin()) {
                    Thread.sleep(callMs);
                    call.end();
                    answered.incrementAndGet();
                }
            }
        });
    }

    /** Takes no new connections from now on. */
    void closeListener() throws IOException {
        listener.close();
    }

    void closeConnections() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** The number of calls that were answered with the list. */
    int answered() {
        return answered.get();
    }

    private void serve(Socket socket) throws Exception {
        open.add(socket);
        try {
            while (true) {
                Stand.Message request = Stand.read(socket.getInputStream());
                boolean isProxy = request.header("x-other-proxy") == null; // only the record tells them apart
                if (!request.path().startsWith("/catalog/members")) {
                    Stand.write(socket, Stand.answer("404 Not Found", "", ""));
                    continue;
                }
                if (isProxy) {
                    Stand.record(name + " called: " + request.path() + ", " + queue.size() + " calls waiting");
                }
                Call call = new Call();
                queue.add(call);
                if (!call.await(waitLimitMs)) {
                    if (isProxy) {
                        Stand.record(name + " answers 503: the call has waited for " + waitLimitMs + " ms");
                    }
                    Stand.write(socket, Stand.answer("503 Service Unavailable", "", ""));
                    continue;
                }
                if (!request.path().contains("stream=1")) {
                    Stand.write(socket, Stand.answer("200 OK", "", members.whole()));
                    continue;
                }
                watch(socket, request.path(), isProxy);
            }
        } finally {
            open.remove(socket);
        }
    }

    private void watch(Socket socket, String path, boolean isProxy) throws Exception {
        int index = path.indexOf("index=");
        long version = index < 0 ? -1 : Long.parseLong(path.substring(index + "index=".length()));
        Stand.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        boolean first = true;
        while (!socket.isClosed()) {
            if (first || members.generation() > version) {
                first = false;
                String list;
                synchronized (members) {
                    list = members.since(version);
                    version = members.generation();
                }
                chunk(socket, list + "\n");
                if (isProxy) {
                    Stand.record(name + " tells version " + version);
                }
            } else if (!members.awaitNewer(version, 2000)) {
                chunk(socket, "\n");
            }
        }
        throw new EOFException();
    }

    private static void chunk(Socket socket, String text) throws IOException {
        Stand.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
