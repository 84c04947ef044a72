package dewstage.scale;

import java.util.List;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** The options of all experiments. */
final class Options {
    /** Larger sizes are taken for mistakes; a list of this many entries would have 2 GB. */
    private static final int MAX_SIZE = 10_000_000;

    @Option(names = "--seed", defaultValue = "1", paramLabel = "N",
            description = "seed of all random choices (${DEFAULT-VALUE})")
    long seed;

    @Option(names = "--entries", defaultValue = "1000,4000,17000,68000", split = ",", paramLabel = "N",
            description = "sizes of the list, smallest first (${DEFAULT-VALUE})")
    List<Integer> entries;

    @Option(names = "--proxies", defaultValue = "4,8,16,32", split = ",", paramLabel = "N",
            description = "numbers of hollow proxies, smallest first (${DEFAULT-VALUE})")
    List<Integer> proxies;

    @Option(names = "--repeat", defaultValue = "2", paramLabel = "N",
            description = "number of measurements of each size, all of which are reported (${DEFAULT-VALUE})")
    int repeat;

    @Option(names = "--seconds", defaultValue = "900", paramLabel = "S",
            description = "time limit in seconds for starting sizes and for waiting (${DEFAULT-VALUE})")
    int seconds;

    @Option(names = "--json", paramLabel = "FILE",
            description = "also writes JSON; - is standard output, and tables go to standard error")
    String json;

    /** Throws a command line error if an option is invalid. */
    void check(CommandSpec spec) {
        checkSizes(spec, "--entries", entries);
        checkSizes(spec, "--proxies", proxies);
        checkSizes(spec, "--repeat", List.of(repeat));
        checkSizes(spec, "--seconds", List.of(seconds));
    }

    /** Replaces the default list sizes by those of an experiment. */
    void setDefaultEntries(CommandSpec spec, List<Integer> defaults) {
        entries = isGiven(spec, "--entries") ? entries : defaults;
    }

    void setDefaultProxies(CommandSpec spec, List<Integer> defaults) {
        proxies = isGiven(spec, "--proxies") ? proxies : defaults;
    }

    void setDefaultRepeat(CommandSpec spec, int defaultRepeat) {
        repeat = isGiven(spec, "--repeat") ? repeat : defaultRepeat;
    }

    private static boolean isGiven(CommandSpec spec, String option) {
        return spec.commandLine().getParseResult().hasMatchedOption(option);
    }

    /** Throws a command line error unless the sizes are positive, ascending and within the limit. */
    static void checkSizes(CommandSpec spec, String option, List<Integer> sizes) {
        int previous = 0;
        for (int size : sizes) {
            if (size <= previous || size > MAX_SIZE) {
                throw new ParameterException(spec.commandLine(), option + ": " + size
                        + " is not more than " + previous + " and at most " + MAX_SIZE);
            }
            previous = size;
        }
    }
}
