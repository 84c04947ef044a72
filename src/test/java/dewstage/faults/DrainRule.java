package dewstage.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A proxy must not send the first byte of a request to a server later than the drain grace after it was notified that
 * the server drains or is gone. A change counts as notified when discovery has written it to the proxy, and at the
 * latest when discovery has had it for 6 s while reachable. What a silent watch misses counts as notified 6 s after it
 * fell silent. Where lists are pushed, what discovery has also counts as notified to a new process from its start, and
 * 4 s after a change of the address of discovery.
 */
final class DrainRule {
    /** A request at a server, with the arrival time of its first byte by System.nanoTime. */
    record ServerRequest(int proxy, String server, String requestId, long atNs) {}

    /** From this time by System.nanoTime a proxy counts as notified of what discovery had while reachable. */
    record ListDue(int proxy, long atNs) {}

    /** A request that violates the rule, and its delay after the proxy was notified. */
    record Violation(ServerRequest request, Duration delay) {}

    private static final long DELIVERY_LIMIT_NS = Duration.ofSeconds(6).toNanos();

    private final long graceNs;
    private final List<ServerList.Change> changes;
    private final List<QueuedDiscovery.Written> written;
    private final List<QueuedDiscovery.Reachable> reachable;
    private final List<ListDue> listsDue;

    DrainRule(Duration grace, ServerList list, QueuedDiscovery discovery, List<ListDue> listsDue) {
        this.graceNs = grace.toNanos();
        this.changes = list.changes();
        this.written = discovery.written();
        this.reachable = discovery.reachable();
        this.listsDue = List.copyOf(listsDue);
    }

    List<Violation> violations(List<ServerRequest> requests) {
        List<Violation> violations = new ArrayList<>();
        for (ServerRequest request : requests) {
            long leavingSinceNs = leaveNotifiedNs(request);
            if (leavingSinceNs != Long.MAX_VALUE && request.atNs() - leavingSinceNs > graceNs) {
                violations.add(new Violation(request, Duration.ofNanos(request.atNs() - leavingSinceNs)));
            }
        }
        return violations;
    }

    /** When the proxy was notified that the server is leaving, by System.nanoTime; MAX_VALUE if it was not. */
    private long leaveNotifiedNs(ServerRequest request) {
        Map<Long, ServerList.Change> byVersion = new TreeMap<>();
        changes.stream().filter(c -> c.server().equals(request.server())).forEach(c -> byVersion.put(c.version(), c));
        long leavingSinceNs = Long.MAX_VALUE;
        for (ServerList.Change change : byVersion.values()) {
            long changeNotifiedNs = notifiedNs(request.proxy(), change);
            if (changeNotifiedNs <= request.atNs()) {
                leavingSinceNs =
                        change.lifecycle().isInService() ? Long.MAX_VALUE : Math.min(leavingSinceNs, changeNotifiedNs);
            }
        }
        return leavingSinceNs;
    }

    private long notifiedNs(int proxy, ServerList.Change change) {
        long writtenNs = written.stream()
                .filter(write -> write.proxy() == proxy && write.version() >= change.version())
                .map(QueuedDiscovery.Written::atNs)
                .min(Comparator.naturalOrder())
                .orElse(Long.MAX_VALUE);
        long latestNs = Long.MAX_VALUE;
        for (QueuedDiscovery.Reachable period : reachable) {
            long fromNs = Math.max(period.fromNs(), change.atNs());
            if (fromNs + DELIVERY_LIMIT_NS <= period.toNs()) {
                latestNs = Math.min(latestNs, fromNs + DELIVERY_LIMIT_NS);
            }
        }
        return Math.min(Math.min(writtenNs, latestNs), firstDueNs(proxy, change));
    }

    /** The first due time after discovery had the change while reachable; MAX_VALUE if there is none. */
    private long firstDueNs(int proxy, ServerList.Change change) {
        boolean wasReachable = reachable.stream()
                .anyMatch(period -> period.fromNs() <= change.atNs() && change.atNs() < period.toNs());
        return listsDue.stream()
                .filter(due -> wasReachable && due.proxy() == proxy && due.atNs() >= change.atNs())
                .mapToLong(ListDue::atNs)
                .min()
                .orElse(Long.MAX_VALUE);
    }
}
