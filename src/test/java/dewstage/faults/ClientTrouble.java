package dewstage.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays misbehaving clients against one built proxy, and prints what ordinary clients and the system saw. */
@Command(name = "trouble", mixinStandardHelpOptions = true)
public final class ClientTrouble implements Callable<Integer> {
    private static final int BODY_BYTES_LIMIT = 64 << 10;
    private static final int HEAD_BYTES_LIMIT = 8_000;

    @Option(names = "--forms", split = ",", description = "forms of requests; all if not given")
    private List<RequestForm> forms = List.of(RequestForm.values());

    @Option(names = "--memory", split = ",", defaultValue = "72,88,128,192", description = "memory limits in MB")
    private List<Integer> memoryMb;

    @Option(names = "--sockets", split = ",", defaultValue = "256,512,1024", description = "limits of sockets")
    private List<Integer> sockets;

    @Option(names = "--clients", split = ",", defaultValue = "100,330,570", description = "clients at a time")
    private List<Integer> clients;

    @Option(names = "--seconds", defaultValue = "6", description = "length of a run")
    private int seconds;

    @Option(names = "--runs", defaultValue = "1", description = "runs of each form")
    private int runs;

    @Option(names = "--seed", defaultValue = "1", description = "seed of the first run")
    private long seed;

    private int failures;

    @Override
    public Integer call() throws Exception {
        System.out.println("form                  seed  MB sockets clients  body  head pieces pause window waits | "
                + "connections peak MB ordinary served lost slowest ms");
        for (RequestForm form : forms) {
            for (int i = 0; i < runs; i++) {
                play(form, seed + i);
            }
        }
        System.out.println(failures + " runs failed");
        return failures == 0 ? 0 : 1;
    }

    private void play(RequestForm form, long runSeed) throws Exception {
        Random random = new Random(runSeed);
        ProcessLimits limits = new ProcessLimits(oneOf(memoryMb, random), oneOf(sockets, random));
        RequestLoad load = new RequestLoad(
                form.isFlood() ? 1 + random.nextInt(2) : oneOf(clients, random),
                1_000 + random.nextInt(BODY_BYTES_LIMIT - 1_000),
                500 + random.nextInt(HEAD_BYTES_LIMIT - 500),
                2 + random.nextInt(200),
                1 + random.nextInt(30),
                1 + random.nextInt(20),
                random.nextBoolean());
        Path folder = Files.createTempDirectory("trouble");
        try {
            TroubleRun run = TroubleRun.play(folder, true, form, limits, load, Duration.ofSeconds(seconds), random);
            System.out.printf(
                    "%-20s %5d %4d %6d %6d %6d %5d %5d %5d %5d %6b | %8d %7d %7d %6d %5d %6d%s%n",
                    form,
                    runSeed,
                    limits.memoryMb(),
                    limits.sockets(),
                    load.clients(),
                    load.bodyBytes(),
                    load.headBytes(),
                    load.pieces(),
                    load.pauseMs(),
                    load.window(),
                    load.waitsForAnswers(),
                    run.connections(),
                    run.peakKb() >> 10,
                    run.ordinary(),
                    run.served(),
                    run.lost(),
                    run.slowest().toMillis(),
                    run.failures().isEmpty() ? "" : "  " + run.failures());
            failures += run.failures().isEmpty() ? 0 : 1;
        } finally {
            delete(folder);
        }
    }

    private static int oneOf(List<Integer> values, Random random) {
        return values.get(random.nextInt(values.size()));
    }

    private static void delete(Path folder) throws IOException {
        List<Path> paths = new ArrayList<>();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(paths::add);
        }
        for (Path path : paths) {
            Files.delete(path);
        }
    }

    /** See --help. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new ClientTrouble()).execute(args));
    }
}
