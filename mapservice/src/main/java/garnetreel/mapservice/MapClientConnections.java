package garnetreel.mapservice;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import garnetreel.codec.map.MapMessage.Busy;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.Command;
import garnetreel.codec.map.MapMessage.Result;
import garnetreel.codec.map.MapMessage.Subscribe;
import garnetreel.core.io.NetAction;
import garnetreel.map.MapState;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The connections of gateways, which subscribe to the map, and of operators, who send commands. */
final class MapClientConnections {
    private static final long KEEP_ALIVE_INTERVAL = 1_000_000;
    /** Retry delay sent to a gateway above the subscription rate; the gateway multiplies it by a random factor. */
    private static final long RETRY_AFTER = 500_000;

    /** Executes an operator's command; the answer may come in a later turn. */
    @FunctionalInterface
    interface CommandHandler {
        void execute(Command command, Consumer<Result> answer);
    }

    /** A connection; an operator's never subscribes. */
    private static final class ClientConnection {
        private final long connectionId;
        private final ByteQueue received = new ByteQueue();
        private boolean subscribed;
        private long version;

        ClientConnection(long connectionId) {
            this.connectionId = connectionId;
        }
    }

    private final TurnContext turn;
    private final MapState state;
    private final RollbackDetector rollbacks;
    private final CommandHandler commandHandler;
    private final RateLimiter subscribeBudget;
    private final Map<Long, ClientConnection> clients = new TreeMap<>();
    private long nextKeepAlive;

    MapClientConnections(
            TurnContext turn,
            MapState state,
            RollbackDetector rollbacks,
            int subscribesPerSecond,
            CommandHandler commandHandler) {
        this.turn = turn;
        this.state = state;
        this.rollbacks = rollbacks;
        this.commandHandler = commandHandler;
        this.subscribeBudget = new RateLimiter(subscribesPerSecond, subscribesPerSecond);
    }

    void start() {
        subscribeBudget.start(turn.now());
        nextKeepAlive = turn.now() + KEEP_ALIVE_INTERVAL;
    }

    void refill() {
        subscribeBudget.refill(turn.now());
    }

    boolean owns(long connectionId) {
        return clients.containsKey(connectionId);
    }

    void accepted(long connectionId) {
        clients.put(connectionId, new ClientConnection(connectionId));
    }

    void closed(long connectionId) {
        clients.remove(connectionId);
    }

    void received(long connectionId, ByteBuffer data) {
        ClientConnection client = clients.get(connectionId);
        client.received.add(data);
        try {
            MapMessage message;
            while ((message = MapCodec.next(client.received)) != null) {
                handle(client, message);
            }
        } catch (ProtocolException e) {
            turn.warn("client connection " + connectionId + ": " + e.getMessage());
            turn.add(new NetAction.Close(connectionId, true));
            clients.remove(connectionId);
        }
    }

    private void handle(ClientConnection client, MapMessage message) throws ProtocolException {
        if (message instanceof Subscribe subscribe) {
            subscribe(client, subscribe);
        } else if (message instanceof Command command) {
            commandHandler.execute(command, result -> send(client, result));
        } else {
            throw new ProtocolException(
                    "unexpected message " + message.getClass().getSimpleName());
        }
    }

    /**
     * Protects the service when all gateways reconnect at once: those that subscribe above the configured rate are told
     * to retry later. One of them that has no map routes by the initial placement meanwhile, and nodes reject requests
     * for migrated extents.
     */
    private void subscribe(ClientConnection client, Subscribe subscribe) {
        if (subscribeBudget.available() < 1) {
            send(client, new Busy(RETRY_AFTER));
            return;
        }
        subscribeBudget.take(1);
        rollbacks.observe(subscribe.epoch(), subscribe.version(), "gateway " + subscribe.gatewayId());
        client.subscribed = true;
        client.version = state.version();
        send(client, state.updateSince(subscribe.epoch(), subscribe.version()));
    }

    /** Sends a message unless the connection has been closed, as it may be when a late answer arrives. */
    private void send(ClientConnection client, MapMessage message) {
        if (clients.get(client.connectionId) == client) {
            turn.add(new NetAction.Write(client.connectionId, MapCodec.frame(message)));
        }
    }

    /** Updates all subscribers after a transaction that changed maps or started a new epoch. */
    void publishChanges(long epochBefore) {
        for (ClientConnection client : clients.values()) {
            if (client.subscribed) {
                send(client, state.updateSince(epochBefore, client.version));
                client.version = state.version();
            }
        }
    }

    /** Sends empty changes at intervals, so that subscribers can tell an idle service from a broken connection. */
    void keepAlive() {
        if (turn.now() < nextKeepAlive) {
            return;
        }
        nextKeepAlive = turn.now() + KEEP_ALIVE_INTERVAL;
        Changes noChanges = new Changes(state.epoch(), state.version(), state.version(), List.of());
        for (ClientConnection client : clients.values()) {
            if (client.subscribed) {
                send(client, noChanges);
            }
        }
    }

    /** Number of subscribed connections. */
    int subscriberCount() {
        return (int) clients.values().stream().filter(s -> s.subscribed).count();
    }

    long nextDeadline() {
        return nextKeepAlive;
    }
}
