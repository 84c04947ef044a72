package dewstage.faults;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Real proxy processes with clients, servers and discovery of the harness, on one host and one clock. */
final class FaultRun implements AutoCloseable {
    /** How long after a notification requests may still be sent to a leaving server. */
    static final Duration DRAIN_GRACE = Duration.ofMillis(500);

    /** What discovery at a new address has counts as notified this long after the signal. */
    static final Duration ADDRESS_CHANGE_LIMIT = Duration.ofSeconds(4);

    /** What a watch misses counts as notified this long after it has fallen silent. */
    private static final Duration SILENT_WATCH_LIMIT = Duration.ofSeconds(6);

    private static final Duration SERVICE_TIME = Duration.ofMillis(5);
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(50);
    private static final int MAX_SHOWN = 5;

    final ServerList list = new ServerList();
    final QueuedDiscovery discovery;
    final ProxyFleet fleet;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Queue<DrainRule.ServerRequest> requests = new ConcurrentLinkedQueue<>();
    private final List<FaultServer> servers = new ArrayList<>();
    private final List<SteadyClient> clients = new ArrayList<>();
    private final boolean pushed;
    private final int proxies;
    private final List<DrainRule.ListDue> listsDue = new ArrayList<>();
    private ProcessLimits limits = ProcessLimits.DEFAULT;

    /** Starts servers and discovery, but no proxy yet. */
    FaultRun(Path folder, int proxies, int serverCount, boolean pushed, Duration callTime, boolean serveScript) {
        this.proxies = proxies;
        this.pushed = pushed;
        this.fleet = new ProxyFleet(folder, serveScript);
        for (int i = 0; i < serverCount; i++) {
            FaultServer server = new FaultServer("s-" + i, loops, SERVICE_TIME, requests);
            servers.add(server);
            list.add("s-" + i, server.hostPort());
        }
        this.discovery = new QueuedDiscovery(list, proxies, callTime);
    }

    /** Sets the limits of the proxies that are started later. */
    void setLimits(ProcessLimits limits) {
        this.limits = limits;
    }

    ProxySettings settings(int proxy) {
        return settings(proxy, discovery);
    }

    /** Settings with a discovery other than the first. */
    ProxySettings settings(int proxy, QueuedDiscovery source) {
        return new ProxySettings(
                proxy,
                proxies,
                pushed,
                source.hostPort(proxy),
                DRAIN_GRACE,
                list.fullList().trim(),
                limits);
    }

    /** Starts all proxies at once, and a client for each. */
    void start() throws IOException {
        start(IntStream.range(0, proxies).mapToObj(this::settings).toList());
    }

    /** As above, with the given settings of each proxy. */
    void start(List<ProxySettings> settings) throws IOException {
        for (int i = 0; i < proxies; i++) {
            if (pushed) {
                listsDue.add(new DrainRule.ListDue(i, System.nanoTime()));
            }
            fleet.start(settings.get(i));
        }
        for (int i = 0; i < proxies; i++) {
            clients.add(new SteadyClient(i, fleet.address(i), REQUEST_INTERVAL));
        }
    }

    /** Moves a proxy to another discovery by its configuration file and SIGHUP. */
    void changeDiscovery(int proxy, QueuedDiscovery newDiscovery) throws IOException, InterruptedException {
        fleet.configure(proxy, settings(proxy, newDiscovery));
        if (pushed) {
            listsDue.add(new DrainRule.ListDue(proxy, System.nanoTime() + ADDRESS_CHANGE_LIMIT.toNanos()));
        }
        fleet.signal(proxy, "HUP");
    }

    /** Makes the watches of discovery fall silent; what they miss counts as notified after a time. */
    void silenceWatches() {
        discovery.setStalled(true);
        for (int i = 0; i < proxies; i++) {
            listsDue.add(new DrainRule.ListDue(i, System.nanoTime() + SILENT_WATCH_LIMIT.toNanos()));
        }
    }

    void pause(Duration duration) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(duration.toNanos());
    }

    /** The requests that servers have received so far. */
    List<DrainRule.ServerRequest> requests() {
        return List.copyOf(requests);
    }

    /** Describes the first violations of {@link DrainRule} so far; empty if there are none. */
    List<String> drainViolations() {
        return drainViolations(discovery);
    }

    /** Violations with respect to the lists of the given discovery. */
    List<String> drainViolations(QueuedDiscovery source) {
        return drainViolations(source, requests());
    }

    /** Violations of one proxy with respect to the lists of the given discovery. */
    List<String> drainViolations(int proxy, QueuedDiscovery source) {
        return drainViolations(
                source, requests().stream().filter(r -> r.proxy() == proxy).toList());
    }

    private List<String> drainViolations(QueuedDiscovery source, List<DrainRule.ServerRequest> judged) {
        List<DrainRule.Violation> violations = new DrainRule(DRAIN_GRACE, list, source, listsDue).violations(judged);
        List<String> messages = new ArrayList<>();
        violations.stream()
                .limit(MAX_SHOWN)
                .map(v -> "request " + v.request().requestId() + " at "
                        + v.request().server() + " "
                        + v.delay().toMillis() + " ms after the proxy was notified; log "
                        + fleet.log(v.request().proxy()))
                .forEach(messages::add);
        if (violations.size() > MAX_SHOWN) {
            messages.add("and " + (violations.size() - MAX_SHOWN) + " more");
        }
        return messages;
    }

    /** Describes the requests that were written completely and got no complete answer in time. */
    List<String> lostRequests() {
        List<String> lost = new ArrayList<>();
        for (int i = 0; i < clients.size(); i++) {
            int proxy = i;
            clients.get(i).answers().stream()
                    .filter(a -> a.status() == 0)
                    .map(a -> "request " + a.requestId() + " lost after "
                            + a.latency().toMillis() + " ms; log " + fleet.log(proxy))
                    .forEach(lost::add);
        }
        return lost;
    }

    /** The share of served requests among those answered since a time by System.nanoTime. */
    double servedShareSince(long fromNs) {
        return servedShare(answers().stream().filter(a -> a.atNs() >= fromNs).toList());
    }

    /** The share of served requests among those that a proxy answered within a period by System.nanoTime. */
    double servedShare(int proxy, long fromNs, long toNs) {
        return servedShare(clients.get(proxy).answers().stream()
                .filter(a -> a.atNs() >= fromNs && a.atNs() < toNs)
                .toList());
    }

    private static double servedShare(List<SteadyClient.Answer> recent) {
        return recent.isEmpty()
                ? 0
                : (double) recent.stream().filter(a -> a.status() == 200).count() / recent.size();
    }

    private List<SteadyClient.Answer> answers() {
        return clients.stream().flatMap(c -> c.answers().stream()).toList();
    }

    @Override
    public void close() {
        clients.forEach(SteadyClient::close);
        fleet.close();
        discovery.close();
        servers.forEach(FaultServer::close);
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
}
