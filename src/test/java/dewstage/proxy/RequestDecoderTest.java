package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the decoder reports that it holds, and that it holds nothing once its input is discarded. */
class RequestDecoderTest {
    private final RequestDecoder decoder = new RequestDecoder();
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Test
    void shortHeaderLinesCountWithTheMemoryOfTheirEntries() {
        receive("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(100));
        assertTrue(decoder.headBytes() >= 100 * 136, decoder.headBytes() + " bytes");
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET / HT", "GET / HTTP/1.1\r\na: b\r\nc: ",
        "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nbo"})
    void nothingIsHeldOnceInputIsDiscarded(String partialRequest) {
        receive(partialRequest);
        decoder.discardInput();
        assertEquals(0, decoder.headBytes());
        assertEquals(0, decoder.undecodedBytes());
        assertFalse(decoder.inRequest());
        channel.releaseInbound();
        receive("GET / HTTP/1.1\r\n\r\n");
        assertNull(channel.readInbound());
    }

    @Test
    void memoryOfTheParserIsReportedAfterALongHead() {
        receive("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        decoder.requestComplete();
        assertEquals(0, decoder.retainedBytes());
        receive("GET / HTTP/1.1\r\nCookie: " + "c".repeat(3000) + "\r\n\r\n");
        decoder.requestComplete();
        assertEquals(0, decoder.headBytes());
        assertTrue(decoder.retainedBytes() >= 3000);
    }
}
