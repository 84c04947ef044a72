package dewstage.proxy;

import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records of libraries to the proxy's own log. The default handler formats a date, and for the
 * first record loads time zones and locales from files: without a free descriptor that throws an Error, which
 * ends the event loop, and loading them in advance would add more than a tenth of a second to the start.
 */
final class LibraryLog extends Handler {
    static void install() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LibraryLog());
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (isLoggable(logRecord)) {
            String text = logRecord.getLevel().getName() + " " + logRecord.getMessage();
            if (logRecord.getThrown() == null) {
                Log.line(text);
            } else {
                Log.failure(text, logRecord.getThrown());
            }
        }
    }

    @Override
    public void flush() { }

    @Override
    public void close() { }
}
