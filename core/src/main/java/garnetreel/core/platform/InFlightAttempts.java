package garnetreel.core.platform;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The attempts that have been assigned a connection, whether they have started or not, ordered by deadline. Attempts
 * that got no connection and still have to be completed are not among them.
 */
final class InFlightAttempts {
    private final Map<UpstreamAttempt, UpstreamConnection> connections = new HashMap<>();
    private final TreeSet<UpstreamAttempt> byDeadline =
            new TreeSet<>(Comparator.<UpstreamAttempt>comparingLong(attempt -> attempt.deadline)
                    .thenComparingLong(attempt -> attempt.requestId)
                    .thenComparingInt(attempt -> attempt.number));

    void add(UpstreamAttempt attempt, UpstreamConnection connection) {
        connections.put(attempt, connection);
        byDeadline.add(attempt);
    }

    void remove(UpstreamAttempt attempt) {
        connections.remove(attempt);
        byDeadline.remove(attempt);
    }

    int size() {
        return connections.size();
    }

    /** The connection of an attempt; null if the attempt is not in flight. */
    UpstreamConnection connectionOf(UpstreamAttempt attempt) {
        return connections.get(attempt);
    }

    /** The attempts of a request, as a copy, so that they can be removed during iteration. */
    List<UpstreamAttempt> ofRequest(long request) {
        List<UpstreamAttempt> attempts = new ArrayList<>();
        for (UpstreamAttempt attempt : connections.keySet()) {
            if (attempt.requestId == request) {
                attempts.add(attempt);
            }
        }
        return attempts;
    }

    /** The attempt with the earliest deadline if the deadline has passed, else null. */
    UpstreamAttempt expired(long now) {
        return nextDeadline() <= now ? byDeadline.first() : null;
    }

    /** The earliest deadline; {@link Long#MAX_VALUE} if there are no attempts. */
    long nextDeadline() {
        return byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.first().deadline;
    }
}
