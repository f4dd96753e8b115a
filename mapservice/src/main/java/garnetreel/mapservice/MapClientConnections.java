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
import garnetreel.core.ending.ClosedConnections;
import garnetreel.core.ending.ConnectionEnding;
import garnetreel.core.ending.EndingProgress;
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

    private static final Result SHUTTING_DOWN = new Result(
            false,
            OperatorReports.message("the map service is shutting down; nothing was done")
                    .toString());
    private static final Result CUT_SHORT = new Result(
            false,
            OperatorReports.message("the map service is shutting down; see its history for what was done")
                    .toString());

    /** A connection; an operator's never subscribes. */
    private static final class ClientConnection {
        private final long connectionId;
        private final ByteQueue received = new ByteQueue();
        private final EndingProgress ending = new EndingProgress();
        private boolean subscribed;
        private long version;
        /** Number of commands that have not been answered. */
        private int commandsInProgress;

        private long lastReceivedAt;
        private boolean readPaused;

        ClientConnection(long connectionId, long now) {
            this.connectionId = connectionId;
            this.lastReceivedAt = now;
        }
    }

    private final TurnContext turn;
    private final MapState state;
    private final RollbackDetector rollbacks;
    private final CommandHandler commandHandler;
    private final RateLimiter subscribeBudget;
    private final Map<Long, ClientConnection> clients = new TreeMap<>();
    private final ClosedConnections closedConnections = new ClosedConnections();
    private boolean shuttingDown;
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

    boolean isEmpty() {
        return clients.isEmpty();
    }

    /** Numbers of the connections that have ended, and of commands on them that were not answered. */
    ClosedConnections closedConnections() {
        return closedConnections;
    }

    void accepted(long connectionId) {
        ClientConnection client = new ClientConnection(connectionId, turn.now());
        clients.put(connectionId, client);
        if (shuttingDown) {
            end(client, ConnectionEnding.SHUTDOWN);
        }
    }

    void closed(long connectionId) {
        end(clients.get(connectionId), ConnectionEnding.PEER_GONE);
    }

    void received(long connectionId, ByteBuffer data) {
        ClientConnection client = clients.get(connectionId);
        client.lastReceivedAt = turn.now();
        if (client.ending.discardsInput()) {
            return;
        }
        client.received.add(data);
        try {
            MapMessage message;
            while ((message = MapCodec.next(client.received)) != null) {
                handle(client, message);
            }
        } catch (ProtocolException e) {
            turn.warn("client connection " + connectionId + ": " + e.getMessage());
            end(client, ConnectionEnding.PROTOCOL_ERROR);
        }
    }

    private void handle(ClientConnection client, MapMessage message) throws ProtocolException {
        if (message instanceof Subscribe subscribe) {
            subscribe(client, subscribe);
        } else if (message instanceof Command command) {
            execute(client, command);
        } else {
            throw new ProtocolException(
                    "unexpected message " + message.getClass().getSimpleName());
        }
    }

    private void execute(ClientConnection client, Command command) {
        if (client.ending.refusesRequests()) {
            send(client, SHUTTING_DOWN);
            return;
        }
        client.commandsInProgress++;
        commandHandler.execute(command, result -> {
            client.commandsInProgress--;
            send(client, result);
            closeIfSettled(client);
        });
    }

    // ---------------------------------------------------------------- end of connections

    /** Refuses further commands, and closes each connection once the commands in progress on it are answered. */
    void shutDown() {
        shuttingDown = true;
        List.copyOf(clients.values()).forEach(client -> end(client, ConnectionEnding.SHUTDOWN));
    }

    /** Ends the shutdown: answers the commands in progress with an error, and closes all connections. */
    void finishShutdown() {
        for (ClientConnection client : List.copyOf(clients.values())) {
            for (; client.commandsInProgress > 0; client.commandsInProgress--) {
                send(client, CUT_SHORT);
            }
            close(client);
        }
    }

    /** Closes the connections whose end is settled, and stops reading those whose clients send without end. */
    void expire() {
        if (shuttingDown) {
            List.copyOf(clients.values()).forEach(this::closeIfSettled);
        }
    }

    private void end(ClientConnection client, ConnectionEnding cause) {
        if (!client.ending.begin(cause, turn.now())) {
            return;
        }
        if (cause.owesAnswers()) {
            closeIfSettled(client);
        } else {
            close(client);
        }
    }

    private void closeIfSettled(ClientConnection client) {
        boolean inProgress = client.commandsInProgress > 0;
        if (!client.ending.hasBegun() || clients.get(client.connectionId) != client) {
            return;
        }
        if (!inProgress && !client.ending.awaitsInput(turn.now(), client.lastReceivedAt, client.received.size() > 0)) {
            close(client);
        } else if (!client.readPaused && !client.ending.readsSocket(turn.now(), inProgress)) {
            client.readPaused = true;
            turn.add(new NetAction.SetReadInterest(client.connectionId, false));
        }
    }

    private void close(ClientConnection client) {
        ConnectionEnding cause = client.ending.cause();
        clients.remove(client.connectionId);
        closedConnections.count(cause, client.commandsInProgress);
        if (cause != ConnectionEnding.PEER_GONE) {
            turn.add(new NetAction.Close(client.connectionId, cause.resetsConnection()));
        }
    }

    /**
     * Protects the service when all gateways reconnect at once: those that subscribe above the configured rate are told
     * to retry later. One of them that has no map routes by the initial placement meanwhile, and nodes reject requests
     * for migrated extents.
     */
    private void subscribe(ClientConnection client, Subscribe subscribe) {
        if (client.ending.refusesRequests() || subscribeBudget.available() < 1) {
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
        long next = nextKeepAlive;
        for (ClientConnection client : clients.values()) {
            next = Math.min(next, client.ending.nextDeadline(turn.now(), client.lastReceivedAt));
        }
        return next;
    }
}
