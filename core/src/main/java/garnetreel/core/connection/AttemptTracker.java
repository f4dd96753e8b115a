package garnetreel.core.connection;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** The attempts that have not ended, with their connections and timeouts. */
final class AttemptTracker {
    private final Map<AttemptKey, Long> connectionIds = new HashMap<>();
    private final TreeSet<NodeAttempt> byTimeout = new TreeSet<>(Comparator.comparingLong(NodeAttempt::timeoutAt)
            .thenComparingLong(NodeAttempt::subRequestId)
            .thenComparingInt(NodeAttempt::index));

    void add(NodeAttempt attempt, long connectionId) {
        byTimeout.add(attempt);
        connectionIds.put(attempt.key(), connectionId);
    }

    void remove(NodeAttempt attempt) {
        byTimeout.remove(attempt);
        connectionIds.remove(attempt.key());
    }

    /** Id of the connection that an attempt is assigned to; null if the attempt has ended. */
    Long connectionId(AttemptKey key) {
        return connectionIds.get(key);
    }

    /** The attempt with the earliest timeout if that has passed; null otherwise. */
    NodeAttempt firstTimedOut(long now) {
        return nextDeadline() <= now ? byTimeout.first() : null;
    }

    /** When the next attempt times out; {@link Long#MAX_VALUE} if there is none. */
    long nextDeadline() {
        return byTimeout.isEmpty() ? Long.MAX_VALUE : byTimeout.first().timeoutAt();
    }
}
