package garnetreel.core.io;

import java.nio.ByteBuffer;

/** An input to a {@link StateMachine}. Accepted connections have positive ids, those that it opened negative ones. */
public sealed interface NetEvent {

    /** A listener is bound; the address contains the actual port. */
    record Listening(String listener, String address) implements NetEvent {}

    /** A listener could not be bound. */
    record ListenFailed(String listener, String reason) implements NetEvent {}

    /** A peer connected to a listener. */
    record Accepted(long connectionId, String listener, String peer) implements NetEvent {}

    /** A connection that the state machine opened is established. */
    record Connected(long connectionId) implements NetEvent {}

    /** Bytes arrived; the state machine owns the buffer. */
    record Received(long connectionId, ByteBuffer data) implements NetEvent {}

    /** This number of bytes was written to the socket, or discarded as the connection was closed. */
    record Written(long connectionId, int bytes) implements NetEvent {}

    /**
     * A connection has ended or could not be opened; this is its last event. Not reported for connections that the
     * state machine closed itself.
     *
     * @param opened whether it was ever established; if not, nothing written to it was sent
     * @param orderly whether the peer shut down its sending side, so that all it wrote has arrived; false for a reset
     * @param localFailure whether it could not be opened because this host lacks a resource, such as a descriptor, a
     *     port or a route, which says nothing about the peer
     */
    record Closed(long connectionId, boolean opened, boolean endOfStream, boolean localFailure, String reason)
            implements NetEvent {
        /** The end of a connection that was never established, or that was reset. */
        public Closed(long connectionId, boolean opened, String reason) {
            this(connectionId, opened, false, false, reason);
        }

        /** The end of a connection without a local failure. */
        public Closed(long connectionId, boolean opened, boolean endOfStream, String reason) {
            this(connectionId, opened, endOfStream, false, reason);
        }
    }

    /** A record of a {@link NetAction.Append} is durable. */
    record Appended(long sequence) implements NetEvent {}

    /** A command from the owner of the state machine. */
    record CommandReceived(Command command) implements NetEvent {}

    /** A command; each type of state machine defines its own. */
    interface Command {}
}
