package dewstage.scale;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** One experiment: checks its options, runs within its time limit and writes the report. */
abstract class Experiment implements Callable<Integer> {
    @Spec
    CommandSpec spec;

    @Mixin
    Options options;

    /** The context of a run: its report, progress output and deadline. */
    record Run(Report report, Progress progress, Deadline deadline) { }

    /** The resources that an experiment needs. */
    record ResourceNeeds(long heapBytes, int processes, long processBytes) { }

    /** Throws a command line error if an option of this experiment is invalid. */
    void check() { }

    abstract ResourceNeeds needs();

    /** Runs the measurements; returns false if some were left out. */
    abstract boolean measure(Run run) throws Exception;

    @Override
    public final Integer call() throws Exception {
        options.check(spec);
        check();
        ResourceNeeds needs = needs();
        String refusal = new Limits().refusal(needs.heapBytes, needs.processes, needs.processBytes);
        PrintWriter err = spec.commandLine().getErr();
        if (refusal != null) {
            throw new ParameterException(spec.commandLine(), refusal);
        }
        Report report = new Report(spec.name()).parameter("seed", options.seed)
                .parameter("entries", options.entries).parameter("proxies", options.proxies)
                .parameter("repeat", options.repeat).parameter("seconds", options.seconds);
        Deadline deadline = new Deadline(options.seconds);
        boolean isComplete = measure(new Run(report, new Progress(err), deadline))
                && !deadline.hasPassed(); // the last wait may have been cut short
        if (!isComplete) {
            report.remark("INCOMPLETE: the time limit was reached before all sizes were measured");
        }
        report.write(spec.commandLine().getOut(), err, options.json);
        return isComplete ? 0 : 1;
    }
}
