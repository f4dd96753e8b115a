package garnetreel.policy.ordering;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Orders the requests of ordered classes by arrival, with one queue per key. In the quiet period of a key, only the
 * request whose outcome started it may be sent.
 *
 * @param <R> type of the requests
 */
public final class KeySequencer<R> {
    private final Map<Long, KeyQueue<R>> queues = new LinkedHashMap<>();
    private final long quietPeriod;

    /**
     * Creates a sequencer in which a key has a quiet period of the given length, in microseconds, after an outcome that
     * may leave work running.
     */
    public KeySequencer(long quietPeriod) {
        this.quietPeriod = quietPeriod;
    }

    /** Appends a request to its key's queue and returns the queue. */
    public KeyQueue<R> enqueue(long key, R request) {
        KeyQueue<R> queue = queues.computeIfAbsent(key, absent -> new KeyQueue<>());
        queue.add(request);
        return queue;
    }

    /**
     * Starts the quiet period of a key, after the end of an attempt whose work may still be running; the request itself
     * may be retried during that period.
     */
    public void startQuietPeriod(KeyQueue<R> queue, R request, long now) {
        queue.startQuietPeriod(now + quietPeriod, request);
    }

    /** Evicts keys that have no requests and whose quiet period has ended. */
    public void evictIdleKeys(long now) {
        queues.values().removeIf(queue -> queue.isIdle(now));
    }

    /** Number of keys in the table. */
    public int size() {
        return queues.size();
    }

    /** Invariant: no queue contains a request twice. */
    public boolean isConsistent() {
        for (KeyQueue<R> queue : queues.values()) {
            if (!queue.isConsistent()) {
                return false;
            }
        }
        return true;
    }
}
