import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Discovery tells that a backend drains. Later the watch is reset, and the next call is answered with the whole list of
 * an older version, in which that backend is still in service. The proxy was told, and stays so.
 */
final class OlderVersion {
    private static final long GRACE_MS = 1500;
    /** "every time limit is 50 ms longer" */
    private static final long SLACK_MS = 50;
    private static final long WATCHED_MS = 6000;

    private OlderVersion() { }

    public static void main(String[] args) throws Exception {
        Stage.main(args, OlderVersion::play);
    }

    private static boolean play(Stage stage) throws Exception {
        List<Long> sends = Collections.synchronizedList(new ArrayList<>());
        Catalog catalog = stage.add(new Catalog(stage, "discovery"));
        Backend leaving = stage.add(new Backend(stage, "leaving", (backend, request, socket, out) -> {
            sends.add(System.nanoTime());
            Thread.sleep(5);
            out.write(Backend.sound("answer to " + request.header("Request-Id")));
            return true;
        }));
        catalog.put("s-leaving", leaving.address(), "in_service", 0);
        for (int i = 0; i < 2; i++) {
            Backend other = stage.add(new Backend(stage, "other" + i, (backend, request, socket, out) -> {
                Thread.sleep(5);
                out.write(Backend.sound("answer to " + request.header("Request-Id")));
                return true;
            }));
            catalog.put("s-other" + i, other.address(), "in_service", 0);
        }
        Settings settings = new Settings(catalog.address(), catalog.list(0, true));
        settings.drainGraceMs = GRACE_MS;
        Stage.Proxy proxy = stage.start(settings);
        ask(stage, proxy, "a", 2000);
        if (sends.isEmpty()) {
            throw new IllegalStateException("the backend got nothing while it was in service");
        }
        String older = catalog.list(0, true);
        catalog.put("s-leaving", leaving.address(), "terminating", 0);
        long toldAt = System.nanoTime();
        ask(stage, proxy, "b", 2000);
        if (Stage.TROUBLE) {
            catalog.answerNextCallWith(older);
        }
        catalog.resetWatches();
        ask(stage, proxy, "c", WATCHED_MS);
        long limitNs = (GRACE_MS + SLACK_MS) * 1_000_000;
        int late = 0;
        long lastMs = 0;
        for (long at : List.copyOf(sends)) {
            late += at - toldAt > limitNs ? 1 : 0;
            lastMs = Math.max(0, (at - toldAt) / 1_000_000);
        }
        stage.record(late + " sent to the draining backend more than " + limitNs / 1_000_000
                + " ms after the proxy was told, the last one after " + lastMs + " ms");
        return late == 0;
    }

    private static void ask(Stage stage, Stage.Proxy proxy, String name, long ms) throws Exception {
        int served = 0;
        try (Client client = new Client(stage, proxy.port)) {
            long end = System.nanoTime() + ms * 1_000_000;
            for (int i = 0; System.nanoTime() < end; i++) {
                served += client.ask("/status", name + i, 1.2, null, null).status() == 200 ? 1 : 0;
                Thread.sleep(30);
            }
        }
        stage.record(served + " requests served in " + ms + " ms");
    }
}
