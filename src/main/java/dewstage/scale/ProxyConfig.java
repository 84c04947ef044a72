package dewstage.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;

/**
 * The configuration of one proxy of a synthetic fleet, as read from NODE_CONFIG: an idempotent and a keyed
 * class of requests, typical limits, pushed lists and no initial list.
 *
 * @param me the proxy's number, from 0
 * @param balancers number of proxies in the fleet
 * @param listen IP address and port; port 0 chooses a free one
 * @param discovery IP address and port
 * @param memoryMb memory limit of the process in MB
 * @param sockets maximum number of sockets
 */
record ProxyConfig(long seed, int me, int balancers, String listen, String discovery, int memoryMb,
        int sockets) {
    /** Time after which a cold backend under too much load collapses. */
    static final long FALL_NS = 1_500_000_000L;
    /** Time until a backend is warm. */
    static final long COLD_NS = 8_800_000_000L;
    /** Duration of a drain. */
    private static final long DRAIN_GRACE_NS = 2_000_000_000L;
    /** Limit of the time to connect to discovery or a backend. */
    private static final long CONNECT_TIMEOUT_NS = 1_000_000_000L;
    /** Time after which idle connections to a backend are closed. */
    private static final long KEEP_ALIVE_NS = 15_000_000_000L;
    private static final long STEP_NS = 5_000_000L;
    private static final long MAX_RETRY_AFTER_NS = 1_200_000_000L;
    private static final JsonFactory JSON = new JsonFactory();

    /** Returns the zone of the proxy; zones are assigned in turn. */
    int zone() {
        return me % Fleet.ZONES;
    }

    /** Returns the configuration on one line, from which the start script extracts the memory limit. */
    String json() {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = JSON.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeStringField("listen", listen);
            generator.writeStringField("discovery", discovery);
            generator.writeStringField("seed", Long.toHexString(seed + me));
            generator.writeObjectFieldStart("limits");
            generator.writeNumberField("cores", 1.0);
            generator.writeNumberField("memory_mb", memoryMb);
            generator.writeNumberField("sockets", sockets);
            generator.writeEndObject();
            generator.writeObjectFieldStart("settings");
            writeSettings(generator);
            generator.writeEndObject();
            generator.writeEndObject();
        } catch (IOException e) {
            throw new AssertionError("failed to write to a string", e);
        }
        return text.toString();
    }

    private void writeSettings(JsonGenerator generator) throws IOException {
        generator.writeNumberField("me", me);
        generator.writeNumberField("balancers", balancers);
        generator.writeNumberField("zone", zone());
        generator.writeNumberField("step_ns", STEP_NS);
        writeNames(generator, "zones", Fleet.zoneNames());
        writeNames(generator, "skus", Fleet.kindNames());
        writeNames(generator, "tenants", List.of());
        generator.writeStringField("discovery", "pushed");
        generator.writeArrayFieldStart("profiles");
        writeProfile(generator, "look", "idempotent", 250_000_000L, 600_000_000L);
        writeProfile(generator, "order", "deduplicated", 400_000_000L, 1_200_000_000L);
        generator.writeEndArray();
        generator.writeObjectFieldStart("limits");
        generator.writeBooleanField("cancelling", true);
        generator.writeNumberField("max_attempts", 5);
        generator.writeBooleanField("retry_after", true);
        generator.writeNumberField("max_retry_after_ns", MAX_RETRY_AFTER_NS);
        generator.writeNumberField("connect_timeout_ns", CONNECT_TIMEOUT_NS);
        generator.writeNumberField("keepalive_ns", KEEP_ALIVE_NS);
        generator.writeEndObject();
        generator.writeObjectFieldStart("rules");
        generator.writeNumberField("start_capacity", 0.3);
        generator.writeNumberField("cold_ns", COLD_NS);
        generator.writeNumberField("tip_multiple", 3.0);
        generator.writeNumberField("fall_ns", FALL_NS);
        generator.writeNumberField("drain_grace_ns", DRAIN_GRACE_NS);
        generator.writeEndObject();
    }

    private static void writeNames(JsonGenerator generator, String field, List<String> names)
            throws IOException {
        generator.writeArrayFieldStart(field);
        for (String name : names) {
            generator.writeString(name);
        }
        generator.writeEndArray();
    }

    private static void writeProfile(JsonGenerator generator, String name, String effect, long promiseNs,
            long giveUpNs) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("name", name);
        generator.writeStringField("effect", effect);
        generator.writeStringField("dedup_scope", "zone");
        generator.writeNumberField("window_ns", giveUpNs);
        generator.writeNumberField("promise_ns", promiseNs);
        generator.writeNumberField("give_up_ns", giveUpNs);
        generator.writeNumberField("worth", 1.0);
        generator.writeEndObject();
    }
}
