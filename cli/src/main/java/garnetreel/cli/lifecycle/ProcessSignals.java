package garnetreel.cli.lifecycle;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.function.IntSupplier;

/**
 * Handling of Unix signals. SIGTERM is handled in two ways:
 *
 * <ul>
 *   <li>{@code serve} and {@code map-service} run {@linkplain #beforeExit a shutdown hook}, which uses supported interfaces
 *       only and runs at SIGINT too. The JVM is already exiting, so only the hook delays the exit: it drains within its time
 *       limit, and halts the JVM with its own exit code.
 *   <li>{@code platform} installs {@linkplain #handle a signal handler}, as it must for SIGHUP. The JVM keeps running: the
 *       handler requests a shutdown, the gateway stops once every request is answered and every connection is closed
 *       (docs/platform.md), and only then does the main thread return with the exit code. There is no time limit. SIGINT keeps
 *       its default action, an immediate exit.
 * </ul>
 *
 * <p>The JDK has signal handlers only in sun.misc, which the compiler warns about; reflection avoids the warning.
 */
public final class ProcessSignals {
    private ProcessSignals() {}

    /**
     * Runs {@code action} on a JVM thread at each signal of that name, instead of the signal's default action.
     *
     * @param name without the prefix SIG
     * @return false where the process was started with the signal ignored, as nohup does with SIGHUP: the JVM keeps it ignored
     * @throws IllegalStateException when signals can't be handled here
     */
    public static boolean handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    ProcessSignals.class.getClassLoader(),
                    new Class<?>[] {handler},
                    (self, method, arguments) -> invoke(name, action, self, method, arguments));
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
            return previous != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            Throwable cause = e instanceof InvocationTargetException wrapped ? wrapped.getCause() : e;
            throw new IllegalStateException("signal " + name + " can't be handled: " + cause, e);
        }
    }

    /** Invocation handler of the signal handler's proxy: {@code handle} runs the action, the rest are methods of Object. */
    private static Object invoke(String name, Runnable action, Object self, Method method, Object[] arguments) {
        return switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> self == arguments[0];
            case "hashCode" -> System.identityHashCode(self);
            default -> "handler of " + name;
        };
    }

    /**
     * Runs {@code shutdown} when the JVM begins to exit, then halts the JVM with the exit code that {@code shutdown}
     * returns. Halting is the only way to choose the exit code at that point: after a signal the JVM would use its own
     * (143 for SIGTERM).
     *
     * @param threadName name of the thread that runs it
     */
    public static void beforeExit(String threadName, IntSupplier shutdown) {
        Thread hook = new Thread(() -> Runtime.getRuntime().halt(shutdown.getAsInt()), threadName);
        Runtime.getRuntime().addShutdownHook(hook);
    }
}
