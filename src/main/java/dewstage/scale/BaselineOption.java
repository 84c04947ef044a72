package dewstage.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;

/** The option that names an older build to compare with. */
final class BaselineOption {
    @Option(names = "--baseline", paramLabel = "DIR",
            description = "a built checkout of an older version, measured alternately in the same run")
    private Path folder;

    void check(CommandSpec spec) {
        build().map(Build::jar).filter(jar -> !Files.exists(jar)).ifPresent(jar -> {
            throw new ParameterException(spec.commandLine(), "--baseline: there is no " + jar);
        });
    }

    boolean isGiven() {
        return folder != null;
    }

    /** Returns the folder as given; null if there is none. */
    Path folder() {
        return folder;
    }

    Optional<Build> build() {
        return Optional.ofNullable(folder).map(Build::baseline);
    }
}
