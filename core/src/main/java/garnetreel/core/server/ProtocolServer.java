package garnetreel.core.server;

import garnetreel.core.GatewaySettings;
import garnetreel.core.ending.ClosedConnections;
import garnetreel.core.ending.ConnectionEnding;
import garnetreel.core.ending.DrainTimes;
import garnetreel.core.ending.EndingProgress;
import garnetreel.core.io.ConnectionHandler;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Base of the protocol servers of a gateway: connections and their limit, the handshake timeout, the byte budget and
 * graceful shutdown. The connections of all servers share one {@link ByteBudget}.
 *
 * @param <S> session of this protocol
 */
public abstract class ProtocolServer<S extends ProtocolServer.Session> implements ConnectionHandler {
    /** Rejected connections kept open until the client has been told why; further ones are closed at once. */
    private static final int MAX_REJECTED = 16;

    /** The session of a connection. */
    public abstract static class Session implements ByteBudget.CapacityListener {
        /** Id of the connection. */
        protected final long connectionId;
        /** Whether the connection exceeds the limit: the client only gets an error that says so. */
        protected final boolean rejected;
        /** The end of this connection. */
        protected final EndingProgress ending = new EndingProgress();

        final long handshakeDeadline;
        private final ProtocolServer<?> owner;
        private boolean closed;
        private long lastReceivedAt;

        /**
         * Creates a session in its handshake.
         *
         * @param rejected whether the connection exceeds the limit
         * @param handshakeDeadline when the connection is closed unless its handshake is complete
         */
        protected Session(ProtocolServer<?> owner, long connectionId, boolean rejected, long handshakeDeadline) {
            this.owner = owner;
            this.connectionId = connectionId;
            this.rejected = rejected;
            this.handshakeDeadline = handshakeDeadline;
            this.lastReceivedAt = owner.now;
        }

        /** Writes what the server sends first. */
        public abstract void greet();

        /** Called when bytes have been received. */
        protected abstract void received(ByteBuffer data);

        /** Called when this many written bytes have been sent. */
        public abstract void written(int bytes);

        /** Answers what the ending owes and can be answered now. Called when an ending begins. */
        protected abstract void endingBegan();

        /** Whether all that the ending owes has been answered, and all answers have been sent. */
        protected abstract boolean isSettled();

        /** Writes the last words to the client. Called right before the connection is closed, if its end owes answers. */
        protected abstract void writeLastWords();

        /** Whether replies have been written of which the client has taken no byte for a time in microseconds. */
        protected abstract boolean repliesUnreadFor(long micros);

        /** Fails what is in progress, as the time for the shutdown is over. */
        protected abstract void failRequestsInProgress();

        /** Number of requests that have been received and not answered. */
        protected abstract int unansweredRequests();

        /** Releases all resources, discards requests in progress. Called once the connection is closed. */
        protected abstract void release();

        /** Whether the connection has been closed. */
        protected final boolean isClosed() {
            return closed;
        }

        /** When bytes were last received; at first, when the connection was accepted. */
        protected final long lastReceivedAt() {
            return lastReceivedAt;
        }

        /** Begins the end of the connection. It is closed once it is settled, or at once if its end owes nothing. */
        protected final void end(ConnectionEnding cause) {
            if (closed || !ending.begin(cause, owner.now)) {
                return;
            }
            owner.endingSessions.add(this);
            if (!cause.owesAnswers()) {
                close();
                return;
            }
            endingBegan();
            closeIfSettled();
        }

        /** Closes the connection if its end has begun and all that it owes has been sent. */
        protected final void closeIfSettled() {
            if (!closed && ending.hasBegun() && isSettled()) {
                writeLastWords();
                close();
            }
        }

        /** Closes the connection when the time for the shutdown is over. */
        private void closeOverdue() {
            if (closed) {
                return;
            }
            if (repliesUnreadFor(DrainTimes.UNREAD_AT_SHUTDOWN_MICROS)) {
                end(ConnectionEnding.REPLIES_UNREAD);
                return;
            }
            failRequestsInProgress();
            writeLastWords();
            close();
        }

        private void close() {
            closed = true;
            owner.sessionClosed(this);
            release();
        }
    }

    /** Settings of the gateway. */
    protected final GatewaySettings settings;
    /** The byte budget of the gateway. */
    protected final ByteBudget byteBudget;

    private final ClosedConnections closedConnections;
    private final Map<Long, S> sessions = new TreeMap<>();
    /** Sessions that are about to end. */
    private final Set<Session> endingSessions = new LinkedHashSet<>();
    /** Sessions in their handshake, in the order they were accepted, which is the order of their deadlines. */
    private final Set<Session> handshaking = new LinkedHashSet<>();

    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private int rejectedSessions;
    private boolean draining;

