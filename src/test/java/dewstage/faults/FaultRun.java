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

/** Real proxies between clients, servers and a discovery of the harness, all in one place and on one clock. */
final class FaultRun implements AutoCloseable {
    /** The grace of the rule on drains. */
    static final Duration GRACE = Duration.ofMillis(500);

    private static final Duration SERVICE_TIME = Duration.ofMillis(5);
    private static final Duration GAP = Duration.ofMillis(50);
    private static final int MOST_SHOWN = 5;

    final ServerList list = new ServerList();
    final QueuedDiscovery discovery;
    final ProxyFleet fleet;
    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Queue<DrainRule.Sent> sends = new ConcurrentLinkedQueue<>();
    private final List<FaultServer> servers = new ArrayList<>();
    private final List<SteadyClient> clients = new ArrayList<>();
    private final boolean pushed;
    private final int proxies;

    /** Servers and discovery are there, and no proxy yet. */
    FaultRun(Path folder, int proxies, int serverCount, boolean pushed, Duration callTime, boolean serveScript) {
        this.proxies = proxies;
        this.pushed = pushed;
        this.fleet = new ProxyFleet(folder, serveScript);
        for (int i = 0; i < serverCount; i++) {
            FaultServer server = new FaultServer("s-" + i, loops, SERVICE_TIME, sends);
            servers.add(server);
            list.add("s-" + i, server.hostPort());
        }
        this.discovery = new QueuedDiscovery(list, proxies, callTime);
    }

    ProxySettings settings(int proxy) {
        return settings(proxy, discovery);
    }

    /** With another discovery than the first. */
    ProxySettings settings(int proxy, QueuedDiscovery at) {
        return new ProxySettings(
                proxy, proxies, pushed, at.hostPort(proxy), GRACE, list.whole().trim());
    }

    /** Starts all proxies at once, and a client of each. */
    void start() throws IOException {
        for (int i = 0; i < proxies; i++) {
            fleet.start(settings(i));
        }
        for (int i = 0; i < proxies; i++) {
            clients.add(new SteadyClient(i, fleet.address(i), GAP));
        }
    }

    /** Lets time pass. */
    void pass(Duration time) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(time.toNanos());
    }

    /** The breaks of the rule on drains so far, the first few in words; empty if there is none. */
    List<String> drainBreaks() {
        return drainBreaks(discovery);
    }

    /** As some discovery has told. */
    List<String> drainBreaks(QueuedDiscovery told) {
        List<DrainRule.Break> breaks = new DrainRule(GRACE, list, told).breaks(List.copyOf(sends));
        List<String> words = new ArrayList<>();
        breaks.stream()
                .limit(MOST_SHOWN)
                .map(b -> "request " + b.sent().request() + " at " + b.sent().server() + " "
                        + b.afterTold().toMillis() + " ms after the proxy was told; log "
                        + fleet.log(b.sent().proxy()))
                .forEach(words::add);
        if (breaks.size() > MOST_SHOWN) {
            words.add("and " + (breaks.size() - MOST_SHOWN) + " more");
        }
        return words;
    }

    /** Requests that were written whole and got no whole answer in time. */
    List<String> lost() {
        return answers().stream()
                .filter(a -> a.status() == 0)
                .map(SteadyClient.Answer::request)
                .toList();
    }

    /** The share of requests that were served, of those answered since a time of System.nanoTime. */
    double servedSince(long from) {
        List<SteadyClient.Answer> since =
                answers().stream().filter(a -> a.at() >= from).toList();
        return since.isEmpty()
                ? 0
                : (double) since.stream().filter(a -> a.status() == 200).count() / since.size();
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
