package garnetreel.mapservice;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.VolumeMap;
import garnetreel.codec.node.NodeCodec;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Welcome;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.io.NetAction;
import garnetreel.map.MapState;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** One volume of 20 extents on shards 0 and 1, a clock and a journal that tests control, and two nodes. */
final class ServiceFixture {
    static final long VOLUME = 7;
    static final int EXTENT_BYTES = 4096;
    static final long COMMAND_TIMEOUT = 2_000_000;
    static final Snapshot INITIAL =
            new Snapshot(1, 1, List.of(new VolumeMap(VOLUME, 20, EXTENT_BYTES, List.of(0, 1), List.of())));

    final TurnContext turn = new TurnContext();
    final MapState state = new MapState(INITIAL);
    final RollbackDetector rollbacks = new RollbackDetector(turn, state);
    final NodeCommandClient nodes = new NodeCommandClient(turn, new ConnectionIdAllocator(), 1, COMMAND_TIMEOUT);
    private List<NetAction> actions = new ArrayList<>();

    ServiceFixture() {
        beginTurnAt(0);
    }

    /** Begins a turn at the given time. */
    void beginTurnAt(long time) {
        turn.beginTurn(time, actions);
    }

    /** Takes all actions since the last call. */
    List<NetAction> actions() {
        List<NetAction> taken = actions;
        actions = new ArrayList<>();
        turn.beginTurn(turn.now(), actions);
        return taken;
    }

    /** Takes all actions since the last call and returns those of one kind. */
    <T extends NetAction> List<T> actions(Class<T> kind) {
        return actions().stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Takes all actions since the last call and returns the logged texts. */
    List<String> logged() {
        return actions(NetAction.Log.class).stream().map(NetAction.Log::text).toList();
    }

    /** Writes all pending transactions of the log and makes them durable. */
    void commitAll(TransactionLog log) {
        for (long seq = -1; seq != state.seq(); ) {
            seq = state.seq();
            log.write();
            log.appended(seq + 1);
        }
    }

    /** Messages to gateways and operators among the actions, each with its connection. */
    static List<Sent<MapMessage>> toClients(List<NetAction> taken) {
        return sent(taken, 1, MapCodec::next);
    }

    /** Commands to nodes among the actions, each with its connection: that of the node of shard n is -1 - n. */
    static List<Sent<NodeMessage>> toNodes(List<NetAction> taken) {
        return sent(taken, -1, NodeCodec::next);
    }

    record Sent<T>(long connectionId, T message) {}

    private interface Decoder<T> {
        T next(ByteQueue in) throws ProtocolException;
    }

    private static <T> List<Sent<T>> sent(List<NetAction> taken, int sign, Decoder<T> decoder) {
        List<Sent<T>> sent = new ArrayList<>();
        for (NetAction action : taken) {
            if (action instanceof NetAction.Write write && Long.signum(write.connectionId()) == sign) {
                ByteQueue in = new ByteQueue();
                in.add(write.data().duplicate());
                try {
                    sent.add(new Sent<>(write.connectionId(), decoder.next(in)));
                } catch (ProtocolException e) {
                    throw new AssertionError(e);
                }
                assertEquals(0, in.size(), "each write holds one message");
            }
        }
        return sent;
    }

    /** Lists and connects the nodes of shards 0 and 1, on connections -1 and -2. */
    void connectNodes() {
        nodes.update(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, List.of(entry(0), entry(1))));
        nodes.expire();
        for (int shard = 0; shard < 2; shard++) {
            nodes.connected(connection(shard));
            nodes.received(connection(shard), NodeCodec.frame(new Welcome(1, 0)));
        }
        actions();
    }

    static long connection(int shard) {
        return -1 - shard;
    }

    static EndpointEntry entry(int shard) {
        return new EndpointEntry("node-" + shard, "zone", shard, EndpointState.UP, 1, 0);
    }

    /** Delivers a node's report on a command that was sent. */
    void report(Sent<NodeMessage> command, boolean ok, boolean more, long known, ByteBuffer data) {
        ControlCommand controlCommand = (ControlCommand) command.message();
        nodes.received(
                command.connectionId(),
                NodeCodec.frame(new CommandReport(controlCommand.seq(), ok, more, 1, known, data.duplicate())));
    }
}
