package garnetreel.core.connection;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.nodelist.NodeListCodec;
import garnetreel.codec.nodelist.NodeListMessage;
import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.Failed;
import garnetreel.codec.nodelist.NodeListMessage.Fetch;
import garnetreel.codec.nodelist.NodeListMessage.Kind;
import garnetreel.codec.nodelist.NodeListMessage.NodeListUpdate;
import garnetreel.codec.nodelist.NodeListMessage.State;
import garnetreel.codec.nodelist.NodeListMessage.Subscribe;
import garnetreel.core.GatewaySettings;
import garnetreel.core.io.ConnectionHandler;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The client of the node list service. The scheduler decides when to subscribe or to poll; this class carries that out,
 * tracks the version of the list, and persists the list for the next start. It makes a call on its own in one case
 * only: after a gap in versions changes can't be applied, so it renews the subscription and requests the full list.
 */
public final class NodeListClient implements ConnectionHandler {
    /** Name under which the node list is persisted. */
    public static final String CACHE_NAME = "nodes";
    /** As the known version in a subscription: requests the full list. */
    private static final long NO_VERSION = 0;

    private final GatewaySettings settings;
    private final ConnectionIdAllocator connectionIds;
    private final Consumer<EndpointUpdate> updates;
    private final Map<String, Entry> entries = new TreeMap<>();
    private ByteQueue receivedBytes = new ByteQueue();
    private List<NetAction> actions = new ArrayList<>();
    /** Calls that wait until the connection is open. */
    private final List<NodeListMessage> queuedCalls = new ArrayList<>();
    /** The connection to the node list service; 0 while there is none. */
    private long connectionId;

    private boolean open;
    private boolean subscribed;
    private long version;
    private long now;
    private long lastReceivedAt;
    /** When the call in flight must have been answered; {@link Long#MAX_VALUE} while none is in flight. */
    private long callDeadline = Long.MAX_VALUE;

    /** A client without a list or connection, which passes updates of the list to {@code updates}. */
    public NodeListClient(
            GatewaySettings settings, ConnectionIdAllocator connectionIds, Consumer<EndpointUpdate> updates) {
        this.settings = settings;
        this.connectionIds = connectionIds;
        this.updates = updates;
    }

    /** Begins a turn at this time, whose actions are added to {@code turnActions}. */
    public void beginTurn(long time, List<NetAction> turnActions) {
        now = time;
        actions = turnActions;
    }

    /**
     * Loads the list that an earlier incarnation persisted, and reports its entries as cached. Truncated data or data
     * in another format is ignored.
     */
    public void start(byte[] persisted) {
        if (persisted != null && persisted.length > 0) {
            loadPersisted(persisted);
        }
        publish(EndpointUpdateKind.CACHED, entries.values());
    }

    private void loadPersisted(byte[] persisted) {
        ByteQueue queue = new ByteQueue();
        queue.add(ByteBuffer.wrap(persisted));
        try {
            if (NodeListCodec.next(queue) instanceof NodeListUpdate list && queue.size() == 0) {
                list.entries().forEach(e -> entries.put(e.address(), e));
                version = list.version();
            } else {
                warn("cached node list is incomplete or followed by extra data; starting without a list");
            }
        } catch (ProtocolException e) {
            warn("cached node list is unreadable (" + e.getMessage() + "); starting without a list");
        }
    }

    // ---------------------------------------------------------------- scheduler actions

    /** Starts or ends the subscription to changes. */
    public void subscribe(boolean active) {
        subscribed = active;
        call(new Subscribe(settings.gatewayNumber(), active, version), active);
    }

    /** Requests the list once. */
    public void poll() {
        call(new Fetch(settings.gatewayNumber()), true);
    }

    private void call(NodeListMessage message, boolean expectsAnswer) {
        if (expectsAnswer) {
            callDeadline = now + settings.connections().nodeListCallTimeout();
        }
        if (connectionId == 0) {
            connectionId = connectionIds.next();
            open = false;
            receivedBytes = new ByteQueue();
            actions.add(new NetAction.Connect(connectionId, settings.nodeListAddress()));
        }
        if (open) {
            write(message);
        } else {
            queuedCalls.add(message);
        }
    }

    private void write(NodeListMessage message) {
        actions.add(new NetAction.Write(connectionId, NodeListCodec.frame(message)));
    }

    // ---------------------------------------------------------------- network events

    @Override
    public boolean owns(long id) {
        return connectionId != 0 && id == connectionId;
    }

    @Override
    public void connected(long id) {
        connected();
    }

