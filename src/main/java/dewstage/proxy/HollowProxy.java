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
 * The control side of one proxy and nothing else, so that one process holds many: the watch on discovery, the
 * decision module and its timers of a proxy that serves, on a loop that others may share. It has no listener
 * and calls no backend: an attempt that the module sends is answered here, as served, after a fixed time. It
 * stands in this package because the watch is known in it alone; a proxy in service does not load it.
 */
public final class HollowProxy implements Balancer.Actions, Discovery.Listener {
    /** Who hears what becomes of it. All is called on the loop of the proxy. */
    public interface Observer {
        /** The module has taken in a list or changes: from now on they are in force. */
        void inForce(ListKind kind, long version, List<Member> members);

        /** The module has sent an attempt to the server with that id. */
        void sent(int server);

        /** The module has refused or failed a request. */
        void turnedAway();

        /** The module has thrown this. */
        void broken(RuntimeException e);
    }

    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final Discovery discovery;
    private final Balancer balancer;
    private final long answerNs;
    private final Observer observer;
    private int tickets;
    private boolean stopped;

    private HollowProxy(Config config, EventLoop loop, Balancer.Factory factory, long answerNs,
            Observer observer) {
        this.loop = loop;
        this.answerNs = answerNs;
        this.observer = observer;
        this.discovery = new Discovery(loop, config, this);
        this.balancer = factory.create(config.settings(), config.seed(), clock.now(), this);
    }

    /**
     * Opens the watch. To be called on the loop.
     *
     * @param config of it the address of discovery, the seed and the settings count
     * @param answerNs an attempt is answered so long after it was sent
     */
    public static HollowProxy start(Config config, EventLoop loop, Balancer.Factory factory, long answerNs,
            Observer observer) {
        HollowProxy p = new HollowProxy(config, loop, factory, answerNs, observer);
        p.discovery.watch(true);
        return p;
    }

    /** A request comes whose client leaves after so long. To be called on the loop. */
    public void request(int profile, long leftNs) {
        int ticket = ++tickets;
        enqueue(now -> balancer.onRequest(now, new Request(ticket, profile, 0, 0, leftNs, 0, false)));
    }

    /** Ends the watch; timers that are set do nothing any more. To be called on the loop. */
    public void stop() {
        stopped = true;
        discovery.watch(false);
    }

    /** Never from inside an action of the module: it is all told in a turn of its own. */
    private void enqueue(LongConsumer event) {
        loop.execute(() -> {
            if (stopped) {
                return;
            }
            try {
                event.accept(clock.now());
            } catch (RuntimeException e) {
                observer.broken(e);
            }
        });
    }

    @Override
    public void onListUpdate(Discovery.ListUpdate listUpdate) {
        List<Member> members = listUpdate.members();
        enqueue(now -> {
            balancer.onMembers(now, listUpdate.kind(), listUpdate.version(), members);
            observer.inForce(listUpdate.kind(), listUpdate.version(), members);
        });
    }

    @Override
    public void failed() {
        enqueue(now -> balancer.onMembers(now, ListKind.FAILED, 0, List.of()));
    }

    @Override
    public void send(int ticket, int server, long timeoutNs) {
        observer.sent(server);
        long sentAt = clock.now();
        // It is served at the first attempt, and over with it: a second one never comes.
        loop.schedule(() -> enqueue(now -> balancer.onOutcome(now,
                new Outcome(ticket, 0, server, Status.OK, now - sentAt, true, null))),
                answerNs, TimeUnit.NANOSECONDS);
    }

    @Override
    public void refuse(int ticket, long retryInNs) {
        observer.turnedAway();
    }

    @Override
    public void fail(int ticket) {
        observer.turnedAway();
    }

    @Override
    public void cancel(int ticket, int attempt) {
        // What is out is answered as served all the same.
    }

    @Override
    public void timer(long at, long token) {
        loop.schedule(() -> enqueue(now -> balancer.onTimer(now, token)), Math.max(0, at - clock.now()),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdle(int server) {
        // It has no connections to backends.
    }

    @Override
    public void subscribe(boolean on) {
        discovery.watch(on);
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
        throw new UnsupportedOperationException("a hollow proxy talks to no peers");
    }

    @Override
    public void reload() {
        throw new UnsupportedOperationException("a hollow proxy watches, it does not ask once");
    }
}
