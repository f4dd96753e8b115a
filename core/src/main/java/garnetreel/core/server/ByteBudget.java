package garnetreel.core.server;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the bytes that all connections of a gateway hold together: received payloads and replies not yet sent. A
 * connection that finds no capacity waits in line, and its socket is not read meanwhile.
 *
 * <p>A connection that holds no bytes may exceed the limit with one request while less than twice the limit is
 * reserved, so that a request larger than the limit is served eventually. So requests find less than twice the limit
 * reserved and add one payload at most; the bytes of replies are reserved even beyond that. A further part of the limit
 * is for small requests of connections that hold nothing else, which need not wait for those with large ones.
 */
public final class ByteBudget {
    /** Is notified when capacity may be available. */
    public interface CapacityListener {
        /** Capacity may be available again. */
        void capacityAvailable();
    }

    /** Largest request that counts as small, with its overhead. */
    private static final long SMALL_REQUEST_BYTES = 128 << 10;

    /** Part of the limit that is for small requests beyond twice the limit. */
    private static final int SMALL_REQUESTS_DIVISOR = 8;

    private final long maxBytes;
    private final Set<CapacityListener> waiting = new LinkedHashSet<>();
    private long reserved;

    /** A budget of {@code maxBytes} bytes, all of them free. */
    public ByteBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reserves bytes if there is capacity; otherwise adds the listener to those waiting.
     *
     * @param holdsNothing whether the connection holds no bytes yet and may therefore exceed the limit with this
     *     request
     */
    public boolean tryReserve(long bytes, boolean holdsNothing, CapacityListener listener) {
        boolean fits = reserved + bytes <= maxBytes;
        long most = 2 * maxBytes + (bytes <= SMALL_REQUEST_BYTES ? maxBytes / SMALL_REQUESTS_DIVISOR : 0);
        boolean mayExceedLimit = holdsNothing && reserved < most;
        if (!fits && !mayExceedLimit) {
            waiting.add(listener);
            return false;
        }
        reserved += bytes;
        return true;
    }

    /** Whether any capacity is left; otherwise adds the listener to those waiting. */
    public boolean hasCapacity(CapacityListener listener) {
        if (reserved < maxBytes) {
            return true;
        }
        waiting.add(listener);
        return false;
    }

    /**
     * Releases bytes. A negative number reserves bytes even beyond the limit: for replies, whose size is bounded by
     * their requests.
     */
    public void release(long bytes) {
        reserved -= bytes;
    }

    /** Removes a listener from those waiting. */
    public void removeListener(CapacityListener listener) {
        waiting.remove(listener);
    }

    /** Notifies waiting listeners in order while there is capacity; a listener may start to wait again. */
    public void notifyWaiting() {
        if (reserved >= maxBytes || waiting.isEmpty()) {
            return;
        }
        ArrayDeque<CapacityListener> pending = new ArrayDeque<>(waiting);
        waiting.clear();
        while (!pending.isEmpty()) {
            CapacityListener next = pending.poll();
            if (reserved < maxBytes) {
                next.capacityAvailable();
            } else {
                waiting.add(next);
            }
        }
    }

    /** Whether a connection waits for capacity. */
    public boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Bytes reserved now, which may exceed the limit. */
    public long reserved() {
        return reserved;
    }
}
