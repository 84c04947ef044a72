package dewstage.faults;

import java.time.Duration;

/**
 * The configuration of one proxy of the harness.
 *
 * @param pushed whether lists are pushed or sent on request
 * @param discovery IP address and port
 * @param knownList the list that the proxy starts with, as JSON
 * @param limits the limits of the process
 */
record ProxySettings(
        int me,
        int proxies,
        boolean pushed,
        String discovery,
        Duration drainGrace,
        String knownList,
        ProcessLimits limits) {
    /** With lists on request, changes count as delivered to a proxy whose list is older than this. */
    static final Duration ASK_WITHIN = Duration.ofSeconds(12);

    String json() {
        return """
            {"listen":"127.0.0.1:0","discovery":"%s","seed":"%x",
             "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
             "known":%s,
             "settings":{"me":%d,"balancers":%d,"zone":0,"step_ns":5000000,"zones":["a"],"skus":["m1"],
              "tenants":[],"discovery":"%s",
              "profiles":[
               {"name":"look","effect":"idempotent","promise_ns":250000000,"give_up_ns":600000000,"worth":1.0},
               {"name":"order","effect":"deduplicated","dedup_scope":"zone","window_ns":1200000000,
                "promise_ns":400000000,"give_up_ns":600000000,"worth":1.0},
               {"name":"pay","effect":"at_most_once","promise_ns":400000000,"give_up_ns":600000000,"worth":1.0}],
              "limits":{"cancelling":true,"max_attempts":4,"retry_after":true,"max_retry_after_ns":1200000000,
               "connect_timeout_ns":250000000,"keepalive_ns":15000000000},
              "rules":{"start_capacity":0.31,"cold_ns":8800000000,"tip_multiple":3.0,"fall_ns":1500000000,
               "drain_grace_ns":%d,"ask_within_ns":%d}}}
            """
                .formatted(
                        discovery,
                        0x5eedL + me,
                        limits.memoryMb(),
                        limits.sockets(),
                        knownList,
                        me,
                        proxies,
                        pushed ? "pushed" : "on_request",
                        drainGrace.toNanos(),
                        ASK_WITHIN.toNanos());
    }
}
