package dewstage.scale;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;

/** A built checkout, with its name in tables. */
record Build(String name, Path folder) {
    /** Name of the build under measurement. */
    static final String OWN = "this";
    /** Name of the build to compare with. */
    static final String BASELINE = "baseline";

    /** Returns an older build to compare with. */
    static Build baseline(Path folder) {
        return new Build(BASELINE, folder.toAbsolutePath());
    }

    /** Returns the build of this program. */
    static Build own() throws IOException {
        return new Build(OWN, ownClasses().toAbsolutePath().getParent().getParent());
    }

    /** Returns the location of this program's classes: the jar, or the class directory in tests. */
    static Path ownClasses() throws IOException {
        try {
            return Path.of(Build.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        } catch (URISyntaxException e) {
            throw new IOException("invalid location of this program", e);
        }
    }

    Path jar() {
        return folder.resolve("target").resolve("dewstage.jar");
    }
}
