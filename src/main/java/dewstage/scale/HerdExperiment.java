package dewstage.scale;

import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures an outage of discovery, after which all proxies call again at once. */
@Command(name = "herd",
        description = "an outage of discovery, with changes meanwhile (--changes); then all call again")
final class HerdExperiment extends FleetExperiment {
    private static final double REFUSING_S = 2;

    @Option(names = "--away", defaultValue = "3", paramLabel = "S",
            description = "seconds of each outage (${DEFAULT-VALUE})")
    int awayS;

    @Override
    void check() {
        super.check();
        Options.checkSizes(spec, "--away", List.of(awayS));
    }

    @Override
    void measure(Run run, Point point, int round, Samples samples) throws Exception {
        try (TestBed testBed = new TestBed(run, point, round, options.seed)) {
            testBed.start("start");
            DiscoveryStandIn discovery = testBed.discovery;
            List<Backend> changes = changeDuringOutage(testBed, point);
            samples.add(testBed.measure("call for changes", discovery.generation(), changes.size(),
                    discovery::restart));

            changes = changeDuringOutage(testBed, point);
            discovery.refuseCalls(true);
            DiscoveryStandIn.Counts before = discovery.counts();
            long cpuBeforeNs = testBed.hollowProxies.cpuNs();
            discovery.restart();
            testBed.pause(REFUSING_S);
            samples.add(testBed.since("answered 503 for " + REFUSING_S + " s", before, cpuBeforeNs, 0));
            samples.add(testBed.measure("call after that", discovery.generation(), changes.size(),
                    () -> discovery.refuseCalls(false)));

            discovery.stop();
            long version = discovery.resendFullList(); // it has lost its history
            testBed.pause(awayS);
            samples.add(testBed.measure("call for the list", version, testBed.fleet.backends().size(),
                    discovery::restart));
        }
    }

    private List<Backend> changeDuringOutage(TestBed testBed, Point point) throws Exception {
        testBed.discovery.stop();
        List<Backend> changes = testBed.fleet.changeWeights(point.changes());
        testBed.discovery.publish(changes);
        testBed.pause(awayS);
        return changes;
    }

    @Override
    void conclude(Run run, Samples samples) {
        run.report().parameter("away", awayS);
    }
}
