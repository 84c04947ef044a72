package dewstage.faults;

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
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * A fleet of hollow proxies, the watch and the module of a real one, that all call a slow discovery at once: at their
 * start, and again at its return from an outage.
 *
 * @param callOfEach what discovery needs for one call of each proxy
 * @param refuseAfter a call that has waited for longer is refused; null if none is
 */
record QueueScenario(int proxies, boolean pushed, Duration callOfEach, Duration refuseAfter) {
    /**
     * What became of all calls at once.
     *
     * @param told proxies that had the list in time, and the time that the last of these took
     * @param queued calls that waited still when the time was over
     */
    record Outcome(String phase, int told, Duration last, QueuedDiscovery.Calls calls, int queued) {}

    /** Beyond the time that discovery needs for one call of each. */
    static final Duration SLACK = Duration.ofSeconds(2);

    private static final Duration OUTAGE = Duration.ofSeconds(3);
    private static final long LOOK_MS = 10;
    private static final int LOOPS = 4;

    /** Plays both phases. */
    List<Outcome> play() throws Exception {
        ServerList list = new ServerList();
        list.add("s-1", "127.0.0.1:9");
        List<Outcome> outcomes = new ArrayList<>();
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
        try (QueuedDiscovery discovery = new QueuedDiscovery(list, proxies, callOfEach.dividedBy(proxies))) {
            if (refuseAfter != null) {
                discovery.refuseAfter(refuseAfter);
            }
            Fleet fleet = new Fleet(discovery, loops);
            outcomes.add(fleet.await("start", fleet::start, list.version()));
            discovery.down();
            list.change("s-1", ServerList.Lifecycle.TERMINATING);
            Thread.sleep(OUTAGE.toMillis());
            outcomes.add(fleet.await("return", discovery::up, list.version()));
            fleet.stop();
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
        return outcomes;
    }

    private final class Fleet {
        private final QueuedDiscovery discovery;
        private final List<Config> configs = new ArrayList<>();
        private final List<EventLoop> loops = new ArrayList<>();
        private final List<HollowProxy> hollows = new ArrayList<>();
        private final AtomicLongArray versions = new AtomicLongArray(proxies);

        Fleet(QueuedDiscovery discovery, MultiThreadIoEventLoopGroup group) throws IOException, ConfigException {
            this.discovery = discovery;
            Path file = Files.createTempFile("hollow", ".json");
            for (int i = 0; i < proxies; i++) {
                ProxySettings settings =
                        new ProxySettings(i, proxies, pushed, discovery.hostPort(i), Duration.ofMillis(1500), "null");
                Files.writeString(file, settings.json());
                configs.add(Config.read(Map.of("NODE_CONFIG", file.toString())));
                loops.add(group.next());
            }
            Files.delete(file);
        }

        void start() {
            for (int i = 0; i < proxies; i++) {
                int proxy = i;
                loops.get(i)
                        .submit(() -> hollows.add(HollowProxy.start(
                                configs.get(proxy), loops.get(proxy), Policy::new, 1, observer(proxy))))
                        .syncUninterruptibly();
            }
        }

        void stop() {
            for (int i = 0; i < proxies; i++) {
                loops.get(i).submit(hollows.get(i)::stop).syncUninterruptibly();
            }
        }

        private HollowProxy.Observer observer(int proxy) {
            return new HollowProxy.Observer() {
                @Override
                public void inForce(ListKind kind, long version, List<Member> members) {
                    versions.set(proxy, version);
                }

                @Override
                public void sent(int server) {}

                @Override
                public void turnedAway() {}

                @Override
                public void broken(RuntimeException e) {
                    throw e;
                }
            };
        }

        /** Waits until all have a version, or until the time for that is over. */
        Outcome await(String phase, Runnable beginning, long version) throws InterruptedException {
            QueuedDiscovery.Calls before = discovery.calls();
            long from = System.nanoTime();
            beginning.run();
            long limit = from + callOfEach.plus(SLACK).toNanos();
            long last = from;
            int told = 0;
            while (told < proxies && System.nanoTime() < limit) {
                Thread.sleep(LOOK_MS);
                int now = told(version);
                last = now > told ? System.nanoTime() : last;
                told = now;
            }
            QueuedDiscovery.Calls after = discovery.calls();
            return new Outcome(
                    phase,
                    told,
                    Duration.ofNanos(last - from),
                    new QueuedDiscovery.Calls(after.made() - before.made(), after.useful() - before.useful()),
                    discovery.queued());
        }

        private int told(long version) {
            int told = 0;
            for (int i = 0; i < proxies; i++) {
                told += versions.get(i) >= version ? 1 : 0;
            }
            return told;
        }
    }
}
