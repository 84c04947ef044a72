package dewstage.scale;

import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Policy;
import dewstage.proxy.Config;
import dewstage.proxy.ConfigException;
import dewstage.proxy.HollowProxy;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The hollow proxies of one process: some threads share them, each proxy stays on one. Of each thread the
 * system tells the processor time, so that what the proxies take is known apart from what discovery takes.
 */
final class Hollows implements AutoCloseable {
    /** Half of the cores: discovery needs one, and the machine is shared. */
    private static final int THREADS = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
    /** An attempt is answered after so long, as a small backend's answer is. */
    private static final long ANSWER_NS = 20_000_000L;
    /** The limits of a proxy in service: a bound on its list may follow from the first. */
    private static final int MEMORY_MB = 192, SOCKETS = 1024;
    private static final long CLIENT_LEAVES_NS = 600_000_000L, NS_PER_S = 1_000_000_000L;

    private final ThreadMXBean times = ManagementFactory.getThreadMXBean();
    private final List<Thread> threads = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup loops;
    private final List<Hollow> hollows = new ArrayList<>();
    private final Queue<Arrival> expected = new ConcurrentLinkedQueue<>();
    private final AtomicLong broken = new AtomicLong();
    private final AtomicLong asked = new AtomicLong(), turnedAway = new AtomicLong();

    /** So many of one fleet, not started yet. */
    Hollows(int count, String discovery, long seed) throws IOException {
        loops = new MultiThreadIoEventLoopGroup(Math.min(count, THREADS), work -> {
            Thread t = new Thread(work, "hollow proxies " + threads.size());
            t.setDaemon(true);
            threads.add(t);
            return t;
        }, NioIoHandler.newFactory());
        Path file = Files.createTempFile("hollow", ".json");
        try {
            for (int i = 0; i < count; i++) {
                ProxyConfig config = new ProxyConfig(seed, i, count, "127.0.0.1:0", discovery, MEMORY_MB,
                        SOCKETS);
                Files.writeString(file, config.json());
                hollows.add(new Hollow(i, Config.read(Map.of("NODE_CONFIG", file.toString())), loops.next()));
            }
        } catch (ConfigException e) {
            throw new AssertionError("a configuration made here is not understood", e);
        } finally {
            Files.delete(file);
        }
    }

    /** Starts them all at once, and returns when each of them has been started. */
    void start() throws IOException {
        onAll(Hollow::start);
    }

    private interface Work {
        void on(Hollow hollow);
    }

    private void onAll(Work work) throws IOException {
        List<Future<?>> done = new ArrayList<>();
        for (Hollow h : hollows) {
            done.add(h.loop.submit(() -> work.on(h)));
        }
        try {
            for (Future<?> f : done) {
                f.get();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException("a hollow proxy: " + e.getCause(), e.getCause());
        }
    }

    int count() {
        return hollows.size();
    }

    /** Of a version that is about to be sent: tells when each has it. */
    Arrival expect(long version) {
        Arrival arrival = new Arrival(version, hollows.size(), System.nanoTime());
        expected.removeIf(Arrival::whole);
        expected.add(arrival);
        return arrival;
    }

    /** Processor time of the proxies' threads since their start, in ns. */
    long cpuNs() {
        return threads.stream().mapToLong(t -> Math.max(0, times.getThreadCpuTime(t.getId()))).sum();
    }

    /** Errors that the modules have thrown. */
    long broken() {
        return broken.get();
    }

    /** Requests that came to all of them, and those that were refused or failed. */
    long asked() {
        return asked.get();
    }

    long turnedAway() {
        return turnedAway.get();
    }

    /** From now on each gets so many requests a second, evenly; 0 is none. */
    void load(double perSecond) throws IOException {
        onAll(h -> h.load(perSecond));
    }

    /** From now on sends are counted. */
    SendCounts countSends() throws IOException {
        SendCounts counts = new SendCounts();
        onAll(h -> h.sends = counts.of(h.loop));
        return counts;
    }

    /** Counts no sends any more; what was counted may be read from any thread then. */
    void countNoSends() throws IOException {
        onAll(h -> h.sends = null);
    }

    @Override
    public void close() throws IOException {
        onAll(Hollow::stop);
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** One of them. Its state belongs to its loop. */
    private final class Hollow implements HollowProxy.Observer {
        private final int number;
        private final Config config;
        private final EventLoop loop;
        private HollowProxy proxy;
        private Future<?> requests;
        private SendCounts.Part sends;

        Hollow(int number, Config config, EventLoop loop) {
            this.number = number;
            this.config = config;
            this.loop = loop;
        }

        void start() {
            proxy = HollowProxy.start(config, loop, Policy::new, ANSWER_NS, this);
        }

        void load(double perSecond) {
            if (requests != null) {
                requests.cancel(false);
                requests = null;
            }
            if (perSecond > 0) {
                long gap = (long) (NS_PER_S / perSecond);
                // Each begins at another time, or all would ask at once for ever.
                requests = loop.scheduleAtFixedRate(() -> {
                    asked.incrementAndGet();
                    proxy.request(0, CLIENT_LEAVES_NS);
                }, gap * number / hollows.size(), gap, TimeUnit.NANOSECONDS);
            }
        }

        void stop() {
            load(0);
            proxy.stop();
        }

        @Override
        public void onListApplied(ListKind kind, long version, List<Member> members) {
            long now = System.nanoTime();
            if (sends != null) {
                sends.listReceived(members);
            }
            expected.forEach(a -> a.received(number, version, now));
        }

        @Override
        public void onAttemptSent(int server) {
            if (sends != null) {
                sends.add(server, System.nanoTime());
            }
        }

        @Override
        public void onRequestRejected() {
            turnedAway.incrementAndGet();
        }

        @Override
        public void onModuleFailure(RuntimeException e) {
            broken.incrementAndGet();
        }
    }
}
