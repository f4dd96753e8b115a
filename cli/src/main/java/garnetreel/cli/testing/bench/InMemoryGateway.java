package garnetreel.cli.testing.bench;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
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

/** The NBD front over plain memory, with no module and no node: what a head is measured against. */
final class InMemoryGateway implements StateMachine, BlockBackend {
    private static final BlockBackend.OperationHandle TICKET = new BlockBackend.OperationHandle() {};

    private final GatewaySettings settings;
    private final ByteBudget room;
    private final NbdServer front;
    private final Map<Long, byte[]> volumes = new HashMap<>();
    private boolean begun;
    private long now;

    InMemoryGateway(GatewaySettings settings) {
        this.settings = settings;
        this.room = new ByteBudget(settings.bounds().gatewayBytes());
        this.front = new NbdServer(settings, this, room);
        settings.volumes().forEach(v -> volumes.put(v.id(), new byte[(int) v.size()]));
    }

    @Override
    public void handle(long time, List<NetEvent> events, List<NetAction> actions) {
        now = time;
        front.beginTurn(now, actions);
        if (!begun) {
            begun = true;
            actions.add(new NetAction.Listen(Gateway.NBD, settings.nbdAddress()));
        }
        for (NetEvent event : events) {
            if (event instanceof NetEvent.Received got && front.owns(got.connectionId())) {
                front.received(got.connectionId(), got.data());
            } else if (event instanceof NetEvent.Drained drained && front.owns(drained.connectionId())) {
                front.drained(drained.connectionId(), drained.bytes());
            } else if (event instanceof NetEvent.Accepted accepted) {
                front.accepted(accepted.connectionId(), accepted.peer());
            } else if (event instanceof NetEvent.Closed closed && front.owns(closed.connectionId())) {
                front.closed(closed);
            }
        }
        front.expire();
        room.notifyWaiting();
    }

    @Override
    public long nextDeadline() {
        return begun ? front.nextDeadline() : now;
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
            BlockBackend.Callback caller) {
        byte[] memory = volumes.get(volume.id());
        if (op == Op.READ) {
            byte[] read = new byte[(int) length];
            System.arraycopy(memory, (int) offset, read, 0, read.length);
            caller.completed(new BlockBackend.Reply(ReplyStatus.SERVED, 0, -1, "", ByteBuffer.wrap(read), List.of()));
        } else {
            if (op == Op.WRITE) {
                System.arraycopy(data, 0, memory, (int) offset, data.length);
            }
            caller.completed(BlockBackend.Reply.done());
        }
        return TICKET;
    }

    @Override
    public void abandon(BlockBackend.OperationHandle ticket) {
        // Everything is answered in the call that takes it.
    }
}
