package garnetreel.cli.testing.driven;

import garnetreel.cli.config.HclFile;
import garnetreel.cli.config.Settings;
import garnetreel.codec.nodelist.NodeListCodec;
import garnetreel.codec.nodelist.NodeListMessage;
import garnetreel.core.Gateway;
import garnetreel.core.GatewaySettings;
import garnetreel.core.StoredState;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.request.RequestRegistry;
import garnetreel.core.server.rsync.FileCatalogueStore.StoredCatalogue;
import garnetreel.policy.FairQueueScheduler;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A gateway that a test drives turn by turn, without sockets and threads: the test has the clock, the network and the
 * disk, and a {@link DrivenNode} for each shard. Messages to and from nodes take no time.
 */
final class DrivenGateway {
    private static final long START_MICROS = 1_000_000_000L;
    private static final long STEP_MICROS = 1_000;

    private final Settings settings;
    private final Map<String, DrivenNode> nodesByAddress = new HashMap<>();
    private final Map<Long, DrivenNode> nodeConnections = new HashMap<>();
    private final Map<Long, DrivenClient> clients = new HashMap<>();
    private final List<NetEvent> pendingEvents = new ArrayList<>();
    private final List<NetAction.Append> heldAppends = new ArrayList<>();
    private final List<byte[]> durableRecords = new ArrayList<>();
    private final Map<String, byte[]> durableStates = new HashMap<>();
    private byte[] durableSnapshot;
    private Gateway gateway;
    private long now = START_MICROS;
    private long lastClientId;
    private final List<NetAction.Write> unflushed = new ArrayList<>();
    private final List<Long> closing = new ArrayList<>();
    private final Set<Long> nonReaders = new HashSet<>();
    private final Set<Long> withoutWrittenEvents = new HashSet<>();
    private boolean appendsHeld;
    private boolean inTurn;
    private boolean stopped;

    /** Receives what the gateway writes to a client. */
    interface DrivenClient {
        /** Bytes arrived from the gateway. */
        void received(ByteBuffer data);

        /** The gateway closed the connection. */
        void closed();
    }

    DrivenGateway(String settingsText, List<DrivenNode> nodes) throws Exception {
        settings = Settings.of(HclFile.parse("driven.hcl", settingsText));
        for (DrivenNode node : nodes) {
            nodesByAddress.put(node.address(), node);
        }
        start();
    }

    private void start() {
        GatewaySettings gatewaySettings = settings.gateway(0, now, "127.0.0.1:0", "127.0.0.1:1", "");
        List<NodeListMessage.Entry> entries = nodesByAddress.values().stream()
                .map(node -> new NodeListMessage.Entry(
                        node.address(), "zone-a", node.shard(), NodeListMessage.State.UP, 1, 0))
                .toList();
        ByteBuffer list =
                NodeListCodec.frame(new NodeListMessage.NodeListUpdate(NodeListMessage.Kind.SNAPSHOT, 0, 1, entries));
        byte[] cachedList = new byte[list.remaining()];
        list.get(cachedList);
        gateway = createGateway(gatewaySettings, cachedList);
        turn();
    }

    private Gateway createGateway(GatewaySettings gatewaySettings, byte[] cachedList) {
        return new Gateway(
                gatewaySettings,
                new FairQueueScheduler(gatewaySettings.scheduling(), 1),
                new StoredState(
                        cachedList,
                        null,
                        durableStates.get(RequestRegistry.UNFLUSHED_WRITES_NAME),
                        new StoredCatalogue(durableSnapshot, List.copyOf(durableRecords))));
    }

    /** Kills the gateway and starts it again after a time; what was not durable is lost, and so are its connections. */
    void killAndRestart(long downMicros) {
        pendingEvents.clear();
        heldAppends.clear();
        nodeConnections.clear();
        clients.clear();
        appendsHeld = false;
        nodesByAddress.values().forEach(DrivenNode::gatewayDisconnected);
        now += downMicros;
        nodesByAddress.values().forEach(node -> node.runUntil(now, answer -> {}));
        start();
    }

    /** Loses the named states, as if the gateway had no state directory; the journal of files stays. */
    void loseStoredStates() {
        durableStates.clear();
    }

    /** While held, journal records do not become durable. */
    void holdAppends(boolean held) {
        appendsHeld = held;
        if (!held) {
            heldAppends.forEach(this::makeDurable);
            heldAppends.clear();
            turn();
        }
    }

    private void makeDurable(NetAction.Append append) {
        durableRecords.add(append.data());
        pendingEvents.add(new NetEvent.Appended(append.sequence()));
    }

    /** Connects a client to a listener and returns the id of the connection. */
    long connect(String listener, DrivenClient client) {
        long id = ++lastClientId;
        clients.put(id, client);
        pendingEvents.add(new NetEvent.Accepted(id, listener, "127.0.0.1:" + id));
        turn();
        return id;
    }

