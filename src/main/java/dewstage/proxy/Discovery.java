package dewstage.proxy;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import dewstage.Balancer.ListKind;
import dewstage.Balancer.Member;
import dewstage.CallTiming;
import dewstage.ListFreshness;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a watch on discovery and turns what it says into list events. A watch that ends, falls silent or says
 * what cannot be read is opened again from the last version; the old list stands meanwhile.
 */
final class Discovery implements DiscoveryWatch.Owner {
    /** A backend as listed, and where this proxy reaches it; the socket address is made when asked for. */
    static class Listed {
        private final Member member;
        /** The IP address, of version 4 as a number, else its bytes; the port, or -1 for no address. */
        private final int ip;
        private final byte[] longIp;
        private final int port;

        Listed(Member member, InetSocketAddress address) {
            this.member = member;
            byte[] bytes = address == null ? new byte[4] : address.getAddress().getAddress();
            this.ip = bytes.length == 4 ? ByteBuffer.wrap(bytes).getInt() : 0;
            this.longIp = bytes.length == 4 ? null : bytes;
            this.port = address == null ? -1 : address.getPort();
        }

        final Member member() {
            return member;
        }

        /** Null if it has none, which only one that is gone may. */
        final InetSocketAddress address() {
            if (port < 0) {
                return null;
            }
            try {
                return new InetSocketAddress(InetAddress.getByAddress(
                        longIp == null ? ByteBuffer.allocate(4).putInt(ip).array() : longIp), port);
            } catch (UnknownHostException e) {
                throw new AssertionError("not of this length", e);
            }
        }

        final boolean same(Listed other) {
            return ip == other.ip && port == other.port && Arrays.equals(longIp, other.longIp)
                    && member.equals(other.member);
        }
    }

    /** One piece of news, in order: after the first list only what differs from the ones before. */
    record ListUpdate(ListKind kind, long version, List<Listed> list) {
        /** What the module hears of it: a view, since a list may be long. */
        List<Member> members() {
            return new AbstractList<>() {
                @Override
                public Member get(int i) {
                    return list.get(i).member();
                }

                @Override
                public int size() {
                    return list.size();
                }
            };
        }
    }

    /** Who hears of it: news, or that the watch failed. */
    interface Listener {
        void onListUpdate(ListUpdate listUpdate);

        /** Part of a list that has broken off: servers that leave. It confirms nothing. */
        default void onBrokenList(ListUpdate leaving) {
            onListUpdate(leaving);
        }

        void failed();
    }

    /**
     * One and a half beats of 2 s. What is not heard counts as told 6 s after the last beat all the same, and
     * by then all proxies must have called again, in turn, and been answered.
     */
    static final long SILENCE_MS = 3000;
    /** While a call waits, so often a look whether discovery is there; it is not after so many in a row. */
    private static final long LOOK_MS = 2000;
    private static final int MOST_FAILED_LOOKS = 2;
    private static final long FIRST_PAUSE_MS = 100, LONGEST_PAUSE_MS = 1600;
    /** A list that is too large is so again at the next call, and costs all that is sent of it. */
    static final long FIRST_REFUSAL_MS = 1000, LONGEST_REFUSAL_MS = 64_000;

    private final EventLoop loop;
    private final Config config;
    private final Listener listener;
    private final long silenceMs;
    private final long room;
    private final Membership membership;
    private final ListFreshness freshness;
    private final CallTiming patience = new CallTiming();
    private final SplittableRandom random;
    private InetSocketAddress address;
    private long version = -1;
    private long pauseMs = FIRST_PAUSE_MS;
    private long refusalMs;
    /** The end of the pause behind a list that is too large, by nanoTime. */
    private long notBefore = System.nanoTime();
    private boolean wanted;
    /** The watch whose lists count, and the call that is to take its place; null if there is none. */
    private DiscoveryWatch watch;
    private DiscoveryWatch call;
    private ScheduledFuture<?> retry;
    /** While a call waits: when it is given up, and the next look for a sign of life. */
    private ScheduledFuture<?> waitEnd;
    private ScheduledFuture<?> look;
    private int calls;
    private int failedLooks;
    /** Calls in a row that did not connect. */
    private int unconnected;
    /** When a list or a beat last came, by nanoTime; 0 if none ever did. */
    private long confirmedAt;

    Discovery(EventLoop loop, Config config, Listener listener) {
        this(loop, config, listener, SILENCE_MS, Membership.usualRoom());
    }

    /** The entries of all that is listed may take so much room, in bytes, and so may the text of one list. */
    Discovery(EventLoop loop, Config config, Listener listener, long silenceMs, long room) {
        this(loop, config, listener, silenceMs, room,
                new ListFreshness(config.drainGraceNs(), config.settings().askWithinNs()));
    }

    /** Tells the freshness what it learns. */
    Discovery(EventLoop loop, Config config, Listener listener, long silenceMs, long room,
            ListFreshness freshness) {
        this.room = room;
        this.membership = new Membership(room);
        this.loop = loop;
        this.config = config;
        this.listener = listener;
        this.address = config.discovery();
        this.silenceMs = silenceMs;
        this.freshness = freshness;
        this.random = new SplittableRandom(config.seed());
    }

