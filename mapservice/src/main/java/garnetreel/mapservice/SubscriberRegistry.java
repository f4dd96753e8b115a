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
final class SubscriberRegistry {
    private static final long KEEP_ALIVE_INTERVAL = 1_000_000;
    /** Retry delay sent to a gateway above the subscription rate; the gateway multiplies it by a random factor. */
    private static final long RETRY_AFTER = 500_000;

    /** Executes an operator's command; the answer may come in a later turn. */
    @FunctionalInterface
    interface CommandHandler {
        void execute(Command command, Consumer<Result> answer);
    }

    private static final class Subscriber {
        private final long conn;
        private final ByteQueue received = new ByteQueue();
        private boolean subscribed;
        private long version;

        Subscriber(long conn) {
            this.conn = conn;
        }
    }

    private final TurnContext turn;
    private final MapState state;
    private final RollbackDetector rollbacks;
    private final CommandHandler commandHandler;
    private final RateBudget subscribeBudget;
    private final Map<Long, Subscriber> subscribers = new TreeMap<>();
    private long nextKeepAlive;

    SubscriberRegistry(
            TurnContext turn,
            MapState state,
            RollbackDetector rollbacks,
            int subscribesPerSecond,
            CommandHandler commandHandler) {
        this.turn = turn;
        this.state = state;
        this.rollbacks = rollbacks;
        this.commandHandler = commandHandler;
        this.subscribeBudget = new RateBudget(subscribesPerSecond, subscribesPerSecond);
    }

    void start() {
        subscribeBudget.start(turn.now());
        nextKeepAlive = turn.now() + KEEP_ALIVE_INTERVAL;
    }

    void refill() {
        subscribeBudget.refill(turn.now());
    }

    boolean owns(long conn) {
        return subscribers.containsKey(conn);
    }

    void accepted(long conn) {
        subscribers.put(conn, new Subscriber(conn));
    }

    void closed(long conn) {
        subscribers.remove(conn);
    }

    void received(long conn, ByteBuffer data) {
        Subscriber subscriber = subscribers.get(conn);
        subscriber.received.add(data);
        try {
            MapMessage message;
            while ((message = MapCodec.next(subscriber.received)) != null) {
                handle(subscriber, message);
            }
        } catch (ProtocolException e) {
            turn.warn("client connection " + conn + ": " + e.getMessage());
            turn.add(new NetAction.Close(conn, true));
            subscribers.remove(conn);
        }
    }

    private void handle(Subscriber subscriber, MapMessage message) throws ProtocolException {
        if (message instanceof Subscribe subscribe) {
            subscribe(subscriber, subscribe);
        } else if (message instanceof Command command) {
            commandHandler.execute(command, result -> send(subscriber, result));
        } else {
            throw new ProtocolException(
                    "unexpected message " + message.getClass().getSimpleName());
        }
    }

    /**
     * Protects the service when all gateways reconnect at once: subscriptions above the configured rate are told to
     * retry later. A gateway without any map waits longer for its first one; until then it routes by the initial
     * placement, and nodes refuse requests for migrated extents.
     */
    private void subscribe(Subscriber subscriber, Subscribe subscribe) {
        if (subscribeBudget.available() < 1) {
            send(subscriber, new Busy(RETRY_AFTER));
            return;
        }
        subscribeBudget.take(1);
        rollbacks.observe(subscribe.epoch(), subscribe.version(), "gateway " + subscribe.gatewayId());
        subscriber.subscribed = true;
        subscriber.version = state.version();
        send(subscriber, state.updateSince(subscribe.epoch(), subscribe.version()));
    }

    /** Sends a message unless the connection has been closed, as it may be when a late answer arrives. */
    private void send(Subscriber subscriber, MapMessage message) {
        if (subscribers.get(subscriber.conn) == subscriber) {
            turn.add(new NetAction.Write(subscriber.conn, MapCodec.frame(message)));
        }
    }

    /** Updates all subscribers after a transaction that changed maps or started a new epoch. */
    void publishChanges(long epochBefore) {
        for (Subscriber subscriber : subscribers.values()) {
            if (subscriber.subscribed) {
                send(subscriber, state.updateSince(epochBefore, subscriber.version));
                subscriber.version = state.version();
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
        for (Subscriber subscriber : subscribers.values()) {
            if (subscriber.subscribed) {
                send(subscriber, noChanges);
            }
        }
    }

    /** Number of subscribed connections. */
    int subscriberCount() {
        return (int) subscribers.values().stream().filter(s -> s.subscribed).count();
    }

    long nextDeadline() {
        return nextKeepAlive;
    }
}
