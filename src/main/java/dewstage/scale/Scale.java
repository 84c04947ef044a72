package dewstage.scale;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line of the scale tests: each subcommand is one experiment. A proxy in service does not use
 * this package.
 */
@Command(name = "scale", mixinStandardHelpOptions = true, scope = CommandLine.ScopeType.INHERIT,
        synopsisSubcommandLabel = "EXPERIMENT",
        description = "Measures how the cost of a proxy grows with the fleet. Run one experiment at a time:",
        subcommands = {StartExperiment.class, ChangesExperiment.class, RackExperiment.class,
            ZoneExperiment.class, HerdExperiment.class, RegionExperiment.class, ModuleExperiment.class,
            RequestExperiment.class, RealExperiment.class})
public final class Scale implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Scale() { }

    /**
     * Runs the experiment that the arguments name.
     *
     * @return the exit code: 0 if it completed, 1 if it failed or ran out of time, 2 for an invalid argument
     *     or a size that exceeds the limits of the machine
     */
    public static int run(String[] args) {
        return run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
    }

    static int run(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new Scale()).setOut(out).setErr(err)
                .setParameterExceptionHandler((e, arguments) -> {
                    e.getCommandLine().getErr().println(e.getMessage());
                    e.getCommandLine().usage(e.getCommandLine().getErr());
                    return CommandLine.ExitCode.USAGE;
                })
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    line.getErr().println("scale: " + e);
                    return CommandLine.ExitCode.SOFTWARE;
                }).execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "no experiment given");
    }
}