    /**
     * Creates a server without connections.
     *
     * @param closedConnections counts the connections that end
     */
    protected ProtocolServer(GatewaySettings settings, ByteBudget byteBudget, ClosedConnections closedConnections) {
        this.settings = settings;
        this.byteBudget = byteBudget;
        this.closedConnections = closedConnections;
    }

    /**
     * Creates the session of a connection.
     *
     * @param rejected whether the connection exceeds the limit, which the session has to report to the client
     * @param handshakeDeadline when the connection is closed unless its handshake is complete
     */
    protected abstract S open(long connectionId, boolean rejected, long handshakeDeadline);

    /** Begins a turn at this time, whose actions are added to {@code turnActions}. */
    public void beginTurn(long time, List<NetAction> turnActions) {
        now = time;
        actions = turnActions;
    }

    /** Time of this turn. */
    protected long now() {
        return now;
    }

    /** Adds an action to this turn. */
    public final void emit(NetAction action) {
        actions.add(action);
    }

    /** Whether the gateway is shutting down. */
    public final boolean shuttingDown() {
        return draining;
    }

    @Override
    public final boolean owns(long connectionId) {
        return sessions.containsKey(connectionId);
    }

    /** Connections of clients, rejected ones included. */
    public final int connections() {
        return sessions.size();
    }

    /** All sessions in the order of their ids; a copy, so that sessions may end during the iteration. */
    protected final Iterable<S> sessions() {
        return List.copyOf(sessions.values());
    }

    /** A client has connected. */
    public final void accepted(long connectionId, String peer) {
        int maxConnections = settings.bounds().connections();
        boolean rejected = sessions.size() - rejectedSessions >= maxConnections;
        if (rejected && rejectedSessions >= MAX_REJECTED) {
            closedConnections.count(ConnectionEnding.EVICTED, 0);
            emit(new NetAction.Close(connectionId, true));
            return;
        }
        if (rejected) {
            rejectedSessions++;
            emit(new NetAction.Log(
                    NetAction.Level.WARN,
                    "connection limit of " + maxConnections + " reached; client " + peer + " is rejected"));
        }
        S session = open(connectionId, rejected, now + settings.bounds().handshakeTimeout());
        sessions.put(connectionId, session);
        handshaking.add(session);
        session.greet();
        if (draining) {
            session.end(ConnectionEnding.SHUTDOWN);
        }
    }

    @Override
    public final void connected(long connectionId) {
        // The server opens no connections itself.
    }

    @Override
    public final void received(long connectionId, ByteBuffer data) {
        S session = sessions.get(connectionId);
        ((Session) session).lastReceivedAt = now;
        session.received(data);
    }

    @Override
    public final void written(long connectionId, int bytes) {
        sessions.get(connectionId).written(bytes);
    }

    @Override
    public final void closed(NetEvent.Closed event) {
        sessions.get(event.connectionId()).end(ConnectionEnding.PEER_GONE);
    }

    /** Called when a session's handshake is complete. */
    public final void handshakeCompleted(S session) {
        handshaking.remove(session);
    }

    private void sessionClosed(Session session) {
        sessions.remove(session.connectionId);
        endingSessions.remove(session);
        handshaking.remove(session);
        byteBudget.removeListener(session);
        if (session.rejected) {
            rejectedSessions--;
        }
        ConnectionEnding cause = session.ending.cause();
        closedConnections.count(cause, session.unansweredRequests());
        if (cause != ConnectionEnding.PEER_GONE) {
            emit(new NetAction.Close(session.connectionId, cause.resetsConnection()));
        }
    }

    /** Begins the shutdown: requests are refused from now on, and each connection is closed once it is settled. */
    public final void shutDown() {
        draining = true;
        sessions().forEach(session -> session.end(ConnectionEnding.SHUTDOWN));
    }

    /** Ends the shutdown: answers at once what is still owed, and closes all connections. */
    public final void finishShutdown() {
        List.copyOf(endingSessions).forEach(Session::closeOverdue);
    }

    /** When {@link #expire} must be called next; {@link Long#MAX_VALUE} for never. */
    public long nextDeadline() {
        long next =
                handshaking.isEmpty() ? Long.MAX_VALUE : handshaking.iterator().next().handshakeDeadline;
        for (Session session : endingSessions) {
            next = Math.min(next, session.ending.nextDeadline(now, session.lastReceivedAt));
        }
        return next;
    }

    /**
     * Ends connections whose handshake takes too long, as they count against the connection limit without being used,
     * and closes those whose end is settled.
     */
    public void expire() {
        while (!handshaking.isEmpty() && now >= handshaking.iterator().next().handshakeDeadline) {
            Session late = handshaking.iterator().next();
            handshaking.remove(late);
            late.end(ConnectionEnding.IDLE);
        }
        List.copyOf(endingSessions).forEach(Session::closeIfSettled);
    }
}
