package garnetreel.core.io;

/**
 * Dispatches each connection event to the handler that owns the connection. Events of connections without an owner are
 * dropped: they were queued before the gateway closed the connection.
 */
public final class ConnectionDispatcher {
    /** In the order in which they are queried. */
    private final ConnectionHandler[] handlers;

    /**
     * @param handlers in the order in which they are queried; for speed, the one with the most events should come first
     */
    public ConnectionDispatcher(ConnectionHandler... handlers) {
        this.handlers = handlers.clone();
    }

    /** Dispatches a connection event; other events are ignored. */
    public void dispatch(NetEvent event) {
        if (event instanceof NetEvent.Received received) {
            ConnectionHandler handler = ownerOf(received.connectionId());
            if (handler != null) {
                handler.received(received.connectionId(), received.data());
            }
        } else if (event instanceof NetEvent.Written drained) {
            ConnectionHandler handler = ownerOf(drained.connectionId());
            if (handler != null) {
                handler.written(drained.connectionId(), drained.bytes());
            }
        } else if (event instanceof NetEvent.Connected connected) {
            ConnectionHandler handler = ownerOf(connected.connectionId());
            if (handler != null) {
                handler.connected(connected.connectionId());
            }
        } else if (event instanceof NetEvent.Closed closed) {
            ConnectionHandler handler = ownerOf(closed.connectionId());
            if (handler != null) {
                handler.closed(closed);
            }
        }
    }

    private ConnectionHandler ownerOf(long connectionId) {
        for (ConnectionHandler handler : handlers) {
            if (handler.owns(connectionId)) {
                return handler;
            }
        }
        return null;
    }
}
