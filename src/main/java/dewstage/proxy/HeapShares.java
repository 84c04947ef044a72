package dewstage.proxy;

/**
 * Divides the heap between everything whose size other processes determine: the member list, the requests of
 * clients and the responses of backends. Each has a limit of its own, so none of them can use up the memory
 * of the others. What is left over is for garbage between two collections.
 *
 * @param listBytes limit for the listed backends
 * @param requestBytes limit for requests, from their first byte to their response
 * @param responseBytes limit for responses, from their first byte until the client's socket has taken them
 * @param requestIdBytes limit for the ids of requests that have ended
 */
record HeapShares(long listBytes, long requestBytes, long responseBytes, long requestIdBytes) {
    /** Live heap of a proxy with one backend and no connections, rounded up. */
    private static final long BASE_BYTES = 5 << 20;
    /** Live heap of one open connection without a message, rounded up. */
    private static final long CONNECTION_BYTES = 5 << 10;
    private static final double LIST_FRACTION = 0.5;
    private static final double REQUEST_FRACTION = 0.2;
    private static final double RESPONSE_FRACTION = 0.1;
    private static final double REQUEST_ID_FRACTION = 0.05;

    /**
     * Divides what the base and the connections leave.
     *
     * @param heapBytes maximum size of the heap
     * @param sockets maximum number of open connections
     */
    static HeapShares of(long heapBytes, int sockets) {
        long available = Math.max(0, heapBytes - BASE_BYTES - sockets * CONNECTION_BYTES);
        return new HeapShares((long) (available * LIST_FRACTION), (long) (available * REQUEST_FRACTION),
                (long) (available * RESPONSE_FRACTION), (long) (available * REQUEST_ID_FRACTION));
    }

    /** Divides the heap of this process. */
    static HeapShares ofThisProcess(int sockets) {
        return of(Runtime.getRuntime().maxMemory(), sockets);
    }
}
