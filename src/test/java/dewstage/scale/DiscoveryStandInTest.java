package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The stand-in follows the protocol of discovery and holds one copy of the list. */
@Timeout(60)
class DiscoveryStandInTest {
    private static final String PATH = "/catalog/members";
    private static final String WATCH = PATH + "?stream=1";

    private final Fleet fleet = new Fleet(1000, 7);
    private DiscoveryStandIn discovery;

    @BeforeEach
    void start() throws IOException {
        discovery = new DiscoveryStandIn(fleet.backends());
    }

    @AfterEach
    void stop() throws IOException {
        discovery.close();
    }

    private HttpCall call(String path) throws IOException {
        return new HttpCall(discovery.address(), path);
    }

    private HttpCall openCall(String path) throws IOException {
        HttpCall call = call(path);
        assertEquals("HTTP/1.1 200 OK", call.status());
        return call;
    }

    private static JsonNode json(String line) throws IOException {
        return new ObjectMapper().readTree(line);
    }

    private static void assertList(String line, long generation, boolean isFull, int entries)
            throws IOException {
        JsonNode list = json(line);
        assertEquals(generation, list.path("generation").asLong());
        assertEquals(isFull, list.path("reset").asBoolean());
        assertEquals(entries, list.path("instances").size());
    }

    @Test
    void aCallReceivesTheFullListAndTheResponseEnds() throws Exception {
        try (HttpCall call = openCall(PATH)) {
            String line = call.line();
            assertList(line, 1, true, 1000);
            JsonNode entry = json(line).at("/instances/0");
            Backend first = fleet.backends().get(0);
            assertEquals(first.id(), entry.path("instanceId").asText());
            assertEquals(first.hostPort(), entry.path("hostPort").asText());
            assertEquals("in_service", entry.path("lifecycle").asText());
            assertEquals("", call.chunk());
        }
    }

    @Test
    void aWatchReceivesTheFullListThenChangesThenHeartbeats() throws Exception {
        try (HttpCall watch = openCall(WATCH)) {
            assertList(watch.line(), 1, true, 1000);
            assertEquals(2, discovery.publish(fleet.replace(3, 5)));
            assertList(watch.line(), 2, false, 6);
            assertEquals("\n", watch.chunk());
            assertEquals(1, discovery.watchCount());
        }
    }

    @Test
    void anIndexYieldsTheChangesSinceItOrTheFullListIfUnknown() throws Exception {
        discovery.publish(fleet.changeWeights(10));
        discovery.publish(fleet.changeWeights(20));
        try (HttpCall known = openCall(WATCH + "&index=1"); HttpCall current = openCall(WATCH + "&index=3");
                HttpCall unknown = openCall(WATCH + "&index=77")) {
            JsonNode merged = json(known.line());
            assertEquals(3, merged.path("generation").asLong());
            assertTrue(merged.path("instances").size() >= 20 && merged.path("instances").size() <= 30);
            assertList(current.line(), 3, false, 0);
            assertList(unknown.line(), 3, true, 1000);
        }
        discovery.resendFullList();
        try (HttpCall behind = openCall(WATCH + "&index=3")) {
            assertList(behind.line(), 4, true, 1000);
        }
    }

    @Test
    void refusedCallsAreAnswered503WhileWatchesContinue() throws Exception {
        try (HttpCall watch = openCall(WATCH)) {
            watch.line();
            discovery.refuseCalls(true);
            try (HttpCall late = call(WATCH)) {
                assertEquals("HTTP/1.1 503 Service Unavailable", late.status());
            }
            discovery.publish(fleet.changeWeights(1));
            assertList(watch.line(), 2, false, 1);
            assertEquals(1, discovery.counts().refused());
        }
    }

    @Test
    void aStoppedServiceEndsItsWatchesAndRefusesConnections() throws Exception {
        try (HttpCall watch = openCall(WATCH)) {
            watch.line();
            discovery.stop();
            assertNull(watch.chunk());
            assertThrows(ConnectException.class, () -> call(WATCH));
            discovery.restart();
            try (HttpCall again = openCall(WATCH + "&index=1")) {
                assertList(again.line(), 1, false, 0);
            }
        }
    }

    @Test
    void anUnresponsiveServiceSendsNothingAndResetsLaterCalls() throws Exception {
        try (HttpCall watch = openCall(WATCH)) {
            watch.line();
            discovery.stopResponding();
            discovery.publish(fleet.changeWeights(1));
            try (HttpCall late = call(WATCH)) {
                assertTrue(watch.receivesNothingFor(2500), "longer than the heartbeat interval");
                assertTrue(late.receivesNothingFor(1));
                discovery.resumeResponding();
                assertThrows(SocketException.class, late::status);
            }
            assertList(watch.line(), 2, false, 1);
        }
    }

    /** No client reads: the pending bytes of each are bounded and the list is held once. */
    @Test
    void hundredsOfWatchesShareOneEncodedList() throws Exception {
        int watches = 200;
        try (DiscoveryStandIn large = new DiscoveryStandIn(new Fleet(20_000, 7).backends())) {
            List<HttpCall> openWatches = new ArrayList<>();
            long usedBefore = PlatformDependent.usedDirectMemory();
            for (int i = 0; i < watches; i++) {
                HttpCall watch = new HttpCall(large.address(), WATCH);
                openWatches.add(watch);
                assertEquals("HTTP/1.1 200 OK", watch.status());
            }
            assertEquals(watches, large.watchCount());
            long minListBytes = 20_000 * 100; // lower bound of the encoded list
            long usedBytes = PlatformDependent.usedDirectMemory() - usedBefore;
            assertTrue(usedBytes >= minListBytes && usedBytes < 10 * minListBytes,
                    usedBytes + " bytes for " + watches + " watches");
            assertList(openWatches.get(watches - 1).line(), 1, true, 20_000);
            for (HttpCall watch : openWatches) {
                watch.close();
            }
        }
    }
}
