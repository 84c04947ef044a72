package dewstage.scale;

import java.util.List;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** The options of the measurement of the load on cold backends. */
final class ColdOptions {
    @Option(names = "--cold-proxies", defaultValue = "18,36,72,144", split = ",", paramLabel = "N",
            description = "numbers of proxies that send to cold backends, smallest first (${DEFAULT-VALUE})")
    List<Integer> proxies;

    @Option(names = "--per-proxy", defaultValue = "13", paramLabel = "N",
            description = "backends per proxy, as in the planned fleet (${DEFAULT-VALUE})")
    int perProxy;

    @Option(names = "--requests", defaultValue = "20", paramLabel = "N",
            description = "requests per second to each of these proxies (${DEFAULT-VALUE})")
    int requests;

    @Option(names = "--no-cold", description = "skips the measurement of the load on cold backends")
    boolean isDisabled;

    void check(CommandSpec spec) {
        Options.checkSizes(spec, "--cold-proxies", proxies);
        Options.checkSizes(spec, "--per-proxy", List.of(perProxy));
        Options.checkSizes(spec, "--requests", List.of(requests));
    }

    int entries(int proxies) {
        return Math.max(Fleet.ZONES, proxies * perProxy);
    }

    /** Returns the resources needed to run another measurement and then this one. */
    Experiment.ResourceNeeds needs(Experiment.ResourceNeeds other) {
        int maxProxies = Point.largest(proxies);
        return isDisabled ? other : new Experiment.ResourceNeeds(
                Math.max(other.heapBytes(),
                        FleetExperiment.requiredHeapBytes(entries(maxProxies), maxProxies)),
                other.processes(), other.processBytes());
    }
}
