package dewstage.proxy;

/** Writes log lines to standard error, each prefixed with the Unix time in milliseconds. */
final class Log {
    private Log() { }

    static void line(String text) {
        System.err.println(System.currentTimeMillis() + " " + text);
    }

    /** Logs a failure and where it was thrown; gives up the line if no memory is left for it. */
    static void failure(String what, Throwable thrown) {
        try {
            StackTraceElement[] trace = thrown.getStackTrace();
            line(what + ": " + thrown + (trace.length > 0 ? " at " + trace[0] : ""));
        } catch (OutOfMemoryError e) {
            // handling the failure matters more than the line
        }
    }
}
