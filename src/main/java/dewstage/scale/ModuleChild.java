package dewstage.scale;

import dewstage.Policy;

/**
 * A process that measures the first module on its class path, that of this build or of an older one, with the
 * same events. It loads only the module and the classes used here, so that the libraries of an older build
 * suffice. Arguments: seed, entries, zones, balancers. Prints a line for each cost, the measure and the cost
 * in ns; the last line is DONE with the digest of the module's actions and the numbers of requests served and
 * of requests refused or failed.
 */
final class ModuleChild {
    /** Start of the last line of output. */
    static final String DONE = "DONE";
    /** Maximum number of rounds for a small fleet, each with another seed. */
    private static final int MAX_ROUNDS = 8;
    /** Small fleets are measured in several rounds, up to this total of entries. */
    private static final int TOTAL_ENTRIES = 34_000;

    private ModuleChild() { }

    public static void main(String[] args) {
        ModuleShape shape = new ModuleShape(Integer.parseInt(args[1]), Integer.parseInt(args[2]),
                Integer.parseInt(args[3]));
        int rounds = Math.max(1, Math.min(MAX_ROUNDS, TOTAL_ENTRIES / shape.entries()));
        long digest = 0;
        int served = 0;
        int rejected = 0;
        StringBuilder lines = new StringBuilder();
        for (int round = 0; round < rounds; round++) {
            VirtualHost host = new ModuleRun(Policy::new, shape, Long.parseLong(args[0]) + round,
                    System::nanoTime,
                    (measure, ns) -> lines.append(measure).append(' ').append(ns).append('\n')).runAll();
            digest = digest * 31 + host.digest();
            served += host.served();
            rejected += host.rejected();
        }
        System.out.print(lines);
        System.out.println(DONE + ' ' + Long.toHexString(digest) + ' ' + served + ' ' + rejected);
    }
}
