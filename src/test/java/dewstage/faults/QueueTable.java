package dewstage.faults;

import java.time.Duration;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints what becomes of a fleet that calls a slow discovery at once, for fleets and times of many sizes. */
@Command(name = "queue", mixinStandardHelpOptions = true)
public final class QueueTable implements Runnable {
    @Option(names = "--proxies", split = ",", defaultValue = "100,400", description = "sizes of the fleet")
    private List<Integer> proxies;

    @Option(
            names = "--times",
            split = ",",
            defaultValue = "1.0,3.0,5.5,7.0,15.0",
            description = "what discovery needs for one call of each, in seconds")
    private List<Double> times;

    @Option(names = "--refuse-after", description = "a call that has waited for so many seconds is refused")
    private Double refuseAfter;

    @Override
    public void run() {
        System.out.println("proxies lists  call of each s  phase   told in time  last s  calls  useful  queued");
        for (int fleet : proxies) {
            for (double seconds : times) {
                row(fleet, true, seconds);
                row(fleet, false, seconds);
            }
        }
    }

    private void row(int fleet, boolean pushed, double seconds) {
        try {
            QueueScenario scenario =
                    new QueueScenario(fleet, pushed, of(seconds), refuseAfter == null ? null : of(refuseAfter));
            for (QueueScenario.Outcome o : scenario.play()) {
                System.out.printf(
                        "%7d %-6s %14.1f  %-7s %12d %7.2f %6d %7d %7d%n",
                        fleet,
                        pushed ? "pushed" : "asked",
                        seconds,
                        o.phase(),
                        o.told(),
                        o.last().toMillis() / 1e3,
                        o.calls().made(),
                        o.calls().useful(),
                        o.queued());
            }
        } catch (Exception e) {
            throw new IllegalStateException("the scenario could not be played", e);
        }
    }

    private static Duration of(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    /** See --help. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new QueueTable()).execute(args));
    }
}
