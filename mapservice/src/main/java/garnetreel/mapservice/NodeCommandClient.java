package garnetreel.mapservice;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.node.NodeCodec;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Hello;
import garnetreel.codec.node.NodeMessage.Welcome;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.io.NetAction;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The connections of the map service to nodes, one per node, and the commands in flight on them. */
final class NodeCommandClient {
    private static final long RECONNECT_DELAY = 200_000;
    /** Sent in place of a gateway number in the service's hello to a node. */
    private static final int NOT_A_GATEWAY = -1;
    /** Sequence numbers of commands have 11 bits for the epoch, 28 for a transaction, 24 for commands since then. */
    private static final int EPOCH_SHIFT = 52;

    private static final int COMMAND_BITS = 24;
    private static final long COMMAND_MASK = (1L << COMMAND_BITS) - 1;
    /** A new transaction is due when three quarters of the sequence numbers after the last one are used. */
    private static final long RENUMBER_AT = 3L << (COMMAND_BITS - 2);

    /** A node of the node list. */
    static final class Node {
        private final EndpointEntry entry;
        /** Id of the connection; 0 while not connected. */
        private long connectionId;

        private boolean ready;
        private long reconnectAt;
        private ByteQueue received = new ByteQueue();

        Node(EndpointEntry entry) {
            this.entry = entry;
        }

        /** Whether commands can be sent to the node. */
        boolean ready() {
            return ready;
        }

        EndpointEntry entry() {
            return entry;
        }

        int shard() {
            return entry.shard();
        }
    }

    private record InFlight(long connectionId, long deadline, Consumer<CommandReport> completion) {}

    private final TurnContext turn;
    private final ConnectionIdAllocator connectionIds;
    private final long incarnation;
    private final long timeout;
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<Long, Node> byConnection = new HashMap<>();
    private final TreeMap<Long, InFlight> inFlight = new TreeMap<>();
    private long lastSequence;

    NodeCommandClient(TurnContext turn, ConnectionIdAllocator connectionIds, long incarnation, long timeout) {
        this.turn = turn;
        this.connectionIds = connectionIds;
        this.incarnation = incarnation;
        this.timeout = timeout;
    }

    /**
     * Sets the prefix of the following commands' sequence numbers. These increase across all incarnations of the
     * service, so that nodes recognize a command of an earlier incarnation as outdated. At its start, and whenever its
     * sequence numbers run low, an incarnation writes a transaction whose number becomes the prefix. The epoch precedes
     * it, since a restore from a backup may set transaction numbers back.
     */
    void startNumbering(long epoch, long transaction) {
        lastSequence = epoch << EPOCH_SHIFT | transaction << COMMAND_BITS;
    }

    /** Whether the sequence numbers after the last transaction are running low. */
    boolean numbersRunLow() {
        return (lastSequence & COMMAND_MASK) > RENUMBER_AT;
    }

    /** Applies an update of the node list. */
    void update(EndpointUpdate update) {
        if (update.kind() == EndpointUpdateKind.UNAVAILABLE) {
            return;
        }
        if (update.kind() == EndpointUpdateKind.SNAPSHOT) {
            List<String> listed =
                    update.entries().stream().map(EndpointEntry::name).toList();
            List.copyOf(nodes.values()).stream()
                    .filter(node -> !listed.contains(node.entry.name()))
                    .forEach(this::remove);
        }
        for (EndpointEntry entry : update.entries()) {
            if (entry.state() != EndpointState.REMOVED) {
                addOrReplace(entry);
            } else if (nodes.containsKey(entry.name())) {
                remove(nodes.get(entry.name()));
            }
        }
    }

    /** Adds a node, or replaces its entry and keeps its connection. */
    private void addOrReplace(EndpointEntry entry) {
        Node node = new Node(entry);
        Node old = nodes.put(entry.name(), node);
        if (old != null) {
            node.connectionId = old.connectionId;
            node.ready = old.ready;
            node.received = old.received;
            byConnection.replace(node.connectionId, node);
        }
    }

