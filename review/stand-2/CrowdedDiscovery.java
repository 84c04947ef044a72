import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new configuration moves discovery. At the new address it is crowded: it accepts calls, but each waits too long and
 * ends in 503. A backend begins to drain. The proxy counts as told at the latest 6 s later, and has the grace from then
 * on. With VARIANT=outage discovery stays where it is, is down for 2 s and comes back crowded.
 */
final class CrowdedDiscovery {
    private static final long GRACE_MS = 1500;
    /** "at the latest 6 s after discovery had it and could be reached" */
    private static final long TOLD_MS = 6000;
    /** "every time limit is 50 ms longer" */
    private static final long SLACK_MS = 50;
    private static final long WATCHED_MS = 14_000;
    /** "closes its open ones after 1.5 s" */
    private static final long OLD_ADDRESS_MS = 1500;
    private static final boolean OUTAGE = "outage".equals(System.getenv("VARIANT"));

    private CrowdedDiscovery() { }

    public static void main(String[] args) throws Exception {
        Stage.main(args, CrowdedDiscovery::play);
    }

    private static boolean play(Stage stage) throws Exception {
        List<Long> sends = Collections.synchronizedList(new ArrayList<>());
        Backend leaving = stage.add(new Backend(stage, "leaving", (backend, request, socket, out) -> {
            sends.add(System.nanoTime());
            Thread.sleep(5);
            out.write(Backend.sound("answer to " + request.header("Request-Id")));
            return true;
        }));
        Catalog first = stage.add(new Catalog(stage, "discovery"));
        Catalog moved = stage.add(new Catalog(stage, "discovery at its new address"));
        first.put("s-leaving", leaving.address(), "in_service", 0);
        moved.put("s-leaving", leaving.address(), "in_service", 0);
        for (int i = 0; i < 2; i++) {
            Backend other = stage.add(new Backend(stage, "other" + i, (backend, request, socket, out) -> {
                Thread.sleep(5);
                out.write(Backend.sound("answer to " + request.header("Request-Id")));
                return true;
            }));
            first.put("s-other" + i, other.address(), "in_service", 0);
            moved.put("s-other" + i, other.address(), "in_service", 0);
        }
        Settings settings = new Settings(first.address(), first.list(0, true));
        settings.drainGraceMs = GRACE_MS;
        Stage.Proxy proxy = stage.start(settings);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        Stage.thread(() -> ask(stage, proxy, served, refused));
        Thread.sleep(3000);
        Catalog catalog = OUTAGE ? first : moved;
        if (OUTAGE && Stage.TROUBLE) {
            first.setMode(Catalog.Mode.DOWN);
            first.resetWatches();
            Thread.sleep(2000);
            first.setMode(Catalog.Mode.CROWDED);
            Thread.sleep(1000);
        } else if (!OUTAGE) {
            if (Stage.TROUBLE) {
                moved.setMode(Catalog.Mode.CROWDED);
            }
            settings.discovery = moved.address();
            proxy.replaceConfig(settings.json("127.0.0.1:" + proxy.port));
            proxy.signal("HUP");
            first.stopAccepting();
            Thread.sleep(OLD_ADDRESS_MS);
            first.close();
            Thread.sleep(500);
        }
        int servedBefore = served.get();
        catalog.put("s-leaving", leaving.address(), "terminating", 0);
        long changedAt = System.nanoTime();
        Thread.sleep(WATCHED_MS);
        long limitNs = (TOLD_MS + GRACE_MS + SLACK_MS) * 1_000_000;
        long lastMs = 0;
        int late = 0;
        for (long at : List.copyOf(sends)) {
            lastMs = Math.max(lastMs, (at - changedAt) / 1_000_000);
            late += at - changedAt > limitNs ? 1 : 0;
        }
        stage.record(servedBefore + " requests served before the change, " + served.get() + " in all, "
                + refused.get() + " refused; " + late + " sent to the draining backend more than "
                + limitNs / 1_000_000 + " ms after the change, the last one after " + lastMs + " ms");
        if (servedBefore < 20 || sends.isEmpty()) {
            throw new IllegalStateException("too little was served");
        }
        return late == 0;
    }

    private static void ask(Stage stage, Stage.Proxy proxy, AtomicInteger served, AtomicInteger refused) {
        for (int i = 0; i < 100; i++) { // a connection each
            try (Client client = new Client(stage, proxy.port)) {
                for (int j = 0; j < 10; j++) {
                    int status = client.ask("/status", "r" + i + "-" + j, 1.2, null, null).status();
                    (status == 200 ? served : refused).incrementAndGet();
                    Thread.sleep(40);
                }
            } catch (java.io.IOException e) {
                return; // the proxy has ended
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
