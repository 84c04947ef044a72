package dewstage.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewstage.Balancer;
import dewstage.Policy;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Nine in ten restarted processes must be ready within 10 s. The start itself waits for the rehearsal and, if
 * discovery is unavailable, before it is ready with the configured list. These waits may take half of that
 * time; the rest is for the runtime.
 */
@Timeout(60)
class ReadyInTimeTest {
    private static final long MAX_START_MS = 10_000;

    @Test
    void withoutDiscoveryTheProxyIsReadyAfterTheDiscoveryWait() throws Exception {
        MockTicker ticker = Ticker.newMockTicker();
        ManualIoEventLoop loop =
                new ManualIoEventLoop(null, Thread.currentThread(), NioIoHandler.newFactory(), ticker);
        Peer discovery = new Peer();
        try (Peer backend = new Peer()) {
            Config config = Setup.config(discovery, backend);
            discovery.close();
            CompletableFuture<Proxy> started = CompletableFuture.supplyAsync(() -> {
                try {
                    return Proxy.start(config, loop, Policy::new, new Clock());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            while (!started.isDone()) {
                loop.run(TimeUnit.MILLISECONDS.toNanos(1));
            }
            Proxy proxy = started.get();
            ticker.advanceMillis(Proxy.DISCOVERY_WAIT_MS - 1);
            loop.runNow();
            assertFalse(proxy.isReady());
            ticker.advanceMillis(1);
            loop.runNow();
            assertTrue(proxy.isReady());
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            while (!loop.isTerminated()) {
                ticker.advanceMillis(1);
                loop.runNow();
            }
        }
        long totalWaitMs = Proxy.MAX_REHEARSAL_MS + Proxy.DISCOVERY_WAIT_MS;
        assertTrue(totalWaitMs <= MAX_START_MS / 2, "the start may wait for " + totalWaitMs + " ms");
    }

    /** No request of the rehearsal is answered, so only the time limit ends it. */
    @Test
    void rehearsalWithoutResponsesEndsAfterItsTimeLimit() throws Exception {
        try (Peer discovery = new Peer(); Peer backend = new Peer()) {
            Balancer.Factory unresponsiveFactory = (settings, seed, now, actions) -> (Balancer)
                    java.lang.reflect.Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                            new Class<?>[] {Balancer.class}, (proxy, method, args) -> null);
            assertEquals(0, Rehearsal.run(Setup.config(discovery, backend), unresponsiveFactory, 150, 50));
        }
    }
}
