package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpResponse;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.io.NetAction;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Opens, reuses and closes the connections to endpoints, and limits their number and the bytes buffered for them. It
 * does not complete attempts; the caller that aborts a connection has to complete the attempt assigned to it.
 */
final class UpstreamConnectionTable {
    /**
     * Minimum time between a response and the reuse of its connection, in microseconds. An endpoint may send a
     * duplicate right after a response, which would be taken for the response to the next request. Bytes that arrive
     * within this time close the connection while no attempt depends on it.
     */
    private static final long REUSE_DELAY_MICROS = 2_000;

    /**
     * Fraction of the endpoints' idle timeout after which the gateway closes an idle connection, so that it rarely
     * writes a request to a connection that the endpoint is about to close.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    /** The endpoints' idle timeout in microseconds, if the settings do not state it. */
    private static final long DEFAULT_IDLE_TIMEOUT_MICROS = 10_000_000;

    private final ConnectionIdAllocator connectionIds;
    private final UpstreamEndpoints endpoints;
    private final int maxConnections;
    private final int maxResponseBytes;
    private final int maxBufferedBytes;
    private final Map<Long, UpstreamConnection> byId = new LinkedHashMap<>();
    private final ConnectionsByAge connecting;
    private final IdleConnections idleConnections;
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    /** Total bytes of incomplete responses buffered on all connections. */
    private int bufferedBytes;

    UpstreamConnectionTable(
            PlatformSettings settings,
            ResourceLimits limits,
            ConnectionIdAllocator connectionIds,
            UpstreamEndpoints endpoints) {
        this.connectionIds = connectionIds;
        this.endpoints = endpoints;
        this.maxConnections = limits.maxUpstreamConnections();
        this.maxResponseBytes = limits.maxResponseBytes();
        this.maxBufferedBytes = limits.maxBufferedBytes();
        this.connecting = new ConnectionsByAge(settings.scheduling().connectTimeout());
        long idleTimeout =
                settings.upstreamIdleTimeout() > 0 ? settings.upstreamIdleTimeout() : DEFAULT_IDLE_TIMEOUT_MICROS;
        this.idleConnections = new IdleConnections((long) (IDLE_TIMEOUT_FRACTION * idleTimeout));
    }

    /**
     * Starts a turn, that is one call of {@link PlatformGateway#handle}: sets the current time and the list to which
     * actions are added.
     */
    void beginTurn(long time, List<NetAction> turnActions) {
        now = time;
        actions = turnActions;
    }

    boolean contains(long id) {
        return byId.containsKey(id);
    }

    UpstreamConnection get(long id) {
        return byId.get(id);
    }

    /** Number of connections, open or connecting. */
    int size() {
        return byId.size();
    }

    ConnectionsByAge connecting() {
        return connecting;
    }

    /**
     * The connections being established to the given endpoints; a copy, so that callers can remove them while
     * iterating.
     */
    List<UpstreamConnection> connectingTo(Set<String> endpointNames) {
        List<UpstreamConnection> matching = new ArrayList<>();
        for (UpstreamConnection connection : connecting.all()) {
            if (endpointNames.contains(connection.endpoint)) {
                matching.add(connection);
            }
        }
        return matching;
    }

    /**
     * Returns a connection to an endpoint: the one that has been idle longest, if it may be reused; otherwise one that
     * is being established and unassigned; otherwise a new one. The longer it was idle, the more time a late duplicate
     * of its last response had to arrive. Returns null if the endpoint is not listed, or if the connection limit is
     * reached and no connection is idle.
     */
    UpstreamConnection acquire(String endpointName) {
        UpstreamEndpoint endpoint = endpoints.get(endpointName);
        if (endpoint == null) {
            return null;
        }
        UpstreamConnection longestIdle = idleConnections.oldestOf(endpointName);
        if (longestIdle != null && now - longestIdle.lastTransitionAt() >= REUSE_DELAY_MICROS) {
            idleConnections.remove(longestIdle);
            return longestIdle;
        }
        for (UpstreamConnection connection : connecting.all()) {
            if (!connection.isAssigned() && connection.endpoint.equals(endpointName)) {
                return connection;
            }
        }
        return connect(endpointName, endpoint.address());
    }

    /**
     * Opens a connection. At the connection limit it first closes the one that has been idle longest; returns null if
     * none is idle.
     */
    private UpstreamConnection connect(String endpoint, String address) {
        if (byId.size() >= maxConnections) {
            UpstreamConnection evicted = idleConnections.oldest();
            if (evicted == null) {
                return null;
            }
            close(evicted);
        }
        UpstreamConnection connection =
                new UpstreamConnection(connectionIds.next(), endpoint, address, maxResponseBytes, now);
        byId.put(connection.id, connection);
        connecting.add(connection);
        actions.add(new NetAction.Connect(connection.id, address));
        return connection;
    }

    void opened(UpstreamConnection connection) {
        connection.opened();
        connecting.remove(connection);
    }

    /**
     * Parses received bytes. Returns null while the response is incomplete.
     *
     * @throws ProtocolException if the response is malformed, or too many bytes of incomplete responses are buffered
     */
    HttpResponse read(UpstreamConnection connection, ByteBuffer data) throws ProtocolException {
        HttpResponse response = connection.read(data);
        updateBufferedBytes(connection, connection.parserBufferedBytes());
        if (bufferedBytes > maxBufferedBytes) {
            throw new ProtocolException(
                    bufferedBytes + " bytes of incomplete responses buffered, limit " + maxBufferedBytes);
        }
        return response;
    }

    private void updateBufferedBytes(UpstreamConnection connection, int bytes) {
        bufferedBytes += bytes - connection.bufferedBytes();
        connection.setBufferedBytes(bytes);
    }

    /** Keeps a connection open for reuse, or closes it if its endpoint accepts no requests. */
    void keepIdle(UpstreamConnection connection) {
        connection.becameIdle(now);
        idleConnections.add(connection);
        if (!endpoints.acceptsRequests(connection.endpoint, connection.address)) {
            close(connection);
        }
    }

    void closeIdle(String endpoint) {
        UpstreamConnection connection = idleConnections.oldestOf(endpoint);
        while (connection != null) {
            close(connection);
            connection = idleConnections.oldestOf(endpoint);
        }
    }

    void closeExpiredIdle() {
        UpstreamConnection connection = idleConnections.expired(now);
        while (connection != null) {
            close(connection);
            connection = idleConnections.expired(now);
        }
    }

    /** Resets a connection; data in transit is discarded. */
    void abort(UpstreamConnection connection) {
        actions.add(new NetAction.Close(connection.id, true));
        remove(connection);
    }

    private void close(UpstreamConnection connection) {
        actions.add(new NetAction.Close(connection.id, false));
        remove(connection);
    }

    /** Removes a connection that was closed by either side. */
    void remove(UpstreamConnection connection) {
        updateBufferedBytes(connection, 0);
        byId.remove(connection.id);
        connecting.remove(connection);
        idleConnections.remove(connection);
    }

    /** The time at which the next connection reaches its connect timeout or idle timeout. */
    long nextDeadline() {
        return Math.min(connecting.nextDeadline(), idleConnections.nextDeadline());
    }
}
