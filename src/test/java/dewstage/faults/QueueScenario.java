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
 * A fleet of hollow proxies, each with the watch and the module of a real one, that all call a slow discovery at once:
 * at their start, and again when discovery returns from an outage.
 *
 * @param fleetCallTime time that discovery needs for one call of each proxy
 * @param refuseAfter waiting time after which a call is refused; null to refuse none
 */
record QueueScenario(int proxies, boolean pushed, Duration fleetCallTime, Duration refuseAfter) {
    /**
     * The result of one phase.
     *
     * @param updated number of proxies that received the list in time
     * @param slowest time until the last of these received it
     * @param queued number of calls that were still waiting at the end
     */
    record Outcome(String phase, int updated, Duration slowest, QueuedDiscovery.Calls calls, int queued) {}

    /** Added to the time that discovery needs for one call of each proxy. */
    static final Duration SLACK = Duration.ofSeconds(2);

    private static final Duration OUTAGE = Duration.ofSeconds(3);
    private static final long POLL_MS = 10;
    private static final int LOOPS = 4;

    /** Runs both phases. */
    List<Outcome> run() throws Exception {
        ServerList list = new ServerList();
        list.add("s-1", "127.0.0.1:9");
        List<Outcome> outcomes = new ArrayList<>();
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
        try (QueuedDiscovery discovery = new QueuedDiscovery(list, proxies, fleetCallTime.dividedBy(proxies))) {
            if (refuseAfter != null) {
                discovery.setRefuseAfter(refuseAfter);
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
        private final List<HollowProxy> hollowProxies = new ArrayList<>();
        private final AtomicLongArray versions = new AtomicLongArray(proxies);

        Fleet(QueuedDiscovery discovery, MultiThreadIoEventLoopGroup group) throws IOException, ConfigException {
            this.discovery = discovery;
            Path file = Files.createTempFile("hollow", ".json");
            for (int i = 0; i < proxies; i++) {
                ProxySettings settings = new ProxySettings(
                        i,
                        proxies,
                        pushed,
                        discovery.hostPort(i),
                        Duration.ofMillis(1500),
                        "null",
                        ProcessLimits.DEFAULT);
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
                        .submit(() -> hollowProxies.add(HollowProxy.start(
                                configs.get(proxy), loops.get(proxy), Policy::new, 1, observer(proxy))))
                        .syncUninterruptibly();
            }
        }

        void stop() {
            for (int i = 0; i < proxies; i++) {
                loops.get(i).submit(hollowProxies.get(i)::stop).syncUninterruptibly();
            }
        }

        private HollowProxy.Observer observer(int proxy) {
            return new HollowProxy.Observer() {
                @Override
                public void onListApplied(ListKind kind, long version, List<Member> members) {
                    versions.set(proxy, version);
                }

                @Override
                public void onAttemptSent(int server) {}

                @Override
                public void onRequestRejected() {}

                @Override
                public void onModuleFailure(RuntimeException e) {
                    throw e;
                }
            };
        }

        /** Runs an action and waits until all proxies have a version, or until the time limit. */
        Outcome await(String phase, Runnable action, long version) throws InterruptedException {
            QueuedDiscovery.Calls before = discovery.calls();
            long startNs = System.nanoTime();
            action.run();
            long deadlineNs = startNs + fleetCallTime.plus(SLACK).toNanos();
            long lastUpdateNs = startNs;
            int updatedCount = 0;
            while (updatedCount < proxies && System.nanoTime() < deadlineNs) {
                Thread.sleep(POLL_MS);
                int currentCount = countUpdated(version);
                lastUpdateNs = currentCount > updatedCount ? System.nanoTime() : lastUpdateNs;
                updatedCount = currentCount;
            }
            QueuedDiscovery.Calls after = discovery.calls();
            return new Outcome(
                    phase,
                    updatedCount,
                    Duration.ofNanos(lastUpdateNs - startNs),
                    new QueuedDiscovery.Calls(after.made() - before.made(), after.useful() - before.useful()),
                    discovery.queued());
        }

        private int countUpdated(long version) {
            int updatedCount = 0;
            for (int i = 0; i < proxies; i++) {
                updatedCount += versions.get(i) >= version ? 1 : 0;
            }
            return updatedCount;
        }
    }
}
