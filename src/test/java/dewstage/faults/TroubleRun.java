package dewstage.faults;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * The result of one run of misbehaving clients beside ordinary ones.
 *
 * @param connections number of connections of the misbehaving clients
 * @param peakKb the most resident memory of the proxy, in KB
 * @param ordinary number of requests of the ordinary clients
 * @param served number of those that were served
 * @param lost number of those that were not answered in time
 * @param slowest the longest time that one of those took
 * @param failures what did not hold; empty if all did
 */
record TroubleRun(
        long connections, long peakKb, int ordinary, int served, int lost, Duration slowest, List<String> failures) {
    private static final Duration CALL_TIME = Duration.ofMillis(5);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final int SERVERS = 4;
    private static final int ORDINARY_CLIENTS = 4;
    private static final Duration ORDINARY_INTERVAL = Duration.ofMillis(50);

    /** Ends later than this count as unanswered. */
    private static final Duration MAX_LATENCY = Duration.ofMillis(1100);

    /** Starts a proxy, plays one form of misbehaviour, and ends the proxy. */
    static TroubleRun play(
            Path folder,
            boolean serveScript,
            RequestForm form,
            ProcessLimits limits,
            RequestLoad load,
            Duration duration,
            Random random)
            throws Exception {
        try (FaultRun run = new FaultRun(folder, 1, SERVERS, true, CALL_TIME, serveScript)) {
            run.setLimits(limits);
            run.fleet.start(run.settings(0));
            if (!run.fleet.awaitLog(0, " ready", READY_TIMEOUT)) {
                throw new IllegalStateException("not ready: " + run.fleet.log(0));
            }
            List<SteadyClient> ordinary = new ArrayList<>();
            for (int i = 0; i < ORDINARY_CLIENTS; i++) {
                ordinary.add(new SteadyClient(0, run.fleet.address(0), ORDINARY_INTERVAL, "o" + i + "-"));
            }
            long endNs = System.nanoTime() + duration.toNanos();
            MisbehavingClients clients = new MisbehavingClients(run.fleet.address(0), form, load, endNs, random);
            TimeUnit.NANOSECONDS.sleep(duration.toNanos());
            ordinary.forEach(SteadyClient::close);
            clients.join();
            return judge(run, limits, clients, ordinary);
        }
    }

    private static TroubleRun judge(
            FaultRun run, ProcessLimits limits, MisbehavingClients clients, List<SteadyClient> ordinary)
            throws Exception {
        List<String> failures = new ArrayList<>();
        boolean isRunning = run.fleet.isRunning(0);
        if (!isRunning) {
            failures.add("the proxy has ended");
        }
        long peakKb = isRunning ? run.fleet.peakResidentKb(0) : 0;
        if (peakKb > limits.memoryMb() * 1024L) {
            failures.add("over its memory limit");
        }
        List<SteadyClient.Answer> answers =
                ordinary.stream().flatMap(client -> client.answers().stream()).toList();
        int served = (int) answers.stream().filter(a -> a.status() == 200).count();
        int lost = (int) answers.stream()
                .filter(a -> a.status() == 0 || a.latency().compareTo(MAX_LATENCY) > 0)
                .count();
        if (lost > 0) {
            failures.add("requests of ordinary clients lost");
        }
        if (served == 0) {
            failures.add("no request of an ordinary client served");
        }
        Duration slowest = answers.stream()
                .map(SteadyClient.Answer::latency)
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
        return new TroubleRun(
                clients.connections(), peakKb, answers.size(), served, lost, slowest, List.copyOf(failures));
    }
}
