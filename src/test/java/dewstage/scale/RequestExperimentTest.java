package dewstage.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dewstage.scale.ProxyProcess.Launch;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A short run of real proxies under load, and the load generator and backends that it uses. */
@Timeout(180)
class RequestExperimentTest {
    private static final long NS_PER_MS = 1_000_000;

    @TempDir
    Path directory;
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    @AfterEach
    void end() {
        timer.shutdownNow();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private BackendStandIn backend(long serviceMs) {
        return new BackendStandIn(loops, timer, 2, serviceMs * NS_PER_MS);
    }

    private OpenLoop load(BackendStandIn backend) {
        return new OpenLoop(loops.next(), List.of(backend.addresses()));
    }

    private static JsonNode table(JsonNode report, int index) {
        return report.path("tables").path(index).path("rows");
    }

    /** Counts only: each proxy receives its list by one call and answers the requests sent to it. */
    @Test
    void realProxiesAreReadyAfterOneCallEachAndServeTheirLoad() throws Exception {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        assertEquals(0, Scale.run(new PrintWriter(out), new PrintWriter(err), "request",
                "--entries", "40,200", "--proxies", "1", "--repeat", "1", "--load-seconds", "1",
                "--ready-seconds", "60", "--json", "-"), err.toString());
        JsonNode report = new ObjectMapper().readTree(out.toString());
        assertEquals(2, table(report, 0).size());
        for (JsonNode start : table(report, 0)) {
            assertEquals(1, start.path("calls to discovery").asInt(), start.toString());
            assertTrue(start.path("ready after s").asDouble() > 0, start.toString());
        }
        assertEquals(3, table(report, 1).size());
        for (JsonNode side : table(report, 1)) {
            assertEquals(245, side.path("sent").asInt(), side.toString());
            // a machine that stalls for the time-out of a client loses some requests
            assertTrue(side.path("not served").asInt() <= 245 / 2, side.toString());
            assertTrue(side.path("ms 50").asDouble() >= 2, "faster than the backend: " + side);
        }
        assertEquals(2, table(report, 2).size());
        assertEquals("not measured", table(report, 3).path(0).path("holds").asText());
    }

    @Test
    void tooManyProcessesAreRefusedBeforeAnyStarts() {
        StringWriter err = new StringWriter();
        assertEquals(2, Scale.run(new PrintWriter(new StringWriter()), new PrintWriter(err), "request",
                "--proxies", "151"));
        assertTrue(err.toString().contains("this needs 302 processes, more than 300"), err.toString());
    }

    @Test
    void unusableOptionsAreInvalidArguments() {
        for (List<String> wrong : List.of(List.of("--proxies", "1,2"), List.of("--load-seconds", "0"),
                List.of("--ready-seconds", "0"), List.of("--baseline", directory.toString()))) {
            StringWriter err = new StringWriter();
            assertEquals(2, Scale.run(new PrintWriter(new StringWriter()), new PrintWriter(err), "request",
                    wrong.get(0), wrong.get(1)));
            assertTrue(err.toString().startsWith(wrong.get(0)), err.toString());
        }
    }

    @Test
    void aGroupThatIsNeverReadyTimesOutAndIsTerminatedWithItsProcesses() throws Exception {
        try (DiscoveryStandIn discovery = new DiscoveryStandIn(new Fleet(20, 1).backends())) {
            Process other = new ProcessBuilder("sleep", "600").start();
            ProxyGroup group;
            try (Processes processes = new Processes()) {
                group = new ProxyGroup(processes, "x", new Launch(List.of("sleep", "600"), directory),
                        discovery, 20, 2, 1, directory);
                assertFalse(group.awaitReady(200 * NS_PER_MS));
                assertTrue(Double.isNaN(group.readyS()));
                assertEquals(2, group.runningCount());
            }
            assertEquals(0, group.runningCount());
            assertTrue(other.isAlive(), "a process that it did not start has ended");
            other.destroyForcibly();
        }
    }

    @Test
    void theRequestRateIsIndependentOfTheResponseTimes() throws Exception {
        try (BackendStandIn backend = backend(300)) {
            OpenLoop.Result result = load(backend).run(100, 1000 * NS_PER_MS);
            assertEquals(100, result.sent());
            // a generator that waits for responses could send only four in that time on each connection
            assertTrue(result.latencies().count() >= 90, result.latencies().count() + " served");
            assertTrue(result.latencies().percentileMs(0) >= 299, "faster than the backend");
            assertEquals(result.latencies().count(), backend.servedCount());
        }
    }

    @Test
    void aPauseCountsInTheLatencyOfAllRequestsScheduledDuringIt() throws Exception {
        try (BackendStandIn backend = backend(1)) {
            OpenLoop load = load(backend);
            loops.forEach(l -> l.schedule(() -> {
                TimeUnit.MILLISECONDS.sleep(400);
                return null;
            }, 300, TimeUnit.MILLISECONDS));
            OpenLoop.Result result = load.run(245, 1000 * NS_PER_MS);
            assertEquals(245, result.sent());
            // requests of the first half of the pause, a fifth of all, waited for its second half
            assertTrue(result.latencies().percentileMs(81) >= 200,
                    "the pause is hidden: " + result.latencies().percentileMs(81));
        }
    }

    @Test
    void aBackendRespondsAsTheProtocolDefines() throws Exception {
        try (BackendStandIn backend = backend(1)) {
            InetSocketAddress address = backend.addresses().get(1);
            URI uri = URI.create("http://127.0.0.1:" + address.getPort() + "/look/1");
            HttpClient client = HttpClient.newHttpClient();
            HttpResponse<String> served = client.send(HttpRequest.newBuilder(uri).header("Request-Id", "a1")
                    .build(), HttpResponse.BodyHandlers.ofString());
            assertEquals(200, served.statusCode());
            assertTrue(served.headers().firstValue("Server-Load").orElse("")
                    .matches("inflight=0,queue=0,util=0\\.[2-4][0-9]"), served.headers().toString());
            assertEquals(404, client.send(HttpRequest.newBuilder(uri).build(),
                    HttpResponse.BodyHandlers.ofString()).statusCode());
            assertEquals(1, backend.servedCount());
        }
    }
}
