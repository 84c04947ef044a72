package dewstage.proxy;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of open and of recently closed requests. Every request has a unique id, including a client's
 * retries: a repeated id belongs to another client and would create a duplicate at the backends.
 */
final class RequestIds {
    private final Set<String> open = new HashSet<>();
    private Set<String> recentlyClosed = new HashSet<>();
    private Set<String> closedEarlier = new HashSet<>();

    /** Marks the id as open; returns false if it is open already or was closed recently. */
    boolean tryOpen(String id) {
        return !recentlyClosed.contains(id) && !closedEarlier.contains(id) && open.add(id);
    }

    void close(String id) {
        if (open.remove(id)) {
            recentlyClosed.add(id);
        }
    }

    /** Forgets the ids closed before the previous call. Called periodically, to bound the memory used. */
    void expireClosed() {
        closedEarlier = recentlyClosed;
        recentlyClosed = new HashSet<>();
    }
}