    /** The list that the proxy was started with; null if there is none that can be read. */
    ListUpdate known() {
        try (JsonParser parser = config.known().open()) {
            JsonToken first = parser.nextToken();
            if (first != JsonToken.START_OBJECT) {
                return null;
            }
            ListUpdate listUpdate = read(parser, first);
            return new ListUpdate(ListKind.CACHED, listUpdate.version(), listUpdate.list());
        } catch (IOException | IllegalArgumentException e) {
            Log.line("the known list is not used: " + Json.firstLine(e));
            return null;
        }
    }

    /** Takes in a list from elsewhere; throws IllegalArgumentException if it is none. */
    ListUpdate read(JsonParser parser) throws IOException {
        return read(parser, parser.nextToken());
    }

    private ListUpdate read(JsonParser parser, JsonToken first) throws IOException {
        ListReader reader = new ListReader(membership, config);
        ListUpdate listUpdate = reader.take(parser, first);
        while (listUpdate == null) {
            JsonToken t = parser.nextToken();
            if (t == null) {
                throw new IllegalArgumentException("it has no end");
            }
            listUpdate = reader.take(parser, t);
        }
        return listUpdate;
    }

    /** What is listed under a number; null if nothing is. */
    Listed listed(int number) {
        return membership.get(number);
    }

    /** The id of what is listed under a number; the number itself if nothing is. */
    String name(int number) {
        Membership.Entry entry = membership.get(number);
        return entry == null ? "#" + Integer.toUnsignedString(number) : entry.id;
    }

    /** Opens the watch or closes it. Pushed lists are watched for good; one that is asked for is one call. */
    void watch(boolean on) {
        if (on && wanted && (call != null || watch != null && watch.address().equals(address))) {
            return; // a further call would only go to the end of the line that this one waits in
        }
        closeCall("closed by this proxy");
        if (!on) {
            closeWatch("closed by this proxy");
        }
        wanted = on;
        long waitNs = notBefore - System.nanoTime();
        if (on && waitNs > 0) {
            retry = loop.schedule(this::open, waitNs, TimeUnit.NANOSECONDS);
        } else if (on) {
            open();
        }
    }

