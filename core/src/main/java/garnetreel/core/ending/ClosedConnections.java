package garnetreel.core.ending;

import java.util.EnumMap;
import java.util.Map;

/** Counts the connections that have ended, and the requests received on them that were not answered. */
public final class ClosedConnections {
    private final Map<ConnectionEnding, Long> connections = new EnumMap<>(ConnectionEnding.class);
    private final Map<ConnectionEnding, Long> unansweredRequests = new EnumMap<>(ConnectionEnding.class);

    /**
     * Counts a connection that has ended.
     *
     * @param unanswered number of requests that were received on it and not answered
     */
    public void count(ConnectionEnding ending, int unanswered) {
        connections.merge(ending, 1L, Long::sum);
        if (unanswered > 0) {
            unansweredRequests.merge(ending, (long) unanswered, Long::sum);
        }
    }

    /** Number of connections that ended in this way. */
    public long connections(ConnectionEnding ending) {
        return connections.getOrDefault(ending, 0L);
    }

    /** Number of requests that were not answered as their connections ended in this way. */
    public long unanswered(ConnectionEnding ending) {
        return unansweredRequests.getOrDefault(ending, 0L);
    }

    /** Number of requests that were owed an answer and closed without one: 0 unless there is a defect. */
    public long owedAnswers() {
        long sum = 0;
        for (Map.Entry<ConnectionEnding, Long> entry : unansweredRequests.entrySet()) {
            sum += entry.getKey().owesAnswers() ? entry.getValue() : 0;
        }
        return sum;
    }

    /** The counters as a log line; those at 0 are omitted. */
    public String logLine() {
        return "connections closed:" + text(connections) + "; requests closed unanswered:" + text(unansweredRequests);
    }

    private static String text(Map<ConnectionEnding, Long> counters) {
        StringBuilder text = new StringBuilder();
        counters.forEach((ending, count) ->
                text.append(' ').append(ending.label()).append('=').append(count));
        return text.isEmpty() ? " none" : text.toString();
    }
}
