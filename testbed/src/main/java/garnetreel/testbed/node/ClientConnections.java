package garnetreel.testbed.node;

import garnetreel.codec.node.NodeCodec;
import garnetreel.codec.node.NodeMessage;
import garnetreel.core.io.NetAction;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The client connections of a fake node; applies the faults that affect connections and written data. */
final class ClientConnections {
    /** The bit that {@link NodeFault.Kind#CORRUPT} flips in a byte. */
    private static final int CORRUPTED_BIT = 0x10;

    private final NodeSettings settings;
    private final Turn turn;
    private final ActiveFaults faults;
    private final SplittableRandom random;
    private final Consumer<ClientConnection> onClosed;
    private final Map<Long, ClientConnection> connections = new TreeMap<>();

    /** @param onClosed called for each connection that was closed by either side */
    ClientConnections(
            NodeSettings settings,
            Turn turn,
            ActiveFaults faults,
            SplittableRandom random,
            Consumer<ClientConnection> onClosed) {
        this.settings = settings;
        this.turn = turn;
        this.faults = faults;
        this.random = random;
        this.onClosed = onClosed;
    }

    /** The connection with an id; null if it is closed. */
    ClientConnection find(long connectionId) {
        return connections.get(connectionId);
    }

    boolean isOpen(ClientConnection connection) {
        return connections.containsKey(connection.connectionId);
    }

    void accepted(long connectionId, boolean collapsed) {
        boolean full = connections.size() >= settings.maxConnections();
        if (full || collapsed || faults.isActive(NodeFault.Kind.REFUSE)) {
            turn.add(new NetAction.Close(connectionId, true));
            return;
        }
        connections.put(connectionId, new ClientConnection(connectionId));
        if (faults.isActive(NodeFault.Kind.HALF_OPEN)) {
            turn.add(new NetAction.SetReadInterest(connectionId, false));
        }
    }

    void setReadInterest(boolean enabled) {
        connections
                .values()
                .forEach(connection -> turn.add(new NetAction.SetReadInterest(connection.connectionId, enabled)));
    }

    void closedByClient(long connectionId) {
        ClientConnection connection = connections.remove(connectionId);
        if (connection != null) {
            onClosed.accept(connection);
        }
    }

    void close(ClientConnection connection, boolean abort) {
        turn.add(new NetAction.Close(connection.connectionId, abort));
        connections.remove(connection.connectionId);
        onClosed.accept(connection);
    }

    void abortAll() {
        List.copyOf(connections.values()).forEach(connection -> close(connection, true));
    }

    void write(ClientConnection connection, NodeMessage message) {
        ByteBuffer frame = NodeCodec.frame(message);
        if (faults.affects(NodeFault.Kind.CORRUPT)) {
            int position = frame.position() + random.nextInt(frame.remaining());
            frame.put(position, (byte) (frame.get(position) ^ CORRUPTED_BIT));
        }
        long maxBytes = (long) faults.amount(NodeFault.Kind.CUT_AFTER);
        if (maxBytes > 0 && connection.bytesWritten + frame.remaining() > maxBytes) {
            frame.limit((int) (frame.position() + Math.max(0, maxBytes - connection.bytesWritten)));
            turn.add(new NetAction.Write(connection.connectionId, frame));
            close(connection, false);
            return;
        }
        connection.bytesWritten += frame.remaining();
        turn.add(new NetAction.Write(connection.connectionId, frame));
    }
}
