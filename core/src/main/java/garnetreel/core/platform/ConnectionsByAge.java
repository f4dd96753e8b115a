package garnetreel.core.platform;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Connections in one state, in the order in which they entered it, and the time that they may stay in it, from
 * {@link UpstreamConnection#lastTransitionAt}. As the limit is the same for all, the first connection is the next to
 * expire. A health check assigned to a connection that is being established is an exception: its time restarts at the
 * write of its request, so those behind it may expire late.
 */
final class ConnectionsByAge {
    private final long maxAgeMicros;
    private final Map<Long, UpstreamConnection> byId = new LinkedHashMap<>();

    ConnectionsByAge(long maxAgeMicros) {
        this.maxAgeMicros = maxAgeMicros;
    }

    void add(UpstreamConnection connection) {
        byId.put(connection.id, connection);
    }

    void remove(UpstreamConnection connection) {
        byId.remove(connection.id);
    }

    /** The connections, oldest first. */
    Collection<UpstreamConnection> all() {
        return byId.values();
    }

    /** The connection that entered the state first; null if there is none. */
    UpstreamConnection oldest() {
        return byId.isEmpty() ? null : byId.values().iterator().next();
    }

    /** The oldest connection if it has expired, else null. */
    UpstreamConnection expired(long now) {
        UpstreamConnection oldest = oldest();
        return oldest != null && now - oldest.lastTransitionAt() >= maxAgeMicros ? oldest : null;
    }

    /** The time at which the oldest connection expires; {@link Long#MAX_VALUE} if there is none. */
    long nextDeadline() {
        UpstreamConnection oldest = oldest();
        return oldest == null ? Long.MAX_VALUE : oldest.lastTransitionAt() + maxAgeMicros;
    }
}
