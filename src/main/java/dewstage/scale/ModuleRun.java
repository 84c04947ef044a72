package dewstage.scale;

import dewstage.Balancer;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.State;
import dewstage.scale.VirtualHost.Call;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Measures the cost of one module's calls with a fleet of one shape: warms the module up, then measures each
 * scenario, with the same events for the same shape and seed.
 */
final class ModuleRun {
    /** Three times the window in which the module remembers arrivals: the subset is then as in service. */
    static final int WARM_UP_REQUESTS = 6 * VirtualHost.REQUESTS_PER_SECOND;
    /** Requests of a block, which lasts long enough to contain some of the periodic work done every 50 ms. */
    private static final int BLOCK_REQUESTS = VirtualHost.REQUESTS_PER_SECOND / 5;
    /** Number of blocks that are measured. */
    private static final int BLOCKS = 9;
    /** Requests until the rare failures have taken effect. */
    private static final int SETTLE_REQUESTS = 2 * VirtualHost.REQUESTS_PER_SECOND;
    private static final int CHANGED_ENTRIES = 12;
    private static final int LIST_REPEATS = 5;
    /** Distance between changed entries: prime, so that the changes are spread over all zones. */
    private static final int STRIDE = 7919;
    private static final List<State> LIFECYCLE = List.of(State.DRAINING, State.GONE, State.READY);

    /** Receives measured costs in ns. */
    interface Sink {
        void cost(Measure measure, double ns);
    }

    private final ModuleShape shape;
    private final VirtualHost host;
    private final Sink sink;
    private int changeCount;

    ModuleRun(Balancer.Factory factory, ModuleShape shape, long seed, LongSupplier stopwatch, Sink sink) {
        this.shape = shape;
        this.sink = sink;
        this.host = new VirtualHost(factory, shape.settings(), seed, stopwatch);
    }

    /** Measures all scenarios in turn; the costs of each are reported after it. */
    VirtualHost runAll() {
        warmUp();
        measureRequests(Measure.SERVED);
        measureChanges();
        measureLists();
        host.respondBy(ResponseRule.SOME_FAIL);
        host.runRequests(SETTLE_REQUESTS);
        measureRequests(Measure.SOME_FAIL);
        host.respondBy(ResponseRule.SOME_EJECTED);
        host.runRequests(SETTLE_REQUESTS);
        measureRequests(Measure.SOME_EJECTED);
        host.respondBy(ResponseRule.SERVED);
        measureOwnZone();
        return host;
    }

    void warmUp() {
        host.applyMembers(ListKind.FULL, shape.members());
        host.runRequests(WARM_UP_REQUESTS);
    }

    /** Measures requests with their responses, and the timers between them. */
    void measureRequests(Measure measure) {
        for (int i = 0; i < BLOCKS; i++) {
            host.resetCosts();
            host.runRequests(BLOCK_REQUESTS);
            sink.cost(measure, takeRequestCostNs() / BLOCK_REQUESTS);
            if (measure == Measure.SERVED) {
                sink.cost(Measure.TIMER, host.takeMeanCostNs(Call.TIMER));
            }
        }
    }

    private double takeRequestCostNs() {
        return host.takeCostNs(Call.REQUEST) + host.takeCostNs(Call.OUTCOME);
    }

    /**
     * Measures changes of one entry at a time, which drains, is gone and starts again. Work that a module
     * defers shows in the next request.
     */
    void measureChanges() {
        for (int i = 0; i < CHANGED_ENTRIES * LIFECYCLE.size(); i++) {
            State state = LIFECYCLE.get(changeCount % LIFECYCLE.size());
            int index = (int) ((long) (changeCount / LIFECYCLE.size()) * STRIDE % shape.entries());
            List<Member> changedEntry = List.of(shape.member(index, state,
                    state == State.READY ? host.nowNs() : 0));
            host.resetCosts();
            host.applyMembers(ListKind.DELTA, changedEntry);
            double changeNs = host.takeCostNs(Call.MEMBERS);
            host.runRequests(1);
            sink.cost(Measure.CHANGE, changeNs);
            sink.cost(Measure.CHANGE_AND_NEXT, changeNs + takeRequestCostNs());
            changeCount++;
        }
    }

    /** Measures the full list once more, without any change in it. */
    void measureLists() {
        List<Member> fullList = shape.members();
        for (int i = 0; i < LIST_REPEATS; i++) {
            host.resetCosts();
            host.applyMembers(ListKind.FULL, fullList);
            sink.cost(Measure.LIST_AGAIN, host.takeCostNs(Call.MEMBERS));
            host.runRequests(BLOCK_REQUESTS);
        }
    }

    /** Restarts the own zone: measures the change as one update, then requests while the zone is cold. */
    private void measureOwnZone() {
        List<Member> ownZoneMembers = shape.ownZone(host.nowNs());
        host.resetCosts();
        host.applyMembers(ListKind.DELTA, ownZoneMembers);
        sink.cost(Measure.ZONE_ENTRY, (double) host.takeCostNs(Call.MEMBERS) / ownZoneMembers.size());
        measureRequests(Measure.COLD);
    }
}
