package dewstage.faults;

/**
 * The limits of a proxy process in its configuration.
 *
 * @param memoryMb the most resident memory in MB
 * @param sockets the most open sockets
 */
record ProcessLimits(int memoryMb, int sockets) {
    static final ProcessLimits DEFAULT = new ProcessLimits(128, 512);
}
