package dewstage.proxy;

/** The log of the process: lines on standard error, each behind the time in milliseconds. */
final class Log {
    private Log() { }

    static void line(String text) {
        System.err.println(System.currentTimeMillis() + " " + text);
    }
}
