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
 * Keeps a watch on the discovery service and turns its lists into updates. A watch that ends, stalls or
 * delivers an invalid list is reopened from the last version; the current list stays in force meanwhile.
 */
final class Discovery implements DiscoveryWatch.Owner {
    /** A backend as listed, with its address. The socket address is created on request to save memory. */
    static class ListedBackend {
        private final Member member;
        /** An IPv4 address; 0 if {@code ipv6} is set. */
        private final int ipv4;
        private final byte[] ipv6;
        /** -1 if the backend has no address. */
        private final int port;

        ListedBackend(Member member, InetSocketAddress address) {
            this.member = member;
            byte[] bytes = address == null ? new byte[4] : address.getAddress().getAddress();
            this.ipv4 = bytes.length == 4 ? ByteBuffer.wrap(bytes).getInt() : 0;
            this.ipv6 = bytes.length == 4 ? null : bytes;
            this.port = address == null ? -1 : address.getPort();
        }

        final Member member() {
            return member;
        }

        /** Returns null if there is no address, which is allowed only for a backend that is gone. */
        final InetSocketAddress address() {
            if (port < 0) {
                return null;
            }
            try {
                return new InetSocketAddress(InetAddress.getByAddress(
                        ipv6 == null ? ByteBuffer.allocate(4).putInt(ipv4).array() : ipv6), port);
            } catch (UnknownHostException e) {
                throw new AssertionError("IP address of invalid length", e);
            }
        }

        final boolean isSameAs(ListedBackend other) {
            return ipv4 == other.ipv4 && port == other.port && Arrays.equals(ipv6, other.ipv6)
                    && member.equals(other.member);
        }
    }

    /** One change of the member list. After the first list it holds only the entries that differ. */
    record ListUpdate(ListKind kind, long version, List<ListedBackend> entries) {
        /** The members for the decision module, as a view because a list may be long. */
        List<Member> members() {
            return new AbstractList<>() {
                @Override
                public Member get(int i) {
                    return entries.get(i).member();
                }

                @Override
                public int size() {
                    return entries.size();
                }
            };
        }
    }

    /** Receives list updates and failures of the watch. */
    interface Listener {
        void onListUpdate(ListUpdate listUpdate);

        /** Called with the leaving servers of a truncated list. It does not confirm the current list. */
        default void onTruncatedList(ListUpdate leaving) {
            onListUpdate(leaving);
        }

        void onWatchFailed();
    }

    /**
     * One and a half heartbeat intervals of 2 s. A change counts as delivered 6 s after the last heartbeat
     * even if it never arrived, and by then all proxies must have called again and been answered in turn.
     */
    static final long STALL_TIMEOUT_MS = 3000;
    /** Interval at which discovery is checked for accepting connections while a call waits. */
    private static final long LIVENESS_CHECK_MS = 2000;
    private static final int MAX_FAILED_LIVENESS_CHECKS = 2;
    private static final long MIN_RETRY_PAUSE_MS = 100;
    private static final long MAX_RETRY_PAUSE_MS = 1600;
    /** Pause after a list that is too large: the next call would receive and discard the same list again. */
    static final long MIN_TOO_LARGE_PAUSE_MS = 1000;
    static final long MAX_TOO_LARGE_PAUSE_MS = 64_000;

    private final EventLoop loop;
    private final Config config;
    private final Listener listener;
    private final long stallTimeoutMs;
    private final long maxListBytes;
    private final Membership membership;
    private final ListFreshness freshness;
    private final CallTiming patience = new CallTiming();
    private final SplittableRandom random;
    private InetSocketAddress address;
    private long version = -1;
    private long retryPauseMs = MIN_RETRY_PAUSE_MS;
    private long tooLargePauseMs;
    /** Earliest time of the next call, by nanoTime. */
    private long nextCallAtNs = System.nanoTime();
    private boolean isWatchWanted;
    /** The answered watch, whose lists are applied; null if there is none. */
    private DiscoveryWatch watch;
    /** The call that replaces the watch once it is answered; null if there is none. */
    private DiscoveryWatch call;
    private ScheduledFuture<?> retryTimer;
    /** Gives up the waiting call. */
    private ScheduledFuture<?> callTimer;
    /** Starts the next liveness check while a call waits. */
    private ScheduledFuture<?> livenessTimer;
    private int callCount;
    private int failedLivenessChecks;
    /** Consecutive calls that failed to connect. */
    private int failedConnects;
    /** When a list or a heartbeat was last received, by nanoTime; 0 if never. */
    private long confirmedAtNs;

