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
 * What the protocol servers of a gateway share: the table of connections and its bound, the time for a handshake, the
 * byte budget, and graceful shutdown. All connections of all servers draw on one {@link ByteBudget}.
 *
 * @param <S> a connection of this protocol
 */
public abstract class ProtocolServer<S extends ProtocolServer.Session> implements ConnectionHandler {
    /** Rejected connections that may stand until they have read why; the ones beyond are closed at once. */
    private static final int MAX_REJECTED = 16;

    /** One connection. */
    public abstract static class Session implements ByteBudget.CapacityListener {
        /** Id of the connection. */
        protected final long conn;
        /** It is past the table's bound: the peer only learns that. */
        protected final boolean rejected;

        final long handshakeDeadline;

        /**
         * A session in its handshake.
         *
         * @param rejected it is past the table's bound
         * @param handshakeDeadline when it is closed unless its handshake is over
         */
        protected Session(long conn, boolean rejected, long handshakeDeadline) {
            this.conn = conn;
            this.rejected = rejected;
            this.handshakeDeadline = handshakeDeadline;
        }

        /** Writes what the server sends first. */
        public abstract void greet();

        /** Bytes came. */
        public abstract void received(ByteBuffer data);

        /** So many bytes of what was written have left. */
        public abstract void drained(int bytes);

        /** The peer is gone: nothing is owed any more. */
        public abstract void disconnected();

        /** Accepts no further request, and ends once the last reply is written. */
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
    private int rejected;
    private boolean draining;

    /** A server without connections. */
    protected ProtocolServer(GatewaySettings settings, ByteBudget byteBudget) {
        this.settings = settings;
        this.byteBudget = byteBudget;
    }

    /**
     * A session for a connection.
     *
     * @param full the table is full, and the peer is to learn that
     * @param handshakeDeadline when it is closed unless its handshake is over
     */
    protected abstract S open(long conn, boolean full, long handshakeDeadline);

    /** Begins a turn: its time, and where its actions go. */
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
    public final boolean draining() {
        return draining;
    }

    @Override
    public final boolean owns(long conn) {
        return sessions.containsKey(conn);
    }

    /** Connections of clients, rejected ones included. */
    public final int connections() {
        return sessions.size();
    }

    /** All sessions by id, as a copy, so that they may end meanwhile. */
    protected final Iterable<S> sessions() {
        return List.copyOf(sessions.values());
    }

    /** A client has connected. */
    public final void accepted(long conn, String peer) {
        int maxConnections = settings.bounds().connections();
        boolean full = sessions.size() - rejected >= maxConnections;
        if (draining || full && rejected >= MAX_REJECTED) {
            emit(new NetAction.Close(conn, true));
            return;
        }
        if (full) {
            rejected++;
            emit(new NetAction.Log(
                    NetAction.Level.WARN, "connection table full at " + maxConnections + "; " + peer + " is rejected"));
        }
        S session = open(conn, full, now + settings.bounds().handshakeTimeout());
        sessions.put(conn, session);
        handshaking.add(session);
        session.greet();
    }

    @Override
    public final void connected(long conn) {
        // Clients open their connections themselves: none is ever opened here.
    }

    @Override
    public final void received(long conn, ByteBuffer data) {
        sessions.get(conn).received(data);
    }

    @Override
    public final void drained(long conn, int bytes) {
        sessions.get(conn).drained(bytes);
    }

    @Override
    public final void closed(NetEvent.Closed event) {
        sessions.get(event.connectionId()).disconnected();
    }

    /** A session's handshake is over. */
    public final void handshakeCompleted(S session) {
        handshaking.remove(session);
    }

    /** A session has ended, by either side. */
    public final void ended(S session) {
        sessions.remove(session.conn);
        handshaking.remove(session);
        byteBudget.removeListener(session);
        if (session.rejected) {
            rejected--;
        }
    }

    /** Begins the shutdown: no new connections or requests; connections close as their last reply leaves. */
    public final void drain() {
        draining = true;
        sessions().forEach(Session::closeGracefully);
    }

    /** When something here is due; {@link Long#MAX_VALUE} for nothing. */
    public long nextDeadline() {
        return handshaking.isEmpty() ? Long.MAX_VALUE : handshaking.iterator().next().handshakeDeadline;
    }

    /** Closes connections whose handshake takes too long, as they fill the table for nothing. */
    public void expire() {
        while (!handshaking.isEmpty() && now >= handshaking.iterator().next().handshakeDeadline) {
            handshaking.iterator().next().end(true);
        }
    }
}
