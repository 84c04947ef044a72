package dewstage.scale;

import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures a region that is cut off from discovery: its watches stall for a while, then all resume. */
@Command(name = "region",
        description = "watches stall, with changes meanwhile (--changes); then all resume")
final class RegionExperiment extends FleetExperiment {

    @Option(names = "--silent", defaultValue = "20", paramLabel = "S",
            description = "seconds for which the watches stall (${DEFAULT-VALUE})")
    int silentS;

    @Override
    void check() {
        super.check();
        Options.checkSizes(spec, "--silent", List.of(silentS));
    }

    @Override
    void measure(Run run, Point point, int round, Samples samples) throws Exception {
        try (TestBed testBed = new TestBed(run, point, round, options.seed)) {
            testBed.start("start");
            DiscoveryStandIn discovery = testBed.discovery;
            DiscoveryStandIn.Counts before = discovery.counts();
            long cpuBeforeNs = testBed.hollowProxies.cpuNs();
            discovery.stopResponding();
            List<Backend> changes = testBed.fleet.changeWeights(point.changes());
            discovery.publish(changes);
            testBed.pause(silentS);
            samples.add(testBed.since("silent for " + silentS + " s", before, cpuBeforeNs, 0));
            samples.add(testBed.measure("return", discovery.generation(), changes.size(),
                    discovery::resumeResponding));
        }
    }

    @Override
    void conclude(Run run, Samples samples) {
        run.report().parameter("silent", silentS);
    }
}
