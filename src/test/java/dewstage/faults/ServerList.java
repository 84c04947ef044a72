package dewstage.faults;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of servers as discovery has it, with all its changes; safe for use by several threads. */
final class ServerList {
    /** The state of a server as the protocol spells it. */
    enum Lifecycle {
        IN_SERVICE,
        TERMINATING,
        TERMINATED;

        boolean inService() {
            return this == IN_SERVICE;
        }
    }

    /** One change of one server; the time is that of System.nanoTime. */
    record Change(long version, String server, Lifecycle lifecycle, long at) {}

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long version = 1;

    /** A server that is in service from the first version on. */
    synchronized void add(String server, String hostPort) {
        addresses.put(server, hostPort);
        changes.add(new Change(version, server, Lifecycle.IN_SERVICE, System.nanoTime()));
    }

    /** Makes a new version. */
    synchronized Change change(String server, Lifecycle lifecycle) {
        Change change = new Change(++version, server, lifecycle, System.nanoTime());
        changes.add(change);
        return change;
    }

    synchronized long version() {
        return version;
    }

    synchronized List<Change> changes() {
        return List.copyOf(changes);
    }

    /** The whole list as one line. */
    synchronized String whole() {
        Map<String, Lifecycle> now = new LinkedHashMap<>();
        changes.forEach(c -> now.put(c.server(), c.lifecycle()));
        now.values().removeIf(l -> l == Lifecycle.TERMINATED);
        return line(true, now);
    }

    /** What has changed since a version, as one line. */
    synchronized String since(long older) {
        Map<String, Lifecycle> changed = new LinkedHashMap<>();
        changes.stream().filter(c -> c.version() > older).forEach(c -> changed.put(c.server(), c.lifecycle()));
        return line(false, changed);
    }

    private String line(boolean whole, Map<String, Lifecycle> servers) {
        ObjectNode root = JSON.createObjectNode().put("generation", version).put("reset", whole);
        ArrayNode instances = root.putArray("instances");
        servers.forEach((id, lifecycle) -> instances
                .addObject()
                .put("instanceId", id)
                .put("hostPort", addresses.get(id))
                .put("zone", "a")
                .put("machineType", "m1")
                .put("cell", 0)
                .put("lifecycle", lifecycle.name().toLowerCase(java.util.Locale.ROOT))
                .put("weight", 1.0)
                .put("startedAtMs", 0));
        return root + "\n";
    }
}
