package garnetreel.emulator;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** One end of a simulated connection. */
final class ConnectionEnd {
    final SimulatedProcess process;
    final long connectionId;
    /** The other end; at the connecting end null until the process is notified that the connection is open. */
    ConnectionEnd peer;

    boolean reading = true;
    boolean closed;
    /** The peer's close has arrived; it is delivered after the unread bytes. */
    boolean closeArrived;

    /** Reason of the close that has arrived. */
    String closeReason;
    /** Arrival time of the last write or close sent to this end. */
    long lastArrival;
    /** Arrived writes that the process has not read. */
    final ArrayDeque<ByteBuffer> unread = new ArrayDeque<>();

    ConnectionEnd(SimulatedProcess process, long connectionId) {
        this.process = process;
        this.connectionId = connectionId;
    }
}