    private void remove(Node node) {
        nodes.remove(node.entry.name());
        if (node.connectionId != 0) {
            turn.add(new NetAction.Close(node.connectionId, true));
            disconnected(node);
        }
    }

    boolean owns(long connectionId) {
        return byConnection.containsKey(connectionId);
    }

    /** All nodes of the node list, ordered by address. */
    Iterable<Node> nodes() {
        return nodes.values();
    }

    /** A node of the shard that can receive commands now, or null if there is none. */
    Node reachable(int shard) {
        for (Node node : nodes.values()) {
            if (node.shard() == shard && node.ready) {
                return node;
            }
        }
        return null;
    }

    /**
     * Sends a command.
     *
     * @param completion called exactly once, never within this call, with the report or with null if none arrives
     */
    void send(Node node, StepCommand command, Consumer<CommandReport> completion) {
        ControlCommand message = new ControlCommand(
                ++lastSequence,
                command.step(),
                command.volume(),
                command.extent(),
                command.extentBytes(),
                command.version(),
                command.maxBytes(),
                command.data());
        inFlight.put(message.seq(), new InFlight(node.connectionId, turn.now() + timeout, completion));
        turn.add(new NetAction.Write(node.connectionId, NodeCodec.frame(message)));
    }

    void connected(long connectionId) {
        turn.add(new NetAction.Write(connectionId, NodeCodec.frame(new Hello(NOT_A_GATEWAY, incarnation))));
    }

    void closed(long connectionId) {
        disconnected(byConnection.get(connectionId));
    }

    private void disconnected(Node node) {
        long connectionId = node.connectionId;
        byConnection.remove(connectionId);
        node.connectionId = 0;
        node.ready = false;
        node.received = new ByteQueue();
        node.reconnectAt = turn.now() + RECONNECT_DELAY;
        for (long seq : List.copyOf(inFlight.keySet())) {
            if (inFlight.get(seq).connectionId() == connectionId) {
                inFlight.remove(seq).completion().accept(null);
            }
        }
    }

    void received(long connectionId, ByteBuffer data) {
        Node node = byConnection.get(connectionId);
        node.received.add(data);
        try {
            NodeMessage message;
            while (node.connectionId == connectionId && (message = NodeCodec.next(node.received)) != null) {
                handle(node, message);
            }
        } catch (ProtocolException e) {
            turn.warn("node " + node.entry.name() + ": " + e.getMessage());
            turn.add(new NetAction.Close(connectionId, true));
            disconnected(node);
        }
    }

    private void handle(Node node, NodeMessage message) {
        if (message instanceof Welcome) {
            node.ready = true;
        } else if (message instanceof CommandReport report) {
            InFlight command = inFlight.remove(report.seq());
            if (command != null) {
                command.completion().accept(report);
            }
        }
    }

    /** Connects to listed nodes whose reconnect delay has passed, and fails commands whose report is overdue. */
    void expire() {
        for (Node node : nodes.values()) {
            if (node.connectionId == 0 && turn.now() >= node.reconnectAt) {
                node.connectionId = connectionIds.next();
                byConnection.put(node.connectionId, node);
                turn.add(new NetAction.Connect(node.connectionId, node.entry.name()));
            }
        }
        while (!inFlight.isEmpty() && inFlight.firstEntry().getValue().deadline() <= turn.now()) {
            inFlight.pollFirstEntry().getValue().completion().accept(null);
        }
    }

    long nextDeadline() {
        long next = inFlight.isEmpty()
                ? Long.MAX_VALUE
                : inFlight.firstEntry().getValue().deadline();
        for (Node node : nodes.values()) {
            if (node.connectionId == 0) {
                next = Math.min(next, node.reconnectAt);
            }
        }
        return next;
    }
}
