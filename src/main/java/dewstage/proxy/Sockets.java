package dewstage.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;

/**
 * Divides the descriptors of the process between clients and backends. At the process's limit accepting,
 * connecting and discovery would all fail at once, and hundreds of client connections must not use up the
 * descriptors for backends.
 */
final class Sockets {
    /**
     * Descriptors that are not used for connections: 41 at the start, for the runtime's files, the selector,
     * the listener and discovery, and up to 16 in a burst of clients, for closed sockets that are released
     * only at the loop's next select. With a limit under twice this number, the excess over it is reserved
     * instead, but at least a quarter of the limit.
     */
    private static final int RESERVED_DESCRIPTORS = 64;

    /** The descriptors of one side. */
    static final class Share {
        private final int limit;
        private int open;
        private BooleanSupplier reclaim = () -> false;

        private Share(int limit) {
            this.limit = Math.max(1, limit);
        }

        /** Sets the action that closes an idle connection of this side; it returns false if there is none. */
        void onExhausted(BooleanSupplier closeOneIdle) {
            this.reclaim = closeOneIdle;
        }

        /** Acquires a descriptor, closing an idle connection if necessary; returns false if none is free. */
        boolean tryAcquire() {
            if (open >= limit && !reclaim.getAsBoolean()) {
                return false;
            }
            open++;
            return true;
        }

        void release() {
            open--;
        }
    }

    /**
     * Reads what has arrived on a channel since the loop's last select; a listener accepts connections. The
     * in-process channels of a rehearsal have no unread data.
     */
    static void readPending(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket && channel.isActive()) {
            socket.read();
        }
    }

    /** Active clients need at most a third of all descriptors; the rest is for clients that send nothing. */
    final Share clients;
    final Share backends;

    /**
     * Whether a connect failed for lack of a descriptor, which may happen within the shares as well. Its
     * channel does not exist, so listeners of the channel's close future are never notified.
     */
    static boolean hasNoDescriptor(ChannelFuture connect) {
        return connect.cause() instanceof ChannelException;
    }

    Sockets(int limit) {
        int available = limit
                - Math.min(RESERVED_DESCRIPTORS, Math.max(limit / 4, limit - RESERVED_DESCRIPTORS));
        this.clients = new Share(available * 3 / 5);
        this.backends = new Share(available - available * 3 / 5);
    }
}
