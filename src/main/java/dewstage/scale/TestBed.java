package dewstage.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A synthetic fleet of one size with a discovery stand-in and hollow proxies; runs and measures steps. */
final class TestBed implements AutoCloseable {
    /** A proxy that has not applied a version within this time counts as missing. */
    private static final long PROPAGATION_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(60);
    private static final double NS_PER_S = 1e9;
    private static final int GC_RUNS = 2;

    final Fleet fleet;
    final DiscoveryStandIn discovery;
    final HollowProxies hollowProxies;
    private final Point point;
    private final int round;
    private final Experiment.Run run;

    TestBed(Experiment.Run run, Point point, int round, long seed) throws IOException {
        this.run = run;
        this.point = point;
        this.round = round;
        this.fleet = new Fleet(point.entries(), seed);
        this.discovery = new DiscoveryStandIn(fleet.backends());
        this.hollowProxies = new HollowProxies(point.proxies(), discovery.hostPort(), seed);
    }

    /** The action of a step; it returns once the new version has been sent. */
    interface StepAction {
        void execute() throws IOException;
    }

    /** Runs a step and measures it until all proxies have applied the version or the wait times out. */
    Sample measure(String step, long version, long changed, StepAction action)
            throws IOException, InterruptedException {
        DiscoveryStandIn.Counts before = discovery.counts();
        long cpuBeforeNs = hollowProxies.cpuNs();
        Propagation propagation = hollowProxies.trackPropagation(version);
        action.execute();
        run.deadline().await(propagation.remaining(), PROPAGATION_TIMEOUT_NS);
        long cpuNs = hollowProxies.cpuNs() - cpuBeforeNs;
        return new Sample(step, point, round, changed, discovery.counts().since(before), cpuNs,
                propagation.latencies(), (int) propagation.remaining().getCount());
    }

    /** Starts all proxies at once and measures until all are ready. */
    Sample start(String step) throws IOException, InterruptedException {
        return measure(step, discovery.generation(), point.entries(), hollowProxies::start);
    }

    /** Measures sending the unchanged full list to all proxies. */
    Sample resendFullList(String step) throws IOException, InterruptedException {
        return measure(step, discovery.generation() + 1, fleet.backends().size(), discovery::resendFullList);
    }

    Sample publish(String step, List<Backend> changes) throws IOException, InterruptedException {
        return measure(step, discovery.generation() + 1, changes.size(), () -> discovery.publish(changes));
    }

    /** Publishes changes one by one, each after all proxies have applied the last; returns one sample. */
    Sample publishSequentially(String step, int count, Supplier<List<Backend>> change)
            throws IOException, InterruptedException {
        Sample sum = publish(step, change.get());
        for (int i = 1; i < count; i++) {
            sum = sum.combine(publish(step, change.get()));
        }
        return sum;
    }

    void pause(double seconds) throws InterruptedException {
        run.deadline().sleep((long) (seconds * NS_PER_S));
    }

    /** Returns the counters since earlier ones as a sample without a version to wait for. */
    Sample since(String step, DiscoveryStandIn.Counts before, long cpuBeforeNs, long changed) {
        return new Sample(step, point, round, changed, discovery.counts().since(before),
                hollowProxies.cpuNs() - cpuBeforeNs, new Latencies(), 0);
    }

    /** Publishes changes on a schedule, without waiting for earlier ones; measured as one sample. */
    final class SteadyChanges {
        private final String step;
        private final DiscoveryStandIn.Counts before = discovery.counts();
        private final long cpuBeforeNs = hollowProxies.cpuNs();
        private final long startNs = System.nanoTime();
        private final List<Propagation> propagations = new ArrayList<>();
        private long changed;

        SteadyChanges(String step) {
            this.step = step;
        }

        void publish(List<Backend> changes) throws IOException {
            propagations.add(hollowProxies.trackPropagation(discovery.generation() + 1));
            discovery.publish(changes);
            changed += changes.size();
        }

        /** Sleeps until the given time after the start. */
        void sleepUntil(double seconds) throws InterruptedException {
            run.deadline().sleep(startNs + (long) (seconds * NS_PER_S) - System.nanoTime());
        }

        Sample finish() throws InterruptedException {
            Latencies latencies = new Latencies();
            int missing = 0;
            for (Propagation propagation : propagations) {
                run.deadline().await(propagation.remaining(), PROPAGATION_TIMEOUT_NS);
                latencies.addAll(propagation.latencies());
                missing += (int) propagation.remaining().getCount();
            }
            return new Sample(step, point, round, changed, discovery.counts().since(before),
                    hollowProxies.cpuNs() - cpuBeforeNs, latencies, missing);
        }
    }

    /** Returns the heap in use after a collection, in bytes. */
    static long usedHeapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    @Override
    public void close() throws IOException {
        hollowProxies.close();
        discovery.close();
    }
}
