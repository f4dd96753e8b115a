package garnetreel.core.io;

import java.nio.ByteBuffer;

/** An action that a {@link StateMachine} requests from its driver. Actions are executed in order. */
public sealed interface NetAction {

    /**
     * Binds a listener; answered by {@link NetEvent.Listening} or {@link NetEvent.ListenFailed}.
     *
     * @param maxConnections maximum number of open connections of this listener, including those being closed; further
     *     ones are not accepted until one has ended. 0 for no limit
     */
    record Listen(String listener, String address, int maxConnections) implements NetAction {
        /** A listener without a limit on its connections. */
        public Listen(String listener, String address) {
            this(listener, address, 0);
        }
    }

    /** Closes a listener. Connections already waiting are still reported, and open ones stay open. */
    record StopListening(String listener) implements NetAction {}

    /** Opens a connection under a negative id that the state machine has never used before. */
    record Connect(long connectionId, String address) implements NetAction {}

    /** Writes bytes and takes over the buffer; {@link NetEvent.Written} reports when the bytes have left. */
    record Write(long connectionId, ByteBuffer data) implements NetAction {}

    /** Starts or stops reading. While stopped, TCP flow control eventually blocks the peer's writes. */
    record SetReadInterest(long connectionId, boolean enabled) implements NetAction {}

    /**
     * Closes a connection: with {@code abort} at once, otherwise gracefully. A graceful close sends the bytes already
     * written and reports them as written, shuts down the sending side, and then reads and discards data until the peer
     * closes or a time limit is reached: closing a socket with unread data resets the connection, and the peer may lose
     * the last reply. A further Close with {@code abort} ends a graceful close early.
     */
    record Close(long connectionId, boolean abort) implements NetAction {}

    /** Stores data under a name, replacing earlier data; it survives a crash or kill of the process. */
    record Persist(String name, byte[] data) implements NetAction {
        /** Stores a copy of the buffer's remaining bytes. */
        public Persist(String name, ByteBuffer frame) {
            this(name, copyOf(frame));
        }

        private static byte[] copyOf(ByteBuffer frame) {
            byte[] bytes = new byte[frame.remaining()];
            frame.get(bytes);
            return bytes;
        }
    }

    /** Appends a record to the journal; {@link NetEvent.Appended} reports, in order, when it is durable. */
    record Append(long sequence, byte[] data) implements NetAction {}

    /**
     * Atomically replaces the journal up to a record by a snapshot, so that a restart reads the snapshot and the later
     * records. The last {@code retainedRecords} of the replaced records are retained as history.
     */
    record Snapshot(long sequence, byte[] data, int retainedRecords) implements NetAction {}

    /** Writes a line to the log. */
    record Log(Level level, String text) implements NetAction {}

    /** The state machine has stopped as commanded. The driver stops once all graceful closes are complete. */
    record Stopped() implements NetAction {}

    /** Severity of a {@link Log}. */
    enum Level {
        /** Details for the diagnosis of a single connection. */
        DEBUG,
        /** Notable events of normal operation. */
        INFO,
        /** Problems that an operator should look into. */
        WARN
    }
}
