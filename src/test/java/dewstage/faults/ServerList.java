package dewstage.faults;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of servers of discovery with the history of its changes. Thread-safe. */
final class ServerList {
    /** The state of a server; the lower-case name is used in the protocol. */
    enum Lifecycle {
        IN_SERVICE,
        TERMINATING,
        TERMINATED;

        boolean isInService() {
            return this == IN_SERVICE;
        }
    }

    /** A change of one server, with the time by System.nanoTime. */
    record Change(long version, String server, Lifecycle lifecycle, long atNs) {}

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long version = 1;

    /** Adds a server that is in service from the first version on. */
    synchronized void add(String server, String hostPort) {
        addresses.put(server, hostPort);
        changes.add(new Change(version, server, Lifecycle.IN_SERVICE, System.nanoTime()));
    }

    /** Changes a server, which makes a new version. */
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

    /** The full list as one line of JSON. */
    synchronized String fullList() {
        Map<String, Lifecycle> current = new LinkedHashMap<>();
        changes.forEach(c -> current.put(c.server(), c.lifecycle()));
        current.values().removeIf(l -> l == Lifecycle.TERMINATED);
        return toJsonLine(true, current);
    }

    /** The changes since a version as one line of JSON. */
    synchronized String changesSince(long baseVersion) {
        Map<String, Lifecycle> changed = new LinkedHashMap<>();
        changes.stream().filter(c -> c.version() > baseVersion).forEach(c -> changed.put(c.server(), c.lifecycle()));
        return toJsonLine(false, changed);
    }

    private String toJsonLine(boolean isFullList, Map<String, Lifecycle> servers) {
        ObjectNode root = JSON.createObjectNode().put("generation", version).put("reset", isFullList);
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
