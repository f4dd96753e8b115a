package garnetreel.testbed.list;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.nodelist.NodeListCodec;
import garnetreel.codec.nodelist.NodeListMessage;
import garnetreel.codec.nodelist.NodeListMessage.Entry;
import garnetreel.codec.nodelist.NodeListMessage.Failed;
import garnetreel.codec.nodelist.NodeListMessage.Fetch;
import garnetreel.codec.nodelist.NodeListMessage.Kind;
import garnetreel.codec.nodelist.NodeListMessage.NodeListUpdate;
import garnetreel.codec.nodelist.NodeListMessage.Register;
import garnetreel.codec.nodelist.NodeListMessage.Subscribe;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceLabels;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A fake node list: nodes register, and gateways subscribe or poll and see changes after a lag. A node is removed when
 * its connection closes, so a node that only falls silent stays listed.
 */
public final class FakeNodeList implements StateMachine {
    private static final String LISTENER = "list";
    /** Microseconds between messages to subscribers while nothing changes. */
    private static final long KEEP_ALIVE_INTERVAL = 1_000_000;
    /** Microseconds for which a list that starts empty only lets nodes register, and fails the calls of gateways. */
    private static final long REGISTRATION_WINDOW = 1_000_000;

    /** Changes the behaviour of the list from now on. */
    public sealed interface ListCommand extends NetEvent.Command {
        /** Sets the delay, in microseconds, after which changes become visible. */
        record SetLag(long micros) implements ListCommand {}

        /** Sets whether the calls of gateways fail. */
        record SetFailing(boolean on) implements ListCommand {}

        /** Sets whether the list sends nothing at all. */
        record SetSilent(boolean on) implements ListCommand {}
    }

    /** A connection from a gateway or a node. */
    private static final class Client {
        final long connectionId;
        final ByteQueue input = new ByteQueue();
        /** Number of the gateway once it has sent a request, the peer's address before. */
        String name;

        boolean subscribed;
        /** Version of the last update sent here; 0 for none. */
        long notifiedVersion;
        /** Address of the node that registered over this connection; null for none. */
        String nodeAddress;

        Client(long connectionId, String name) {
            this.connectionId = connectionId;
            this.name = name;
        }
    }

    private final String name;
    private final String listen;
    private final Trace trace;
    private final Map<Long, Client> clients = new TreeMap<>();
    private final NodeTable table;
    /** Connection id by address of each registered node. */
    private final Map<String, Long> registrations = new HashMap<>();

    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private long keepAliveAt;
    private long registrationWindowEnd;
    private boolean started;
    private boolean failing;
    private boolean silent;

    /**
     * Creates a list that listens from the first call of {@link #handle} on.
     *
     * @param entries the initial entries
     * @param lag delay after which changes become visible, in microseconds
     */
    public FakeNodeList(String name, String listen, List<Entry> entries, long lag, Trace trace) {
        this.name = name;
        this.listen = listen;
        this.trace = trace;
        this.table = new NodeTable(entries, lag);
    }

    @Override
    public void handle(long time, List<NetEvent> events, List<NetAction> into) {
        now = Math.max(now, time);
        actions = into;
        if (!started) {
            started = true;
            keepAliveAt = now + KEEP_ALIVE_INTERVAL;
            registrationWindowEnd = table.isEmpty() ? now + REGISTRATION_WINDOW : 0;
            actions.add(new NetAction.Listen(LISTENER, listen));
        }
        for (NetEvent event : events) {
            handle(event);
        }
        notifySubscribers();
    }

    private void handle(NetEvent event) {
        if (event instanceof NetEvent.Accepted accepted) {
            clients.put(accepted.connectionId(), new Client(accepted.connectionId(), accepted.peer()));
        } else if (event instanceof NetEvent.Received received && clients.containsKey(received.connectionId())) {
            received(clients.get(received.connectionId()), received.data());
        } else if (event instanceof NetEvent.Closed closed) {
            disconnected(clients.remove(closed.connectionId()));
        } else if (event instanceof NetEvent.CommandReceived received
                && received.command() instanceof ListCommand command) {
            apply(command);
        }
    }

    private void apply(ListCommand command) {
        if (command instanceof ListCommand.SetLag setLag) {
            table.setLag(setLag.micros());
        } else if (command instanceof ListCommand.SetFailing setFailing) {
            failing = setFailing.on();
        } else if (command instanceof ListCommand.SetSilent setSilent) {
            silent = setSilent.on();
        }
    }

