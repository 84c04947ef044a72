package dewstage.faults;

import java.time.Duration;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the results of {@link QueueScenario} for several fleet sizes and call times. */
@Command(name = "queue", mixinStandardHelpOptions = true)
public final class QueueTable implements Runnable {
    @Option(names = "--proxies", split = ",", defaultValue = "100,400", description = "sizes of the fleet")
    private List<Integer> fleetSizes;

    @Option(
            names = "--times",
            split = ",",
            defaultValue = "1.0,3.0,5.5,7.0,15.0",
            description = "time that discovery needs for one call of each proxy, in seconds")
    private List<Double> fleetCallTimes;

    @Option(names = "--refuse-after", description = "waiting time after which a call is refused, in seconds")
    private Double refuseAfterS;

    @Override
    public void run() {
        System.out.println("proxies lists    fleet call s  phase        updated  last s  calls  useful  queued");
        for (int proxies : fleetSizes) {
            for (double seconds : fleetCallTimes) {
                printRow(proxies, true, seconds);
                printRow(proxies, false, seconds);
            }
        }
    }

    private void printRow(int proxies, boolean pushed, double seconds) {
        try {
            QueueScenario scenario = new QueueScenario(
                    proxies, pushed, toDuration(seconds), refuseAfterS == null ? null : toDuration(refuseAfterS));
            for (QueueScenario.Outcome outcome : scenario.run()) {
                System.out.printf(
                        "%7d %-6s %14.1f  %-7s %12d %7.2f %6d %7d %7d%n",
                        proxies,
                        pushed ? "pushed" : "pulled",
                        seconds,
                        outcome.phase(),
                        outcome.updated(),
                        outcome.slowest().toMillis() / 1e3,
                        outcome.calls().made(),
                        outcome.calls().useful(),
                        outcome.queued());
            }
        } catch (Exception e) {
            throw new IllegalStateException("the scenario failed", e);
        }
    }

    private static Duration toDuration(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    /** See --help. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new QueueTable()).execute(args));
    }
}