    Discovery(EventLoop loop, Config config, Listener listener) {
        this(loop, config, listener, STALL_TIMEOUT_MS,
                HeapShares.ofThisProcess(config.sockets()).listBytes());
    }

    /**
     * Creates a discovery client that is not watching yet.
     *
     * @param maxListBytes limit of the memory for all listed entries, and of the text of one list
     */
    Discovery(EventLoop loop, Config config, Listener listener, long stallTimeoutMs, long maxListBytes) {
        this(loop, config, listener, stallTimeoutMs, maxListBytes,
                new ListFreshness(config.drainGraceNs(), config.settings().askWithinNs()));
    }

    /** As above, with the tracker that is notified of confirmations, refusals and outages. */
    Discovery(EventLoop loop, Config config, Listener listener, long stallTimeoutMs, long maxListBytes,
            ListFreshness freshness) {
        this.maxListBytes = maxListBytes;
        this.membership = new Membership(maxListBytes);
        this.loop = loop;
        this.config = config;
        this.listener = listener;
        this.address = config.discovery();
        this.stallTimeoutMs = stallTimeoutMs;
        this.freshness = freshness;
        this.random = new SplittableRandom(config.seed());
    }

    /** Reads the list in the configuration; returns null if it is missing or invalid. */
    ListUpdate readKnownList() {
        try (JsonParser parser = config.knownList().open()) {
            JsonToken first = parser.nextToken();
            if (first != JsonToken.START_OBJECT) {
                return null;
            }
            ListUpdate listUpdate = read(parser, first);
            return new ListUpdate(ListKind.CACHED, listUpdate.version(), listUpdate.entries());
        } catch (IOException | IllegalArgumentException e) {
            Log.line("ignoring the known list of the configuration: " + Json.firstLine(e));
            return null;
        }
    }

    /** Applies a list that is not from the watch; throws IllegalArgumentException if it is invalid. */
    ListUpdate read(JsonParser parser) throws IOException {
        return read(parser, parser.nextToken());
    }

