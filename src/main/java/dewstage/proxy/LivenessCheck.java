package dewstage.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Checks at intervals whether a host accepts connections, by opening one and closing it again, to distinguish
 * a call that waits in a long queue from one to a host that has vanished: a live host accepts connections
 * even if its service is too busy for calls. All methods run on one event loop.
 */
final class LivenessCheck {
    private static final long INTERVAL_MS = 2000;
    /** Delay of the check that follows a failed one. */
    private static final long RECHECK_DELAY_MS = 100;
    private static final int MAX_FAILURES = 2;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int connectTimeoutMs;
    private final BooleanSupplier isRedundant;
    private final Consumer<ConnectFailure> onFailed;
    private ScheduledFuture<?> timer;
    /** Failed checks in a row. */
    private int failures;
    private boolean isStopped;

    /**
     * Prepares the checks; {@link #start} begins them.
     *
     * @param isRedundant whether a check may be left out, asked before each
     * @param onFailed called once, with the last failure, when checks have failed twice in a row
     */
    LivenessCheck(EventLoop loop, InetSocketAddress address, int connectTimeoutMs,
            BooleanSupplier isRedundant, Consumer<ConnectFailure> onFailed) {
        this.loop = loop;
        this.address = address;
        this.connectTimeoutMs = connectTimeoutMs;
        this.isRedundant = isRedundant;
        this.onFailed = onFailed;
    }

    /** Begins with the first interval. */
    void start() {
        schedule(INTERVAL_MS);
    }

    /** Ends the checks; nothing is reported any more. */
    void stop() {
        isStopped = true;
        timer.cancel(false);
    }

    private void schedule(long delayMs) {
        timer = loop.schedule(this::check, delayMs, TimeUnit.MILLISECONDS);
    }

    private void check() {
        if (isRedundant.getAsBoolean()) {
            schedule(INTERVAL_MS);
            return;
        }
        ChannelFuture connect = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .handler(new ChannelInboundHandlerAdapter()).connect(address);
        boolean noDescriptor = Sockets.hasNoDescriptor(connect);
        connect.addListener(f -> {
            if (!noDescriptor) {
                connect.channel().close();
            }
            if (!isStopped) {
                onChecked(f.isSuccess() || noDescriptor, f.cause());
            }
        });
    }

    private void onChecked(boolean isAlive, Throwable cause) {
        failures = isAlive ? 0 : failures + 1;
        if (failures >= MAX_FAILURES) {
            isStopped = true;
            onFailed.accept(ConnectFailure.of(cause));
        } else {
            schedule(isAlive ? INTERVAL_MS : RECHECK_DELAY_MS);
        }
    }
}