    /**
     * Discovery is elsewhere now: it is called there at once, from the last version that was heard, also
     * where the module has a pause before its next call: that is for the old address. The old watch counts
     * until the new address has answered.
     */
    void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        pauseMs = FIRST_PAUSE_MS;
        refusalMs = 0;
        notBefore = System.nanoTime();
        freshness.onAddressChanged(System.nanoTime());
        closeCall("discovery has moved");
        wanted = true;
        open();
    }

    private void closeWatch(String reason) {
        if (watch != null) {
            watch.close(reason);
            watch = null;
        }
    }

    /** Ends the call that waits, or the wait for the next. */
    private void closeCall(String reason) {
        if (call != null) {
            call.close(reason);
            callIsOver();
        }
        cancel(retry);
        retry = null;
    }

    private void callIsOver() {
        call = null;
        cancel(waitEnd);
        cancel(look);
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void open() {
        retry = null;
        failedLooks = 0;
        call = new DiscoveryWatch(loop, this, address, version, silenceMs, room,
                new ListReader(membership, config), newRecord());
        waitEnd = loop.schedule(() -> call.giveUp("no answer"), patience.timeoutNs(), TimeUnit.NANOSECONDS);
        look = loop.schedule(this::lookForLife, LOOK_MS, TimeUnit.MILLISECONDS);
        call.open((int) connectMs(config.drainGraceNs()));
    }

    /** In an outage every call fails to connect: of those in a row the first, second, fourth... count. */
    private DiscoveryCall newRecord() {
        boolean logged = Integer.bitCount(unconnected + 1) == 1;
        return new DiscoveryCall(++calls, address, version, logged);
    }

    /**
     * A call in a long line looks like one to a machine that has vanished. But a machine that is there
     * accepts connections, also where discovery has no time for calls.
     */
    private void lookForLife() {
        if (watch != null && watch.address().equals(address)) {
            look = loop.schedule(this::lookForLife, LOOK_MS, TimeUnit.MILLISECONDS);
            return; // it speaks, or ends as silent
        }
        DiscoveryWatch waiting = call;
        ChannelFuture connect = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMs(config.drainGraceNs()))
                .handler(new ChannelInboundHandlerAdapter()).connect(address);
        boolean noDescriptor = Sockets.noneFor(connect);
        connect.addListener(f -> {
            if (!noDescriptor) {
                connect.channel().close();
            }
            if (waiting == call) {
                looked(f.isSuccess() || noDescriptor);
            }
        });
    }

    private void looked(boolean alive) {
        failedLooks = alive ? 0 : failedLooks + 1;
        if (failedLooks >= MOST_FAILED_LOOKS) {
            freshness.onUnreachable(System.nanoTime());
            call.giveUp("discovery accepts no connections any more");
        } else {
            look = loop.schedule(this::lookForLife, alive ? LOOK_MS : FIRST_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void answered(DiscoveryWatch answered) {
        patience.onAnswered(answered.ageNs());
        callIsOver();
        unconnected = 0;
        closeWatch("another call is answered");
        watch = answered;
    }

    @Override
    public void alive(DiscoveryWatch alive) {
        if (version >= 0) {
            confirm(alive);
        }
    }

    @Override
    public void listed(DiscoveryWatch from, ListUpdate update) {
        version = update.version();
        pauseMs = FIRST_PAUSE_MS;
        confirm(from);
        listener.onListUpdate(update);
    }

    @Override
    public void brokenOff(ListUpdate leaving) {
        Log.line("a list of discovery has broken off; " + leaving.list().size() + " servers that it named as"
                + " leaving are taken out");
        listener.onBrokenList(leaving);
    }

    /** What the old address says after a move is no sign that the list is that of the new one. */
    private void confirm(DiscoveryWatch by) {
        if (by.address().equals(address)) {
            confirmedAt = System.nanoTime();
            freshness.onConfirmed(confirmedAt);
        }
    }

    @Override
    public void ended(DiscoveryWatch ended, DiscoveryWatch.End end) {
        long pauseNs = 0;
        if (ended == call) {
            pauseNs = callFailed(end);
        } else {
            watch = null;
            if (end == DiscoveryWatch.End.CLOSED_BY_PEER) {
                freshness.onWatchEnded(System.nanoTime());
            }
        }
        // Doubles until a watch ends otherwise: a list that was taken ahead of the large one proves nothing.
        refusalMs = end == DiscoveryWatch.End.TOO_LARGE
                ? Math.max(FIRST_REFUSAL_MS, Math.min(2 * refusalMs, LONGEST_REFUSAL_MS)) : 0;
        pauseNs = Math.max(pauseNs, TimeUnit.MILLISECONDS.toNanos(refusalMs));
        notBefore = System.nanoTime() + pauseNs;
        if (wanted && call == null && retry == null) {
            callAgain(pauseNs);
        }
    }

    /** The last call or watch has ended; the next call comes no sooner than after a pause. */
    private void callAgain(long pauseNs) {
        if (config.settings().askForList()) {
            // Here calls cost, and the module says when to ask again.
            wanted = false;
            listener.failed();
            return;
        }
        long usualNs = TimeUnit.MILLISECONDS.toNanos(jittered(pauseMs));
        retry = loop.schedule(this::open, Math.max(usualNs, pauseNs), TimeUnit.NANOSECONDS);
        pauseMs = Math.min(2 * pauseMs, longestPauseMs(config.drainGraceNs()));
    }

    /** Returns for how long discovery must be left alone. */
    private long callFailed(DiscoveryWatch.End end) {
        long waitedNs = call.ageNs();
        long now = System.nanoTime();
        callIsOver();
        unconnected = end == DiscoveryWatch.End.NOT_CONNECTED ? unconnected + 1 : 0;
        if (end == DiscoveryWatch.End.NOT_CONNECTED) {
            freshness.onUnreachable(now);
        } else if (end == DiscoveryWatch.End.SILENT) {
            patience.onTimedOut();
        } else if (end == DiscoveryWatch.End.REFUSED || end == DiscoveryWatch.End.CLOSED_BY_PEER) {
            freshness.onCallRefused(now);
            patience.onRefused(waitedNs);
            return CallTiming.wasQueued(waitedNs)
                    ? patience.retryDelayNs(freshness.isReliable(now), random.nextDouble()) : 0;
        }
        return 0;
    }

    /** Between half and all of it, so that those who failed together do not call in step. */
    private long jittered(long ms) {
        return ms / 2 + random.nextLong(ms / 2 + 1);
    }

    /**
     * Where lists are pushed, what comes in while discovery could not be reached counts as told at its return
     * at once: a try that hangs and the pause behind it must leave some of the time that drains have.
     */
    static long connectMs(long drainGraceNs) {
        return Math.max(FIRST_PAUSE_MS, Math.min(LONGEST_PAUSE_MS, drainGraceNs / 2_000_000));
    }

    static long longestPauseMs(long drainGraceNs) {
        return connectMs(drainGraceNs) / 2;
    }

    /** How long ago discovery last showed that the list is current, in ns; -1 if it never did. */
    long listAgeNs() {
        return confirmedAt == 0 ? -1 : System.nanoTime() - confirmedAt;
    }

    /** The version of the list in force; -1 if there is none. */
    long version() {
        return version;
    }

    /** How many backends have a number. */
    int numbered() {
        return membership.size();
    }

    /** FNV-1a, its bits mixed well. */
    static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 32) * 0x9e3779b97f4a7c15L;
        return h ^ h >>> 29;
    }

    /** The version that a watch starts after, once the known list has been taken. */
    void startFrom(long known) {
        version = known;
    }
}
