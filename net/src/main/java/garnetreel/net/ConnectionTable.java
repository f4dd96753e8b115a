package garnetreel.net;

import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.StreamConnection;

/**
 * The connections of one event loop, each until its socket is closed. Used on the I/O thread only, except for
 * {@link #size} and {@link #abortAll}.
 */
final class ConnectionTable implements SocketConnection.Listener {
    /**
     * Maximum number of connections that await their peer's end of stream; beyond it the one that has waited longest is
     * aborted.
     */
    private static final int MAX_LINGERING = 24;

    private final EventLoop loop;
    private final EventQueue events;
    private final ReceiveBudget budget;
    private final Map<Long, SocketConnection> connections = new ConcurrentHashMap<>();
    /** Connections with writes that were queued since the last flush. */
    private final Set<SocketConnection> unflushed = new LinkedHashSet<>();
    /** Connections in a graceful close. They would be reset if the process exited before they are closed. */
    private final Set<SocketConnection> closing = new LinkedHashSet<>();
    /** Connections in a graceful close that await their peer's end of stream, the longest wait first. */
    private final Set<SocketConnection> lingering = new LinkedHashSet<>();
    /** Connections on which the state machine has paused reading. */
    private final Set<Long> readPaused = new LinkedHashSet<>();

    ConnectionTable(EventLoop loop, EventQueue events, ReceiveBudget budget) {
        this.loop = loop;
        this.events = events;
        this.budget = budget;
    }

    /** Adds a connection; received bytes are delivered once it is started. */
    SocketConnection add(long id, StreamConnection stream) {
        SocketConnection connection = new SocketConnection(id, stream, events, budget, this);
        connections.put(id, connection);
        return connection;
    }

    int size() {
        return connections.size();
    }

    /** Whether no connection is in a graceful close. */
    boolean allClosesComplete() {
        return closing.isEmpty();
    }

    void write(NetAction.Write write) {
        SocketConnection connection = connections.get(write.connectionId());
        if (connection != null) {
            connection.write(write.data());
            unflushed.add(connection);
        }
    }

    /** Has no effect on a connection that the state machine has closed or that is not open yet. */
    void setReadInterest(NetAction.SetReadInterest interest) {
        SocketConnection connection = connections.get(interest.connectionId());
        if (connection == null || closing.contains(connection)) {
            return;
        }
        if (interest.enabled()) {
            readPaused.remove(interest.connectionId());
        } else {
            readPaused.add(interest.connectionId());
        }
        connection.setReadInterest(interest.enabled());
    }

    void close(NetAction.Close close) {
        SocketConnection connection = connections.get(close.connectionId());
        if (connection != null) {
            if (close.abort()) {
                unflushed.remove(connection);
            }
            if (connection.close(close.abort())) {
                closing.add(connection);
            }
        }
    }

    /** Removes a connection that is being closed from those with paused reading. */
    void clearReadPause(long id) {
        readPaused.remove(id);
    }

    /** Writes the bytes that the last turn queued. */
    void flush() {
        for (SocketConnection connection : unflushed) {
            int drained = connection.flush();
            if (drained > 0) {
                // Urgent only if the state machine has paused reading: it may wait for this event to resume.
                events.add(new NetEvent.Written(connection.id, drained), !readPaused.isEmpty());
            }
        }
        unflushed.clear();
    }

    /** Completes the events of a turn: chunks no longer count as unhandled, and closed connections are removed. */
    void completeEvents(List<NetEvent> handled) {
        for (NetEvent event : handled) {
            if (event instanceof NetEvent.Received received) {
                budget.release(received.data().capacity());
                SocketConnection connection = connections.get(received.connectionId());
                if (connection != null) {
                    connection.releaseReadCredit();
                }
            } else if (event instanceof NetEvent.Closed closed) {
                connections.remove(closed.connectionId());
                readPaused.remove(closed.connectionId());
            }
        }
    }

    @Override
    public void lingering(SocketConnection connection) {
        lingering.add(connection);
        if (lingering.size() > MAX_LINGERING) {
            lingering.iterator().next().abort();
        }
    }

    @Override
    public void closed(SocketConnection connection) {
        connections.remove(connection.id, connection);
        if (!loop.isClosed()) { // otherwise possibly on another thread, and the sets aren't thread-safe
            lingering.remove(connection);
            closing.remove(connection);
            loop.completeStopIfDrained();
        }
    }

    @Override
    public void runChannelListener(Runnable channelListener) {
        loop.runChannelListener(channelListener);
    }

    /** Closes all sockets immediately; on any thread, after the loop is closed. */
    void abortAll() {
        List.copyOf(connections.values()).forEach(connection -> connection.close(true));
    }
}