    /** The connection is open: sends the queued calls. */
    public void connected() {
        open = true;
        lastReceivedAt = now;
        queuedCalls.forEach(this::write);
        queuedCalls.clear();
    }

    @Override
    public void written(long id, int bytes) {
        // Needs no flow control: calls are small and few.
    }

    @Override
    public void closed(NetEvent.Closed event) {
        closed();
    }

    /** The connection has ended, and with it the subscription and the call in flight. */
    public void closed() {
        connectionId = 0;
        open = false;
        queuedCalls.clear();
        listUnavailable();
    }

    private void abort() {
        actions.add(new NetAction.Close(connectionId, true));
        closed();
    }

    private void listUnavailable() {
        subscribed = false;
        callDeadline = Long.MAX_VALUE;
        publish(EndpointUpdateKind.UNAVAILABLE, List.of());
    }

    @Override
    public void received(long id, ByteBuffer data) {
        received(data);
    }

    /** Handles bytes received from the node list service. */
    public void received(ByteBuffer data) {
        lastReceivedAt = now;
        receivedBytes.add(data);
        try {
            NodeListMessage message;
            while ((message = NodeListCodec.next(receivedBytes)) != null) {
                handle(message);
            }
        } catch (ProtocolException e) {
            warn("node list: " + e.getMessage() + "; closing connection");
            abort();
        }
    }

    private void handle(NodeListMessage message) throws ProtocolException {
        if (message instanceof NodeListUpdate list) {
            update(list);
        } else if (message instanceof Failed) {
            listUnavailable();
        } else {
            throw new ProtocolException(
                    "unexpected message " + message.getClass().getSimpleName());
        }
    }

    private void update(NodeListUpdate list) {
        boolean isDelta = list.kind() == Kind.DELTA;
        if (isDelta && list.since() != version) {
            warn("node list: changes since version " + list.since() + " received, but the known version is " + version
                    + "; requesting the full list");
            call(new Subscribe(settings.gatewayNumber(), true, NO_VERSION), true);
            return;
        }
        boolean answersCall = callDeadline != Long.MAX_VALUE;
        callDeadline = Long.MAX_VALUE;
        boolean isKeepAlive = isDelta && list.entries().isEmpty() && !answersCall;
        if (isKeepAlive) {
            return;
        }
        apply(list);
        publish(list.kind() == Kind.SNAPSHOT ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, list.entries());
        persist();
    }

    private void apply(NodeListUpdate list) {
        version = list.version();
        if (list.kind() == Kind.SNAPSHOT) {
            entries.clear();
        }
        for (Entry entry : list.entries()) {
            if (entry.state() == State.GONE) {
                entries.remove(entry.address());
            } else {
                entries.put(entry.address(), entry);
            }
        }
    }

    private void persist() {
        NodeListUpdate snapshot = new NodeListUpdate(Kind.SNAPSHOT, 0, version, List.copyOf(entries.values()));
        actions.add(new NetAction.Persist(CACHE_NAME, NodeListCodec.frame(snapshot)));
    }

    private void publish(EndpointUpdateKind kind, Collection<Entry> changed) {
        updates.accept(new EndpointUpdate(
                kind, changed.stream().map(NodeListClient::toEndpoint).toList()));
    }

    private static EndpointEntry toEndpoint(Entry entry) {
        return new EndpointEntry(
                entry.address(),
                entry.zone(),
                entry.shard(),
                switch (entry.state()) {
                    case UP -> EndpointState.UP;
                    case DRAINING -> EndpointState.DRAINING;
                    case GONE -> EndpointState.REMOVED;
                },
                entry.weight(),
                entry.startedAt());
    }

    private void warn(String text) {
        actions.add(new NetAction.Log(NetAction.Level.WARN, text));
    }

    // ---------------------------------------------------------------- deadlines

    /** When the call in flight times out, or the subscription counts as broken; {@link Long#MAX_VALUE} for never. */
    public long nextDeadline() {
        long silentAt =
                subscribed && open ? lastReceivedAt + settings.connections().silenceTimeout() : Long.MAX_VALUE;
        return Math.min(callDeadline, silentAt);
    }

    /**
     * Closes the connection if a call was not answered in time or the subscription received no keep-alive. Without
     * this, an outdated list would be used indefinitely on a half-open connection. The limit is several keep-alive
     * intervals, so that a late keep-alive does not end the subscription.
     */
    public void expire() {
        if (now >= nextDeadline()) {
            warn("node list: no answer or keep-alive in time; closing connection");
            abort();
        }
    }
}
