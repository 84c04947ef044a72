package dewstage.proxy;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Handlers for signals that would otherwise end the process, such as SIGHUP. The runtime has no public API
 * for this, so the internal class that most runtimes have is used by reflection.
 */
final class Signals {
    /** The number of SIGHUP on Linux. */
    static final int SIGHUP = 1;

    private Signals() { }

    /** Whether this process was started with the signal ignored; false if the system does not report it. */
    static boolean isIgnored(int number) {
        try {
            return Files.readAllLines(Path.of("/proc/self/status")).stream()
                    .filter(line -> line.startsWith("SigIgn:"))
                    .mapToLong(line -> Long.parseUnsignedLong(line.substring("SigIgn:".length()).trim(), 16))
                    .anyMatch(mask -> (mask >> number - 1 & 1) != 0);
        } catch (IOException e) {
            return false;
        }
    }

    /** Runs the action on a new thread at each such signal; returns false if that is not supported. */
    static boolean installHandler(String name, Runnable action) {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            InvocationHandler dispatch = (proxy, method, arguments) -> switch (method.getName()) {
                case "handle" -> {
                    action.run();
                    yield null;
                }
                case "equals" -> proxy == arguments[0];
                case "hashCode" -> System.identityHashCode(proxy);
                default -> "handler of SIG" + name;
            };
            signalType.getMethod("handle", signalType, handlerType).invoke(null,
                    signalType.getConstructor(String.class).newInstance(name),
                    Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handlerType},
                            dispatch));
            return true;
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            return false;
        }
    }
}
