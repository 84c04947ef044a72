package dewstage.scale;

/**
 * One entry of discovery's list, as PROTOCOL defines it. A hollow backend consists of its entry only: nothing
 * listens at its address.
 *
 * @param id never reused; contains the name of the service
 * @param hostPort an IP address and a port
 * @param cell the rack
 * @param lifecycle in_service, terminating or terminated
 * @param weight relative capacity
 * @param startedAtMs Unix time of the start in ms, 0 if long ago
 */
record Backend(String id, String hostPort, String zone, String kind, int cell, String lifecycle,
        double weight, long startedAtMs) {
    static final String IN_SERVICE = "in_service";
    static final String TERMINATED = "terminated";

    Backend terminated() {
        return new Backend(id, hostPort, zone, kind, cell, TERMINATED, weight, startedAtMs);
    }

    Backend withWeight(double newWeight) {
        return new Backend(id, hostPort, zone, kind, cell, lifecycle, newWeight, startedAtMs);
    }

    /** Returns the same machine, in service with a process that was started at the given Unix time. */
    Backend restartedAt(long startMs) {
        return new Backend(id, hostPort, zone, kind, cell, IN_SERVICE, weight, startMs);
    }

    boolean isTerminated() {
        return lifecycle.equals(TERMINATED);
    }
}
