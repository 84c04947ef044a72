package dewstage.scale;

import java.util.List;
import picocli.CommandLine.Command;

/** Measures the failure of all backends of a rack at once, and their restart. */
@Command(name = "rack", description = "the backends of a rack fail at once (--changes), then restart cold")
final class RackExperiment extends FleetExperiment {
    /** From one rack up to as many racks as share a switch. */
    private static final List<Integer> CHANGES = List.of(20, 40, 80, 160);

    @Override
    List<Integer> changes() {
        return CHANGES;
    }

    @Override
    void measure(Run run, Point point, int round, Samples samples) throws Exception {
        try (TestBed testBed = new TestBed(run, point, round, options.seed)) {
            testBed.start("start");
            List<Backend> failed = testBed.fleet.failRacks(point.changes());
            samples.add(testBed.publish("rack gone", failed));
            samples.add(testBed.publish("rack back",
                    testBed.fleet.restart(failed, System.currentTimeMillis())));
        }
    }

    @Override
    void conclude(Run run, Samples samples) {
        // no evaluation beyond the table of samples
    }
}
