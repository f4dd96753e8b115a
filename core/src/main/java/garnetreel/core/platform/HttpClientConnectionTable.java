package garnetreel.core.platform;

import garnetreel.core.ending.DrainTimes;
import garnetreel.core.platform.HttpClientConnection.State;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Client connections by id and by state. Defines the time limit of each state and selects the connection to evict. */
final class HttpClientConnectionTable {
    /**
     * Time limit for receiving a complete request, in microseconds. The platform requires an incomplete request to be
     * ended within 3 s.
     */
    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
    /** Idle timeout in microseconds while there are more connections than half of their limit. */
    private static final long IDLE_TIMEOUT_UNDER_LOAD_MICROS = 2_000_000;
    /** Idle timeout in microseconds otherwise. */
    private static final long IDLE_TIMEOUT_MICROS = 60_000_000;
    /**
     * How long a new connection is protected from eviction, in microseconds. Its request may still be in the socket
     * buffer, because a connection accepted in one iteration of the event loop is read in the next. Meanwhile
     * {@link ResourceLimits#maxAccepted} limits the number of connections.
     */
    private static final long EVICTION_GRACE_MICROS = 20_000;
    /** No time limit; half of the range of a long, so that adding a time to it does not overflow. */
    private static final long NO_TIMEOUT = Long.MAX_VALUE / 2;

    private static final State[] STATES = State.values();

    private final int maxConnections;
    private final Map<Long, HttpClientConnection> byId = new HashMap<>();
    /** By state, ordered by the time from which the time limit counts. */
    private final Map<State, TreeSet<HttpClientConnection>> byState = new EnumMap<>(State.class);

    private boolean draining;
    /** Whether the connections are no longer read, so that partial requests are never completed. */
    private boolean readingStopped;

    HttpClientConnectionTable(int maxConnections) {
        this.maxConnections = maxConnections;
        for (State state : STATES) {
            byState.put(
                    state,
                    new TreeSet<>(Comparator.<HttpClientConnection>comparingLong(HttpClientConnection::stateSince)
                            .thenComparingLong(c -> c.id)));
        }
    }

    int size() {
        return byId.size();
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    boolean contains(long id) {
        return byId.containsKey(id);
    }

    /** The connection with an id; null if there is none. */
    HttpClientConnection get(long id) {
        return byId.get(id);
    }

    void add(HttpClientConnection connection, long now) {
        byId.put(connection.id, connection);
        move(connection, State.AWAITING_REQUEST, now);
    }

    void remove(HttpClientConnection connection) {
        byId.remove(connection.id);
        byState.get(connection.state()).remove(connection);
    }

    /** Changes a connection's state; the time limit of the new state counts from {@code since}. */
    void move(HttpClientConnection connection, State to, long since) {
        byState.get(connection.state()).remove(connection);
        connection.setState(to, since);
        byState.get(to).add(connection);
    }

    /** The connection that has been in a state for longest; null if there is none. */
    HttpClientConnection oldest(State state) {
        TreeSet<HttpClientConnection> connections = byState.get(state);
        return connections.isEmpty() ? null : connections.first();
    }

    /** A copy of all connections in a state, oldest first. */
    List<HttpClientConnection> allIn(State state) {
        return List.copyOf(byState.get(state));
    }

    // ---------------------------------------------------------------- eviction

    boolean overLimit() {
        return byId.size() > maxConnections;
    }

    /**
     * The connection to close next when there are too many: preferably one on which nothing was received, else an idle
     * one, else one with a partial request. Null if only connections with pending responses are left, or if none is
     * idle and a new connection can be evicted after its grace time.
     */
    HttpClientConnection evictionCandidate(long now) {
        HttpClientConnection awaiting = oldest(State.AWAITING_REQUEST);
        if (awaiting != null && now - awaiting.stateSince() >= EVICTION_GRACE_MICROS) {
            return awaiting;
        }
        HttpClientConnection idle = oldest(State.IDLE);
        if (idle != null) {
            return idle;
        }
        // A new connection can be evicted shortly and is preferred to one with a partial request.
        return awaiting != null ? null : oldest(State.READING_REQUEST);
    }

    // ---------------------------------------------------------------- time limits

    /** Applies the shorter time limits from now on, which leave clients a short time to complete their requests. */
    void startDraining() {
        draining = true;
    }

    /** The connections are no longer read. */
    void stopReading() {
        readingStopped = true;
    }

    boolean draining() {
        return draining;
    }

    /** The oldest connection in a state if it has exceeded the time limit of the state, else null. */
    HttpClientConnection oldestExpired(State state, long now) {
        HttpClientConnection oldest = oldest(state);
        return oldest != null && now - oldest.stateSince() >= timeLimit(state) ? oldest : null;
    }

    private long timeLimit(State state) {
        return switch (state) {
            case AWAITING_REQUEST -> draining ? DrainTimes.SILENCE_MICROS : REQUEST_TIMEOUT_MICROS;
            case READING_REQUEST -> partialRequestTimeLimit();
            case IDLE -> byId.size() > maxConnections / 2 ? IDLE_TIMEOUT_UNDER_LOAD_MICROS : IDLE_TIMEOUT_MICROS;
            case WRITING_RESPONSE, CLOSING -> DrainTimes.UNREAD_REPLIES_MICROS;
            case PROCESSING -> NO_TIMEOUT;
        };
    }

    private long partialRequestTimeLimit() {
        if (!draining) {
            return REQUEST_TIMEOUT_MICROS;
        }
        return readingStopped ? 0 : DrainTimes.REST_OF_REQUEST_MICROS;
    }

    /** When the next eviction or time limit is due. */
    long nextDeadline() {
        HttpClientConnection awaiting = oldest(State.AWAITING_REQUEST);
        long next = overLimit() && awaiting != null ? awaiting.stateSince() + EVICTION_GRACE_MICROS : Long.MAX_VALUE;
        for (State state : STATES) {
            HttpClientConnection oldest = oldest(state);
            if (oldest != null) {
                next = Math.min(next, oldest.stateSince() + timeLimit(state));
            }
        }
        return next;
    }
}