    /** Sends bytes of a client to the gateway. */
    void send(long clientId, ByteBuffer data) {
        if (data != null && clients.containsKey(clientId)) {
            pendingEvents.add(new NetEvent.Received(clientId, data));
            if (!inTurn) { // else a client answers within a turn, and the next turn follows at once
                turn();
            }
        }
    }

    /** A client resets its connection. */
    void disconnect(long clientId) {
        clients.remove(clientId);
        pendingEvents.add(new NetEvent.Closed(clientId, true, "reset by the test"));
        turn();
    }

    /** The client reads nothing from now on: what the gateway writes to it does not leave the gateway. */
    void stopReading(long clientId) {
        nonReaders.add(clientId);
        withoutWrittenEvents.add(clientId);
    }

    /** The next client that connects gets what is written to it, but the gateway is not told that it has left. */
    void holdWrittenOfNextClient() {
        withoutWrittenEvents.add(lastClientId + 1);
    }

    /** The gateway is told that a number of bytes have left for the client that connected last. */
    void reportWritten(int bytes) {
        pendingEvents.add(new NetEvent.Written(lastClientId, bytes));
        turn();
    }

    /** Tells the gateway to end, as SIGTERM does. */
    void shutDown() {
        pendingEvents.add(new NetEvent.CommandReceived(new Gateway.Shutdown()));
        turn();
    }

    /** Whether the gateway has stopped after {@link #shutDown}. */
    boolean isStopped() {
        return stopped;
    }

    /** Current time in microseconds. */
    long now() {
        return now;
    }

    Gateway.Statistics statistics() {
        return gateway.statistics();
    }

    /** Lets time pass in small steps, in which nodes execute requests and the gateway takes its turns. */
    void advance(long micros) {
        for (long end = now + micros; now < end; ) {
            now += Math.min(STEP_MICROS, end - now);
            deliverNodeAnswers();
            turn();
        }
    }

    /** Lets time pass without a turn, as if the process were held up. */
    void holdUp(long micros) {
        now += micros;
        turn();
    }

    private void deliverNodeAnswers() {
        for (DrivenNode node : nodesByAddress.values()) {
            node.runUntil(
                    now,
                    answer -> nodeConnections.forEach((id, connected) -> {
                        if (connected == node) {
                            pendingEvents.add(new NetEvent.Received(id, answer.duplicate()));
                        }
                    }));
        }
    }

    private void turn() {
        inTurn = true;
        do {
            List<NetEvent> events = List.copyOf(pendingEvents);
            pendingEvents.clear();
            List<NetAction> actions = new ArrayList<>();
            gateway.handle(now, events, actions);
            actions.forEach(this::perform);
            flush();
            deliverNodeAnswers();
        } while (!pendingEvents.isEmpty() || gateway.nextDeadline() <= now);
        inTurn = false;
    }

    private void perform(NetAction action) {
        if (action instanceof NetAction.Connect connect) {
            connectToNode(connect);
        } else if (action instanceof NetAction.Write write) {
            unflushed.add(write);
        } else if (action instanceof NetAction.Close close) {
            nodeConnections.remove(close.connectionId());
            if (close.abort()) {
                unflushed.removeIf(write -> write.connectionId() == close.connectionId());
            }
            closing.add(close.connectionId());
        } else if (action instanceof NetAction.Stopped) {
            stopped = true;
        } else if (action instanceof NetAction.Append append) {
            if (appendsHeld) {
                heldAppends.add(append);
            } else {
                makeDurable(append);
            }
        } else if (action instanceof NetAction.Snapshot snapshot) {
            durableSnapshot = snapshot.data();
        } else if (action instanceof NetAction.Persist persist) {
            durableStates.put(persist.name(), persist.data());
        }
    }

    /** Delivers what a turn has written, unless its connection was reset in the same turn, then the ends of connections. */
    private void flush() {
        List.copyOf(unflushed).forEach(this::write);
        unflushed.clear();
        for (long connectionId : List.copyOf(closing)) {
            DrivenClient client = clients.remove(connectionId);
            if (client != null) {
                client.closed();
            }
        }
        closing.clear();
    }

    private void connectToNode(NetAction.Connect connect) {
        DrivenNode node = nodesByAddress.get(connect.address());
        if (node == null) { // the node list, which never answers
            pendingEvents.add(new NetEvent.Closed(connect.connectionId(), false, "refused by the test"));
        } else {
            nodeConnections.put(connect.connectionId(), node);
            pendingEvents.add(new NetEvent.Connected(connect.connectionId()));
        }
    }

    private void write(NetAction.Write write) {
        int length = write.data().remaining();
        DrivenNode node = nodeConnections.get(write.connectionId());
        DrivenClient client = clients.get(write.connectionId());
        if (node != null) {
            node.received(
                    now, write.data(), reply -> pendingEvents.add(new NetEvent.Received(write.connectionId(), reply)));
        } else if (client != null && !nonReaders.contains(write.connectionId())) {
            client.received(write.data());
        }
        if (!withoutWrittenEvents.contains(write.connectionId())) {
            pendingEvents.add(new NetEvent.Written(write.connectionId(), length));
        }
    }
}
