package dewstage.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Ordinary clients are answered in time, whatever others write. {@link ClientTrouble} plays more by hand. */
@Timeout(60)
class MisbehavingClientsTest {
    private static final Duration DURATION = Duration.ofSeconds(3);
    private static final int HEAD_BYTES = 7_000;
    private static final int PIECES = 100;
    private static final int PAUSE_MS = 10;
    private static final int WINDOW = 12;

    @TempDir
    Path folder;

    /** Clients whose bodies came in chunks of one byte kept the event loop busy, and others got no answer. */
    @ParameterizedTest(name = "{0}, {1} clients")
    @CsvSource({
        "TINY_CHUNKS, 330, 50000",
        "SLOW_BODY, 330, 60000",
        "SHORT_FIELDS, 330, 0",
        "FLOOD_SOUND, 1, 0",
        "FLOOD_NEW_NAMES, 1, 0"
    })
    void ordinaryClientsAreAnsweredInTime(RequestForm form, int clients, int bodyBytes) throws Exception {
        RequestLoad load = new RequestLoad(clients, bodyBytes, HEAD_BYTES, PIECES, PAUSE_MS, WINDOW, true);
        TroubleRun run =
                TroubleRun.play(folder, false, form, new ProcessLimits(192, 1024), load, DURATION, new Random(clients));
        assertEquals(List.of(), run.failures(), run.toString());
    }
}
