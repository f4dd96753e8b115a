package garnetreel.net;

import java.lang.reflect.AccessibleObject;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.channels.AcceptingChannel;

/**
 * Ends the backoff that XNIO 3.8 starts when accept(2) fails. Its server handle then accepts nothing for 0.25 s, and
 * for four times as long after each further failure, although the cause (a descriptor limit, a connection that was
 * reset in the accept queue) may be gone at once. Meanwhile clients whose connections are established and whose
 * requests are sent get no response.
 *
 * <p>Reflection is needed because XNIO has no option for the backoff, and neither {@code resumeAccepts()} nor
 * {@code wakeupAccepts()} ends one: only the package-private {@code NioTcpServerHandle.endBackOff()} does, which XNIO's
 * own timer calls. If a version of XNIO lacks these members, a warning is logged once for each listener and the backoff
 * remains.
 */
final class AcceptBackoffWorkaround {
    private static final Logger LOG = LoggerFactory.getLogger(AcceptBackoffWorkaround.class);

    private final XnioExecutor acceptThread;
    private final Object[] handles;
    private final Field backOffField;
    private final Method endBackOffMethod;

    private AcceptBackoffWorkaround(
            XnioExecutor acceptThread, Object[] handles, Field backOffField, Method endBackOffMethod) {
        this.acceptThread = acceptThread;
        this.handles = handles;
        this.backOffField = backOffField;
        this.endBackOffMethod = endBackOffMethod;
    }

    /** Creates the workaround for one listener; it has no effect if XNIO lacks the expected members. */
    @SuppressWarnings("deprecation") // getAcceptThread: accepts run on another thread than the listener's I/O thread
    static AcceptBackoffWorkaround of(AcceptingChannel<?> listener) {
        try {
            Field serverField = accessible(listener.getClass().getDeclaredField("realServer"));
            Object server = serverField.get(listener);
            Field handlesField = accessible(server.getClass().getDeclaredField("handles"));
            Object handleArray = handlesField.get(server);
            Class<?> handleType = handleArray.getClass().getComponentType();
            return new AcceptBackoffWorkaround(
                    listener.getAcceptThread(),
                    elements(handleArray),
                    accessible(handleType.getDeclaredField("backOff")),
                    accessible(handleType.getDeclaredMethod("endBackOff")));
        } catch (ReflectiveOperationException e) {
            LOG.warn("XNIO's backoff after a failed accept can't be ended on this listener: {}", e.toString());
            return new AcceptBackoffWorkaround(null, new Object[0], null, null);
        }
    }

    private static <T extends AccessibleObject> T accessible(T member) {
        member.setAccessible(true);
        return member;
    }

    private static Object[] elements(Object array) {
        Object[] elements = new Object[Array.getLength(array)];
        for (int i = 0; i < elements.length; i++) {
            elements[i] = Array.get(array, i);
        }
        return elements;
    }

    /** Ends the current backoff of each server handle, on the accept thread. */
    void endBackoffs() {
        for (Object handle : handles) {
            try {
                if (backOffField.getBoolean(handle)) {
                    acceptThread.execute(() -> endBackoff(handle));
                }
            } catch (IllegalAccessException e) {
                throw new IllegalStateException(
                        "field " + backOffField + " is not accessible although it was made so", e);
            }
        }
    }

    private void endBackoff(Object handle) {
        try {
            endBackOffMethod.invoke(handle);
        } catch (ReflectiveOperationException e) {
            LOG.warn("XNIO's backoff after a failed accept could not be ended: {}", e.toString());
        }
    }
}
