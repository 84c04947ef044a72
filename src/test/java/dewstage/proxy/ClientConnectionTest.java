package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** What a connection keeps for a client that does not read its responses. */
class ClientConnectionTest {
    private static final byte[] LONG_RESPONSE = new byte[Backends.MAX_BODY_BYTES];
    private static final long TIMEOUT_NS = 3_500_000_000L;

    /** A socket that takes nothing until the test says so. */
    private static final class FullSocket extends ChannelOutboundHandlerAdapter {
        final Queue<ChannelPromise> writes = new ArrayDeque<>();

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            writes.add(promise);
        }
    }

    private static final class CountingOwner implements ClientConnection.Owner {
        int requests;
        long now = 1;

        @Override
        public void onRequest(ClientConnection client, ClientRequest request, long arrivedAt) {
            requests++;
            client.markAccepted(request);
        }

        @Override
        public void onPartialRequest(ClientConnection client) { }

        @Override
        public void onPartialRequestEnded(ClientConnection client) { }

        @Override
        public void onRequestMemoryUsed(ClientConnection client) { }

        @Override
        public boolean onResponse(ClientConnection client, int status) {
            return false;
        }

        @Override
        public void onClosed(ClientConnection client) { }

        @Override
        public long now() {
            return now;
        }

        @Override
        public long earliestArrival() {
            return now;
        }
    }

    private final CountingOwner owner = new CountingOwner();
    private final FullSocket socket = new FullSocket();
    private final MemoryShare responseMemory = new MemoryShare(Long.MAX_VALUE);
    private final EmbeddedChannel channel = new EmbeddedChannel(socket);
    private final ClientConnection client = newConnection();

    private ClientConnection newConnection() {
        RequestDecoder decoder = new RequestDecoder();
        ClientConnection connection = new ClientConnection(channel, decoder,
                new MemoryShare(Long.MAX_VALUE).new Usage(), responseMemory.new Usage(), owner);
        channel.pipeline().addLast(decoder, connection);
        return connection;
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Pipelined requests were handled while no response was read, until memory ran out. */
    @Test
    void nextRequestWaitsUntilTheSocketHasTakenTheLastResponse() {
        receive(Setup.get() + Setup.get() + Setup.get());
        client.respond(200, null, LONG_RESPONSE);
        channel.runPendingTasks();
        assertEquals(1, owner.requests);
        assertTrue(responseMemory.usedBytes() >= LONG_RESPONSE.length);
        socket.writes.remove().setSuccess();
        channel.runPendingTasks();
        assertEquals(2, owner.requests);
        assertEquals(0, responseMemory.usedBytes());
    }

    @Test
    void connectionIsClosedIfTheSocketDoesNotTakeAResponseInTime() {
        receive(Setup.get());
        client.respond(200, null, LONG_RESPONSE);
        owner.now += TIMEOUT_NS;
        client.closeIfTimedOut(owner.now, TIMEOUT_NS, TIMEOUT_NS, TIMEOUT_NS);
        assertTrue(channel.isOpen());
        owner.now++;
        client.closeIfTimedOut(owner.now, TIMEOUT_NS, TIMEOUT_NS, TIMEOUT_NS);
        assertFalse(channel.isOpen());
        assertEquals(0, responseMemory.usedBytes());
    }
}
