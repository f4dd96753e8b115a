package garnetreel.testbed.node;

import garnetreel.codec.nodelist.NodeListCodec;
import garnetreel.codec.nodelist.NodeListMessage;
import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.State;
import garnetreel.core.io.NetAction;

/** Keeps a fake node registered with the node list: connects, and reconnects when the connection ends. */
final class NodeListRegistration {
    /** Time between attempts to connect to the node list, in microseconds. */
    private static final long RECONNECT_DELAY = 200_000;

    private final NodeSettings settings;
    private final Turn turn;
    private final WarmUp warmUp;
    private String listAddress;
    private String ownAddress = "";
    private long connectionId;
    private boolean open;
    private boolean draining;
    private long reconnectAt;
    private long lastConnectionId;

    NodeListRegistration(NodeSettings settings, Turn turn, WarmUp warmUp) {
        this.settings = settings;
        this.turn = turn;
        this.warmUp = warmUp;
        this.listAddress = settings.list();
    }

    void setListAddress(String address) {
        listAddress = address;
    }

    void setOwnAddress(String address) {
        ownAddress = address;
    }

    /** Address at which the node listens; empty until it does. */
    String ownAddress() {
        return ownAddress;
    }

    boolean isConnection(long candidate) {
        return candidate == connectionId;
    }

    void connectIfDue() {
        if (needsConnection() && !ownAddress.isEmpty() && turn.now() >= reconnectAt) {
            connectionId = - ++lastConnectionId;
            turn.add(new NetAction.Connect(connectionId, listAddress));
        }
    }

    void connected() {
        open = true;
        register();
    }

    void closed() {
        connectionId = 0;
        open = false;
        reconnectAt = turn.now() + RECONNECT_DELAY;
    }

    /** Aborts the connection when the node collapses. */
    void abort() {
        if (connectionId != 0) {
            turn.add(new NetAction.Close(connectionId, true));
            connectionId = 0;
        }
    }

    void setDraining(boolean drains) {
        draining = drains;
        register();
    }

    private void register() {
        if (!open) {
            return;
        }
        Entry entry = new Entry(
                ownAddress,
                settings.zone(),
                settings.shard(),
                draining ? State.DRAINING : State.UP,
                1,
                settings.startedLongAgo() ? 0 : warmUp.startedAt());
        turn.add(new NetAction.Write(connectionId, NodeListCodec.frame(new NodeListMessage.Register(entry))));
    }

    long nextDeadline() {
        return needsConnection() ? Math.max(turn.now() + 1, reconnectAt) : Long.MAX_VALUE;
    }

    private boolean needsConnection() {
        return !listAddress.isEmpty() && connectionId == 0 && !warmUp.isCollapsed();
    }
}
