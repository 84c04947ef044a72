package dewstage.proxy;

import dewstage.Balancer;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.Balancer.Outcome;
import dewstage.Balancer.Request;
import dewstage.Balancer.Status;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * The control side of a proxy without its data path, so that one process can run many: the discovery watch,
 * the decision module and its timers, on a loop that several may share. It has no listener and no connections
 * to backends; every attempt is reported as served after a fixed time. It is in this package because the
 * watch is package-private; a serving proxy does not load it.
 */
public final class HollowProxy implements Balancer.Actions, Discovery.Listener {
    /** Receives the events of the proxy, on its loop. */
    public interface Observer {
        /** The module has applied a list or changes to it. */
        void onListApplied(ListKind kind, long version, List<Member> members);

        /** The module has sent an attempt to the server with this number. */
        void onAttemptSent(int server);

        /** The module has refused or failed a request. */
        void onRequestRejected();

        /** The module has thrown an exception. */
        void onModuleFailure(RuntimeException e);
    }

    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Discovery discovery;
    private final Balancer balancer;
    private final long answerNs;
    private final Observer observer;
    private int ticketCount;
    private boolean isStopped;

    private HollowProxy(Config config, EventLoop loop, Balancer.Factory factory, long answerNs,
            Observer observer) {
        this.loop = loop;
        this.answerNs = answerNs;
        this.observer = observer;
        this.discovery = new Discovery(loop, clock, config, this);
        this.balancer = factory.create(config.settings(), config.seed(), clock.now(), this);
    }

    /**
     * Creates a proxy and opens its watch. Must be called on the loop.
     *
     * @param config only the address of discovery, the seed and the settings are used
     * @param answerNs time from an attempt to its answer
     */
    public static HollowProxy start(Config config, EventLoop loop, Balancer.Factory factory, long answerNs,
            Observer observer) {
        HollowProxy proxy = new HollowProxy(config, loop, factory, answerNs, observer);
        proxy.discovery.setWatching(true);
        return proxy;
    }

    /** Submits a request whose client gives up after the timeout. Must be called on the loop. */
    public void request(int profile, long timeoutNs) {
        int ticket = ++ticketCount;
        enqueue(now -> balancer.onRequest(now, new Request(ticket, profile, 0, 0, timeoutNs, 0, false)));
    }

    /** Closes the watch and ignores pending timers. Must be called on the loop. */
    public void stop() {
        isStopped = true;
        discovery.setWatching(false);
    }

    /** Runs each event in a loop task of its own, so that none reaches the module from within its actions. */
    private void enqueue(LongConsumer event) {
        loop.execute(() -> {
            if (isStopped) {
                return;
            }
            try {
                event.accept(clock.now());
            } catch (RuntimeException e) {
                observer.onModuleFailure(e);
            }
        });
    }

    @Override
    public void onListUpdate(ListUpdate listUpdate) {
        List<Member> members = listUpdate.members();
        enqueue(now -> {
            balancer.onMembers(now, listUpdate.kind(), listUpdate.version(), members);
            observer.onListApplied(listUpdate.kind(), listUpdate.version(), members);
        });
    }

    @Override
    public void onWatchFailed() {
        enqueue(now -> balancer.onMembers(now, ListKind.FAILED, 0, List.of()));
    }

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        observer.onAttemptSent(server);
        long sentAtNs = clock.now();
        // The first attempt completes the request, so its index is always 0.
        loop.schedule(() -> enqueue(now -> balancer.onOutcome(now,
                new Outcome(ticket, 0, server, Status.OK, now - sentAtNs, true, null))),
                answerNs, TimeUnit.NANOSECONDS);
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        observer.onRequestRejected();
    }

    @Override
    public void fail(int ticket) {
        observer.onRequestRejected();
    }

    @Override
    public void cancel(int ticket, int attempt) {
        // Attempts in flight are reported as served nevertheless.
    }

    @Override
    public void timer(long at, long token) {
        loop.schedule(() -> enqueue(now -> balancer.onTimer(now, token)), Math.max(0, at - clock.now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdle(int server) {
        // There are no connections to backends.
    }

    @Override
    public void subscribe(boolean on) {
        discovery.setWatching(on);
    }

    @Override
    public void log(String line) {
        Log.line(line);
    }

    @Override
    public void probe(int server) {
        throw new UnsupportedOperationException("a hollow proxy sends no probes");
    }

    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("a hollow proxy has no peers");
    }

    @Override
    public void reload() {
        throw new UnsupportedOperationException("a hollow proxy keeps a watch and does not reload lists");
    }
}
