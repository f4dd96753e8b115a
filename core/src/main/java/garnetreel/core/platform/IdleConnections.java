package garnetreel.core.platform;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** Open connections without an assigned attempt or health check, by endpoint and by age. */
final class IdleConnections {
    private final Map<String, ArrayDeque<UpstreamConnection>> byEndpoint = new HashMap<>();
    private final ConnectionsByAge byAge;

    IdleConnections(long idleTimeoutMicros) {
        byAge = new ConnectionsByAge(idleTimeoutMicros);
    }

    void add(UpstreamConnection connection) {
        ArrayDeque<UpstreamConnection> connections = byEndpoint.get(connection.endpoint);
        if (connections == null) {
            connections = new ArrayDeque<>();
            byEndpoint.put(connection.endpoint, connections);
        }
        connections.addLast(connection);
        byAge.add(connection);
    }

    void remove(UpstreamConnection connection) {
        byAge.remove(connection);
        ArrayDeque<UpstreamConnection> connections = byEndpoint.get(connection.endpoint);
        if (connections != null && connections.remove(connection) && connections.isEmpty()) {
            byEndpoint.remove(connection.endpoint);
        }
    }

    /** The connection that has been idle longest; null if there is none. */
    UpstreamConnection oldest() {
        return byAge.oldest();
    }

    /** The connection to an endpoint that has been idle longest; null if there is none. */
    UpstreamConnection oldestOf(String endpoint) {
        ArrayDeque<UpstreamConnection> connections = byEndpoint.get(endpoint);
        return connections == null ? null : connections.peekFirst();
    }

    /** The connection that has been idle longest, if its idle timeout has passed; else null. */
    UpstreamConnection expired(long now) {
        return byAge.expired(now);
    }

    /** The time at which the next idle timeout passes; {@link Long#MAX_VALUE} if no connection is idle. */
    long nextDeadline() {
        return byAge.nextDeadline();
    }
}
