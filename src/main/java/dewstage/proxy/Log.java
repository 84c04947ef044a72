package dewstage.proxy;

/** Writes log lines to standard error, each prefixed with the Unix time in milliseconds. */
final class Log {
    private Log() { }

    static void line(String text) {
        System.err.println(System.currentTimeMillis() + " " + text);
    }
}