    // ---------------------------------------------------------------- protocol

    private void received(Client client, ByteBuffer data) {
        client.input.add(data);
        try {
            NodeListMessage message;
            while ((message = NodeListCodec.next(client.input)) != null) {
                handle(client, message);
            }
        } catch (ProtocolException e) {
            actions.add(new NetAction.Log(NetAction.Level.WARN, name + ": " + e.getMessage()));
            actions.add(new NetAction.Close(client.connectionId, true));
            disconnected(clients.remove(client.connectionId));
        }
    }

    private void handle(Client client, NodeListMessage message) throws ProtocolException {
        if (message instanceof Register register) {
            client.nodeAddress = register.entry().address();
            registrations.put(client.nodeAddress, client.connectionId);
            table.change(register.entry(), now);
        } else if (message instanceof Subscribe subscribe) {
            subscribe(client, subscribe);
        } else if (message instanceof Fetch fetch) {
            client.name = Integer.toString(fetch.gatewayId());
            write(client, isUnavailable() ? unavailable() : snapshot());
        } else {
            throw new ProtocolException(
                    "unexpected message from client: " + message.getClass().getSimpleName());
        }
    }

    private void subscribe(Client client, Subscribe subscribe) {
        client.name = Integer.toString(subscribe.gatewayId());
        if (isUnavailable()) {
            write(client, unavailable());
            return;
        }
        client.subscribed = subscribe.active();
        if (!subscribe.active()) {
            return;
        }
        List<Entry> missed = table.changesSince(subscribe.version());
        write(
                client,
                missed == null
                        ? snapshot()
                        : new NodeListUpdate(Kind.DELTA, subscribe.version(), table.version(), missed));
    }

    private boolean isUnavailable() {
        return failing || now < registrationWindowEnd;
    }

    private static NodeListMessage unavailable() {
        return new Failed("the list is overloaded");
    }

    private NodeListUpdate snapshot() {
        return new NodeListUpdate(Kind.SNAPSHOT, 0, table.version(), table.entries());
    }

    /** Removes the node that registered over a closed connection, unless it has registered again over another. */
    private void disconnected(Client client) {
        if (client != null
                && client.nodeAddress != null
                && registrations.remove(client.nodeAddress, client.connectionId)) {
            table.remove(client.nodeAddress, now);
        }
    }

    // ---------------------------------------------------------------- notifications

    /** Sends the changes that have become visible, or a keep-alive, to all subscribers. */
    private void notifySubscribers() {
        long since = table.version();
        List<Entry> published = table.publishDue(now);
        if (published.isEmpty() && now < keepAliveAt) {
            return;
        }
        keepAliveAt = now + KEEP_ALIVE_INTERVAL;
        for (Client client : clients.values()) {
            if (client.subscribed) {
                write(client, new NodeListUpdate(Kind.DELTA, since, table.version(), published));
            }
        }
    }

    private void write(Client client, NodeListMessage message) {
        if (silent) {
            return;
        }
        NodeListMessage sent = message;
        if (message instanceof NodeListUpdate update) {
            NodeListUpdate gaplessUpdate = leavesGap(client, update) ? snapshot() : update;
            client.notifiedVersion = gaplessUpdate.version();
            trace(client, gaplessUpdate);
            sent = gaplessUpdate;
        }
        actions.add(new NetAction.Write(client.connectionId, NodeListCodec.frame(sent)));
    }

    /** Whether the changes do not continue the last update sent, as the list was silent while it changed. */
    private static boolean leavesGap(Client client, NodeListUpdate update) {
        return update.kind() == Kind.DELTA
                && client.subscribed
                && client.notifiedVersion != 0
                && update.since() != client.notifiedVersion;
    }

    private void trace(Client client, NodeListUpdate update) {
        for (Entry entry : update.entries()) {
            trace.add(TraceEvent.state(
                    now,
                    name,
                    client.name,
                    TraceEvent.Kind.NOTIFY,
                    entry.address(),
                    entry.shard(),
                    TraceLabels.of(entry.state())));
        }
    }

    @Override
    public long nextDeadline() {
        return started ? Math.min(keepAliveAt, table.nextChangeAt()) : now;
    }
}
