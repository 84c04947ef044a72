/** The settings of a small deployment, after the site trinidad-lift-mon, with one zone and one cell. */
final class Settings {
    String discovery;
    String known;
    /** The zones as JSON; the proxy is in the first one. */
    String zones = "[\"a\"]";
    /** Whether lists are pushed; at the site they are asked for. */
    boolean pushed;
    int memoryMb = 128;
    int sockets = 512;
    int maxAttempts = 4;
    long drainGraceMs = 1500;
    long keepaliveMs = 5000;
    long windowMs = 5000;
    double lateShare = 0.25;

    Settings(String discovery, String known) {
        this.discovery = discovery;
        this.known = known;
    }

    String json(String listen) {
        return "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},\n\"known\":" + known.trim() + ",\n"
                + "\"settings\":{\"me\":0,\"balancers\":4,\"zone\":0,\"step_ns\":5000000,\"zones\":" + zones + ","
                + "\"skus\":[\"m1\"],\"tenants\":[],\"discovery\":\"" + (pushed ? "pushed" : "on_request") + "\",\n"
                + "\"profiles\":[\n"
                + "{\"name\":\"status\",\"effect\":\"idempotent\",\"promise_ns\":250000000,"
                + "\"give_up_ns\":1200000000,\"worth\":3.0,\"late_share\":0.5},\n"
                + "{\"name\":\"fault-log\",\"effect\":\"deduplicated\",\"dedup_scope\":\"cell\","
                + "\"window_ns\":" + windowMs + "000000,\"promise_ns\":300000000,\"give_up_ns\":1000000000,\"worth\":3.0,"
                + "\"late_share\":" + lateShare + "},\n"
                + "{\"name\":\"dispatch\",\"effect\":\"at_most_once\",\"promise_ns\":300000000,"
                + "\"give_up_ns\":1500000000,\"worth\":8.0,\"late_share\":" + lateShare + "}],\n"
                + "\"limits\":{\"cancelling\":true,\"max_attempts\":" + maxAttempts
                + ",\"retry_after\":true,\"max_retry_after_ns\":750000000,\"may_duplicate\":false,"
                + "\"multiplex\":1,\"connect_timeout_ns\":120000000,\"keepalive_ns\":" + keepaliveMs + "000000},\n"
                + "\"rules\":{\"start_capacity\":0.31,\"cold_ns\":8700000000,\"tip_multiple\":4.0,"
                + "\"fall_ns\":2000000000,\"drain_grace_ns\":" + drainGraceMs + "000000,"
                + "\"ask_within_ns\":10000000000,\"grace_to_answer_ns\":20000000}}}\n";
    }
}
