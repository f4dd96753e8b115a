package garnetreel.core.server;

import garnetreel.core.GatewaySettings;
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

        final long handshakeDeadline;

        /**
         * Creates a session in its handshake.
         *
         * @param rejected whether the connection exceeds the limit
         * @param handshakeDeadline when the connection is closed unless its handshake is complete
         */
        protected Session(long connectionId, boolean rejected, long handshakeDeadline) {
            this.connectionId = connectionId;
            this.rejected = rejected;
            this.handshakeDeadline = handshakeDeadline;
        }

        /** Writes what the server sends first. */
        public abstract void greet();

        /** Called when bytes have been received. */
        public abstract void received(ByteBuffer data);

        /** Called when this many written bytes have been sent. */
        public abstract void written(int bytes);

        /** Called when the connection has ended; discards all requests and pending replies. */
        public abstract void disconnected();

        /** Accepts no further requests, and ends once the last reply is written. */
        public abstract void closeGracefully();

        /** Ends the connection from this side. */
        public abstract void end(boolean abort);
    }

    /** Settings of the gateway. */
    protected final GatewaySettings settings;
    /** The byte budget of the gateway. */
    protected final ByteBudget byteBudget;

    private final Map<Long, S> sessions = new TreeMap<>();
    /** Sessions in their handshake, in the order they were accepted, which is the order of their deadlines. */
    private final Set<S> handshaking = new LinkedHashSet<>();

    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private int rejectedSessions;
    private boolean draining;

    /** Creates a server without connections. */
    protected ProtocolServer(GatewaySettings settings, ByteBudget byteBudget) {
        this.settings = settings;
        this.byteBudget = byteBudget;
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
        if (draining || rejected && rejectedSessions >= MAX_REJECTED) {
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
    }

    @Override
    public final void connected(long connectionId) {
        // The server opens no connections itself.
    }

    @Override
    public final void received(long connectionId, ByteBuffer data) {
        sessions.get(connectionId).received(data);
    }

    @Override
    public final void written(long connectionId, int bytes) {
        sessions.get(connectionId).written(bytes);
    }

    @Override
    public final void closed(NetEvent.Closed event) {
        sessions.get(event.connectionId()).disconnected();
    }

    /** Called when a session's handshake is complete. */
    public final void handshakeCompleted(S session) {
        handshaking.remove(session);
    }

    /** Called when a session has ended, by either side. */
    public final void sessionEnded(S session) {
        sessions.remove(session.connectionId);
        handshaking.remove(session);
        byteBudget.removeListener(session);
        if (session.rejected) {
            rejectedSessions--;
        }
    }

    /** Begins the shutdown: rejects new connections and requests, and closes each connection after its last reply. */
    public final void shutDown() {
        draining = true;
        sessions().forEach(Session::closeGracefully);
    }

    /** Time of the next handshake deadline; {@link Long#MAX_VALUE} if there is none. */
    public long nextDeadline() {
        return handshaking.isEmpty() ? Long.MAX_VALUE : handshaking.iterator().next().handshakeDeadline;
    }

    /**
     * Closes connections whose handshake takes too long, as they count against the connection limit without being used.
     */
    public void expire() {
        while (!handshaking.isEmpty() && now >= handshaking.iterator().next().handshakeDeadline) {
            handshaking.iterator().next().end(true);
        }
    }
}
