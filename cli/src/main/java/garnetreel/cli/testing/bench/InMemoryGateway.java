package garnetreel.cli.testing.bench;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.ending.ClosedConnections;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.core.request.BlockBackend;
import garnetreel.core.server.ByteBudget;
import garnetreel.core.server.NbdServer;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The NBD server over memory, without scheduler and nodes: the baseline for measurements of a gateway. */
final class InMemoryGateway implements StateMachine, BlockBackend {
    private static final BlockBackend.OperationHandle HANDLE = new BlockBackend.OperationHandle() {};

    private final GatewaySettings settings;
    private final ByteBudget budget;
    private final NbdServer server;
    private final Map<Long, byte[]> volumes = new HashMap<>();
    private boolean listening;
    private long now;

    InMemoryGateway(GatewaySettings settings) {
        this.settings = settings;
        this.budget = new ByteBudget(settings.bounds().gatewayBytes());
        this.server = new NbdServer(settings, this, budget, new ClosedConnections());
        settings.volumes().forEach(v -> volumes.put(v.id(), new byte[(int) v.size()]));
    }

    @Override
    public void handle(long currentTime, List<NetEvent> events, List<NetAction> actions) {
        now = currentTime;
        server.beginTurn(now, actions);
        if (!listening) {
            listening = true;
            actions.add(new NetAction.Listen(Gateway.NBD, settings.nbdAddress()));
        }
        for (NetEvent event : events) {
            if (event instanceof NetEvent.Received received && server.owns(received.connectionId())) {
                server.received(received.connectionId(), received.data());
            } else if (event instanceof NetEvent.Written written && server.owns(written.connectionId())) {
                server.written(written.connectionId(), written.bytes());
            } else if (event instanceof NetEvent.Accepted accepted) {
                server.accepted(accepted.connectionId(), accepted.peer());
            } else if (event instanceof NetEvent.Closed closed && server.owns(closed.connectionId())) {
                server.closed(closed);
            }
        }
        server.expire();
        budget.notifyWaiting();
    }

    @Override
    public long nextDeadline() {
        return listening ? server.nextDeadline() : now;
    }

    @Override
    public BlockBackend.OperationHandle submit(
            Volume volume,
            Op op,
            long offset,
            long length,
            byte[] data,
            boolean sync,
            long tag,
            BlockBackend.Callback callback) {
        byte[] memory = volumes.get(volume.id());
        if (op == Op.READ) {
            byte[] read = new byte[(int) length];
            System.arraycopy(memory, (int) offset, read, 0, read.length);
            callback.completed(new BlockBackend.Reply(ReplyStatus.SERVED, 0, -1, "", ByteBuffer.wrap(read), List.of()));
        } else {
            if (op == Op.WRITE) {
                System.arraycopy(data, 0, memory, (int) offset, data.length);
            }
            callback.completed(BlockBackend.Reply.done());
        }
        return HANDLE;
    }

    @Override
    public void abandon(BlockBackend.OperationHandle handle) {
        // Nothing to do: each operation completes within submit.
    }
}