    private ListUpdate read(JsonParser parser, JsonToken first) throws IOException {
        ListReader reader = new ListReader(membership, config);
        ListUpdate listUpdate = reader.accept(parser, first);
        while (listUpdate == null) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new IllegalArgumentException("unexpected end of the list");
            }
            listUpdate = reader.accept(parser, token);
        }
        return listUpdate;
    }

    /** Returns the backend with this number, or null. */
    ListedBackend find(int number) {
        return membership.get(number);
    }

    /** Returns the id of the backend with this number; if it is not listed, the number itself. */
    String idOf(int number) {
        Membership.Entry entry = membership.get(number);
        return entry == null ? "#" + Integer.toUnsignedString(number) : entry.id;
    }

    /**
     * Opens or closes the watch. With pushed lists a watch that ends is reopened; with lists on request it is
     * not, and the module asks for the next call.
     */
    void setWatching(boolean on) {
        if (on && isWatchWanted && (call != null || watch != null && watch.address().equals(address))) {
            return; // a new call would go to the end of the queue in which the current one waits
        }
        closeCall("closed by this proxy");
        if (!on) {
            closeWatch("closed by this proxy");
        }
        isWatchWanted = on;
        long waitNs = nextCallAtNs - System.nanoTime();
        if (on && waitNs > 0) {
            retryTimer = loop.schedule(this::openCall, waitNs, TimeUnit.NANOSECONDS);
        } else if (on) {
            openCall();
        }
    }

    /**
     * Calls discovery at a new address at once, from the last received version. A pause that the module
     * requested does not apply, since it was meant for the old address. The old watch stays in use until the
     * new address answers.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        retryPauseMs = MIN_RETRY_PAUSE_MS;
        tooLargePauseMs = 0;
        nextCallAtNs = System.nanoTime();
        freshness.onAddressChanged(System.nanoTime());
        closeCall("discovery has moved");
        isWatchWanted = true;
        openCall();
    }

    private void closeWatch(String reason) {
        if (watch != null) {
            watch.close(reason);
            watch = null;
        }
    }

    /** Closes the waiting call and cancels the scheduled one. */
    private void closeCall(String reason) {
        if (call != null) {
            call.close(reason);
            clearCall();
        }
        cancel(retryTimer);
        retryTimer = null;
    }

    private void clearCall() {
        call = null;
        cancel(callTimer);
        cancel(livenessTimer);
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void openCall() {
        retryTimer = null;
        try {
            startCall();
        } catch (RuntimeException | Error e) {
            Log.failure("discovery cannot be called", e);
            closeCall("failed to start");
            retryTimer = loop.schedule(this::openCall, MAX_RETRY_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void startCall() {
        failedLivenessChecks = 0;
        call = new DiscoveryWatch(loop, this, address, version, stallTimeoutMs, maxListBytes,
                new ListReader(membership, config), newCallLog());
        callTimer = loop.schedule(() -> call.giveUp("no answer"), patience.timeoutNs(), TimeUnit.NANOSECONDS);
        scheduleLivenessCheck(LIVENESS_CHECK_MS);
        call.open((int) connectTimeoutMs(config.drainGraceNs()));
    }

    /** In an outage, when every call fails to connect, only the 1st, 2nd, 4th, 8th... in a row is logged. */
    private DiscoveryCallLog newCallLog() {
        boolean isLogged = Integer.bitCount(failedConnects + 1) == 1;
        return new DiscoveryCallLog(++callCount, address, version, isLogged);
    }

    /**
     * Opens a connection and closes it again, to distinguish a call that waits in a long queue from one to a
     * host that has vanished: a live host accepts connections even if discovery is too busy for calls.
     */
    private void checkLiveness() {
        if (watch != null && watch.address().equals(address)) {
            scheduleLivenessCheck(LIVENESS_CHECK_MS);
            return; // the watch at this address either receives data or ends as stalled
        }
        DiscoveryWatch waiting = call;
        ChannelFuture connect = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeoutMs(config.drainGraceNs()))
                .handler(new ChannelInboundHandlerAdapter()).connect(address);
        boolean noDescriptor = Sockets.hasNoDescriptor(connect);
        connect.addListener(f -> {
            if (!noDescriptor) {
                connect.channel().close();
            }
            if (waiting == call && (f.isSuccess() || noDescriptor)) {
                failedLivenessChecks = 0;
                scheduleLivenessCheck(LIVENESS_CHECK_MS);
            } else if (waiting == call) {
                onLivenessCheckFailed(ConnectFailure.of(f.cause()));
            }
        });
    }

    private void onLivenessCheckFailed(ConnectFailure failure) {
        failedLivenessChecks++;
        if (failedLivenessChecks < MAX_FAILED_LIVENESS_CHECKS) {
            scheduleLivenessCheck(MIN_RETRY_PAUSE_MS);
            return;
        }
        recordConnectFailure(failure);
        call.giveUp("discovery no longer accepts connections");
    }

    private void recordConnectFailure(ConnectFailure failure) {
        switch (failure) {
            case REFUSED -> freshness.onConnectionRefused(System.nanoTime());
            case TIMED_OUT -> freshness.onConnectionTimedOut(System.nanoTime());
            default -> { } // says nothing of discovery
        }
    }

    private void scheduleLivenessCheck(long delayMs) {
        livenessTimer = loop.schedule(this::checkLiveness, delayMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void onConnected(DiscoveryWatch source) {
        if (source.address().equals(address)) {
            freshness.onConnected();
        }
    }

    @Override
    public void onAnswered(DiscoveryWatch source) {
        patience.onAnswered(source.ageNs());
        clearCall();
        failedConnects = 0;
        closeWatch("another call is answered");
        watch = source;
    }

    @Override
    public void onHeartbeat(DiscoveryWatch source) {
        if (version >= 0) {
            confirm(source);
        }
    }

    @Override
    public void onList(DiscoveryWatch source, ListUpdate update) {
        version = update.version();
        retryPauseMs = MIN_RETRY_PAUSE_MS;
        confirm(source);
        listener.onListUpdate(update);
    }

    @Override
    public void onListTruncated(ListUpdate leaving) {
        Log.line("a list from discovery was truncated; applying " + leaving.entries().size() + " servers that"
                + " it named as leaving");
        listener.onTruncatedList(leaving);
    }

    /** After a move, data from the old address does not confirm the list of the new one. */
    private void confirm(DiscoveryWatch source) {
        if (source.address().equals(address)) {
            confirmedAtNs = System.nanoTime();
            freshness.onConfirmed(confirmedAtNs);
        }
    }

    @Override
    public void onEnded(DiscoveryWatch source, DiscoveryWatch.EndReason reason) {
        long pauseNs = 0;
        if (source == call) {
            pauseNs = onCallFailed(reason);
        } else {
            watch = null;
            if (source.address().equals(address)) {
                recordWatchEnd(source, reason);
            }
        }
        // Doubles until a watch ends for another reason. A smaller list received on the same watch before the
        // large one does not reset it.
        tooLargePauseMs = reason == DiscoveryWatch.EndReason.TOO_LARGE
                ? Math.max(MIN_TOO_LARGE_PAUSE_MS, Math.min(2 * tooLargePauseMs, MAX_TOO_LARGE_PAUSE_MS)) : 0;
        pauseNs = Math.max(pauseNs, TimeUnit.MILLISECONDS.toNanos(tooLargePauseMs));
        nextCallAtNs = System.nanoTime() + pauseNs;
        if (isWatchWanted && call == null && retryTimer == null) {
            scheduleCall(pauseNs);
        }
    }

    private void recordWatchEnd(DiscoveryWatch source, DiscoveryWatch.EndReason reason) {
        if (!source.wasUpToDate()) {
            freshness.onChangesMissed();
        } else if (reason == DiscoveryWatch.EndReason.CLOSED_BY_PEER) {
            freshness.onWatchEnded(System.nanoTime());
        } else if (reason == DiscoveryWatch.EndReason.STALLED) {
            freshness.onWatchSilent();
        }
    }

    /** Schedules the next call after the retry pause, but no sooner than after {@code minPauseNs}. */
    private void scheduleCall(long minPauseNs) {
        if (config.settings().askForList()) {
            // Calls are expensive in this mode, so the module decides when to call again.
            isWatchWanted = false;
            listener.onWatchFailed();
            return;
        }
        long backoffNs = TimeUnit.MILLISECONDS.toNanos(jittered(retryPauseMs));
        retryTimer = loop.schedule(this::openCall, Math.max(backoffNs, minPauseNs), TimeUnit.NANOSECONDS);
        retryPauseMs = Math.min(2 * retryPauseMs, maxRetryPauseMs(config.drainGraceNs()));
    }

    /** Returns the minimum pause before the next call, in ns. */
    private long onCallFailed(DiscoveryWatch.EndReason reason) {
        long waitedNs = call.ageNs();
        long now = System.nanoTime();
        clearCall();
        ConnectFailure connectFailure = reason.connectFailure();
        failedConnects = connectFailure != null ? failedConnects + 1 : 0;
        if (connectFailure != null) {
            recordConnectFailure(connectFailure);
        } else if (reason == DiscoveryWatch.EndReason.STALLED) {
            patience.onTimedOut();
        } else if (reason == DiscoveryWatch.EndReason.REFUSED
                || reason == DiscoveryWatch.EndReason.CLOSED_BY_PEER) {
            freshness.onCallRefused(now);
            patience.onRefused(waitedNs);
            return CallTiming.wasQueued(waitedNs)
                    ? patience.retryDelayNs(freshness.isReliable(now), random.nextDouble()) : 0;
        }
        return 0;
    }

    /** Random time between half of {@code ms} and all of it, so that proxies do not retry in lockstep. */
    private long jittered(long ms) {
        return ms / 2 + random.nextLong(ms / 2 + 1);
    }

    /**
     * Connect timeout for discovery. With pushed lists, changes made while discovery was unreachable count as
     * delivered as soon as it is back, so a connect that hangs and the pause after it must leave part of the
     * drain grace.
     */
    static long connectTimeoutMs(long drainGraceNs) {
        return Math.max(MIN_RETRY_PAUSE_MS, Math.min(MAX_RETRY_PAUSE_MS, drainGraceNs / 2_000_000));
    }

    static long maxRetryPauseMs(long drainGraceNs) {
        return connectTimeoutMs(drainGraceNs) / 2;
    }

    /** Time since discovery last confirmed the list, in ns; -1 if it never did. */
    long listAgeNs() {
        return confirmedAtNs == 0 ? -1 : System.nanoTime() - confirmedAtNs;
    }

    /** Version of the list in force; -1 if there is none. */
    long version() {
        return version;
    }

    int backendCount() {
        return membership.size();
    }

    /** FNV-1a with a final mixing step. */
    static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 32) * 0x9e3779b97f4a7c15L;
        return h ^ h >>> 29;
    }

    /** Sets the version after which the first watch asks for changes. */
    void resumeFrom(long knownVersion) {
        version = knownVersion;
    }
}
