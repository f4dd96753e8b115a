package garnetreel.core.io;

import java.nio.ByteBuffer;

/** Owns a set of connections and handles their events. The owner of a connection never changes. */
public interface ConnectionHandler {
    /** Whether this handler owns a connection. The other methods are called only for owned connections. */
    boolean owns(long connectionId);

    /** A connection that this handler opened is established. Not called for accepted connections. */
    default void connected(long connectionId) {}

    /** Bytes arrived; the handler owns the buffer. */
    void received(long connectionId, ByteBuffer data);

    /** This number of written bytes has left, see {@link NetEvent.Written}. */
    default void written(long connectionId, int bytes) {}

    /** The connection has ended or could not be opened; this is its last event. */
    void closed(NetEvent.Closed event);
}
