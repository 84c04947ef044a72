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
 * The hollow proxies of one process, spread over a few threads; each proxy stays on one thread. The processor
 * time of these threads separates the cost of the proxies from that of discovery.
 */
final class HollowProxies implements AutoCloseable {
    /** Half of the cores: discovery needs one, and the machine is shared with other processes. */
    private static final int THREADS = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
    /** Response time of an attempt, like that of a small backend. */
    private static final long RESPONSE_NS = 20_000_000L;
    /** Memory limit of a proxy in service; it may bound the length of its list. */
    private static final int MEMORY_MB = 192;
    /** Socket limit of a proxy in service. */
    private static final int SOCKETS = 1024;
    /** Time-out of a client. */
    private static final long CLIENT_GIVE_UP_NS = 600_000_000L;
    private static final long NS_PER_S = 1_000_000_000L;

    private final ThreadMXBean threadTimes = ManagementFactory.getThreadMXBean();
    private final List<Thread> threads = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup loops;
    private final List<Instance> instances = new ArrayList<>();
    private final Queue<Propagation> propagations = new ConcurrentLinkedQueue<>();
    private final AtomicLong moduleErrors = new AtomicLong();
    private final AtomicLong requestCount = new AtomicLong();
    private final AtomicLong rejectedCount = new AtomicLong();

    /** Creates the given number of proxies of one fleet without starting them. */
    HollowProxies(int count, String discovery, long seed) throws IOException {
        loops = new MultiThreadIoEventLoopGroup(Math.min(count, THREADS), work -> {
            Thread thread = new Thread(work, "hollow proxies " + threads.size());
            thread.setDaemon(true);
            threads.add(thread);
            return thread;
        }, NioIoHandler.newFactory());
        Path file = Files.createTempFile("hollow", ".json");
        try {
            for (int i = 0; i < count; i++) {
                ProxyConfig config = new ProxyConfig(seed, i, count, "127.0.0.1:0", discovery, MEMORY_MB,
                        SOCKETS);
                Files.writeString(file, config.json());
                instances.add(new Instance(i, Config.read(Map.of("NODE_CONFIG", file.toString())),
                        loops.next()));
            }
        } catch (ConfigException e) {
            throw new AssertionError("generated configuration is invalid", e);
        } finally {
            Files.delete(file);
        }
    }

    /** Starts all proxies at once and waits until each is started. */
    void start() throws IOException {
        onAll(Instance::start);
    }

    private interface Action {
        void run(Instance proxy);
    }

    private void onAll(Action action) throws IOException {
        List<Future<?>> futures = new ArrayList<>();
        for (Instance p : instances) {
            futures.add(p.loop.submit(() -> action.run(p)));
        }
        try {
            for (Future<?> f : futures) {
                f.get();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException("hollow proxy failed: " + e.getCause(), e.getCause());
        }
    }

    int count() {
        return instances.size();
    }

    /** Tracks when each proxy has applied a version that is about to be sent. */
    Propagation trackPropagation(long version) {
        Propagation propagation = new Propagation(version, instances.size(), System.nanoTime());
        propagations.removeIf(Propagation::isComplete);
        propagations.add(propagation);
        return propagation;
    }

    /** Returns the processor time of the proxies' threads since their start, in ns. */
    long cpuNs() {
        return threads.stream().mapToLong(t -> Math.max(0, threadTimes.getThreadCpuTime(t.getId()))).sum();
    }

    /** Returns the number of exceptions thrown by the modules. */
    long moduleErrors() {
        return moduleErrors.get();
    }

    /** Returns the number of requests to all proxies. */
    long requestCount() {
        return requestCount.get();
    }

    /** Returns the number of requests that the proxies refused or failed. */
    long rejectedCount() {
        return rejectedCount.get();
    }

    /** Sets the rate of evenly spaced requests to each proxy; 0 stops them. */
    void setRequestRate(double requestsPerSecond) throws IOException {
        onAll(p -> p.setRequestRate(requestsPerSecond));
    }

    /** Starts counting sends. */
    SendCounts startCountingSends() throws IOException {
        SendCounts counts = new SendCounts();
        onAll(p -> p.sendCounts = counts.of(p.loop));
        return counts;
    }

    /** Stops counting sends; any thread may read the counts afterwards. */
    void stopCountingSends() throws IOException {
        onAll(p -> p.sendCounts = null);
    }

    @Override
    public void close() throws IOException {
        onAll(Instance::stop);
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** One hollow proxy; its state is confined to its event loop. */
    private final class Instance implements HollowProxy.Observer {
        private final int number;
        private final Config config;
        private final EventLoop loop;
        private HollowProxy proxy;
        private Future<?> requestTask;
        private SendCounts.LoopCounts sendCounts;

        Instance(int number, Config config, EventLoop loop) {
            this.number = number;
            this.config = config;
            this.loop = loop;
        }

        void start() {
            proxy = HollowProxy.start(config, loop, Policy::new, RESPONSE_NS, this);
        }

        void setRequestRate(double requestsPerSecond) {
            if (requestTask != null) {
                requestTask.cancel(false);
                requestTask = null;
            }
            if (requestsPerSecond > 0) {
                long intervalNs = (long) (NS_PER_S / requestsPerSecond);
                // Staggered starts: otherwise all proxies would send requests at the same moments.
                requestTask = loop.scheduleAtFixedRate(() -> {
                    requestCount.incrementAndGet();
                    proxy.request(0, CLIENT_GIVE_UP_NS);
                }, intervalNs * number / instances.size(), intervalNs, TimeUnit.NANOSECONDS);
            }
        }

        void stop() {
            setRequestRate(0);
            proxy.stop();
        }

        @Override
        public void onListApplied(ListKind kind, long version, List<Member> members) {
            long nowNs = System.nanoTime();
            if (sendCounts != null) {
                sendCounts.listReceived(members);
            }
            propagations.forEach(p -> p.applied(number, version, nowNs));
        }

        @Override
        public void onAttemptSent(int server) {
            if (sendCounts != null) {
                sendCounts.add(server, System.nanoTime());
            }
        }

        @Override
        public void onRequestRejected() {
            rejectedCount.incrementAndGet();
        }

        @Override
        public void onModuleFailure(RuntimeException e) {
            moduleErrors.incrementAndGet();
        }
    }
}
