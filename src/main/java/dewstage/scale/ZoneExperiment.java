package dewstage.scale;

import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Measures the failure of a zone, 1/18 of the list, and its cold restart. */
@Command(name = "zone",
        description = "1 backend in 18 fails at once and restarts cold; load on the cold ones")
final class ZoneExperiment extends FleetExperiment {
    /** Duration of the outage; a shorter one would fall within the proxies' memory of their rates. */
    private static final double OUTAGE_S = 3;

    @Mixin
    ColdOptions cold;

    @Override
    List<Integer> changes() {
        return List.of(1); // the number of changes follows from the list
    }

    @Override
    void check() {
        super.check();
        cold.check(spec);
    }

    @Override
    ResourceNeeds needs() {
        return cold.needs(super.needs());
    }

    @Override
    void measure(Run run, Point point, int round, Samples samples) throws Exception {
        try (TestBed testBed = new TestBed(run, point, round, options.seed)) {
            testBed.start("start");
            List<Backend> failed = testBed.fleet.failZone();
            samples.add(testBed.publish("zone gone", failed));
            samples.add(testBed.publish("zone back",
                    testBed.fleet.restart(failed, System.currentTimeMillis())));
        }
    }

    @Override
    void conclude(Run run, Samples samples) throws Exception {
        new ColdBackendLoad(run, cold, options).measure("zone back", new ColdBackendLoad.Event() {
            private List<Backend> failed;

            @Override
            public void prepare(TestBed testBed) throws Exception {
                failed = testBed.fleet.failZone();
                testBed.publish("zone gone", failed);
                testBed.pause(OUTAGE_S);
            }

            @Override
            public void startBackends(TestBed testBed) throws Exception {
                testBed.publish("zone back", testBed.fleet.restart(failed, System.currentTimeMillis()));
            }
        });
    }
}
