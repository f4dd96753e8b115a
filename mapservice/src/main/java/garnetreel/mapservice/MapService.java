package garnetreel.mapservice;

import garnetreel.codec.map.MapMessage;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.connection.NodeListClient;
import garnetreel.core.ending.ClosedConnections;
import garnetreel.core.ending.DrainTimes;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetAction.Level;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.map.MapState;
import garnetreel.map.Migration;
import garnetreel.map.Transaction;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;

/**
 * The map service as a state machine: dispatches events to its components and runs them in a fixed order each turn.
 * Every change is a transaction; nothing is published or acted on before it is durable.
 */
public final class MapService implements StateMachine {
    /** Name of the listener for gateways and operators. */
    public static final String LISTENER = "map";

    /**
     * Initiators in the history: the service itself, and commands submitted to the event loop within its process, such
     * as {@link MigrateCommand}. Both are stored in the journal.
     */
    private static final String SERVICE_INITIATOR = "mapd";

    private static final String IN_PROCESS_INITIATOR = "script";
    private static final long NODE_LIST_RETRY_DELAY = 1_000_000;

    /** Starts a migration, like the operator command {@code move}. */
    public record MigrateCommand(long volume, long extent, int to) implements NetEvent.Command {}

    /** Starts or stops draining a shard, like the operator commands {@code drain} and {@code undrain}. */
    public record DrainShardCommand(int shard, boolean on) implements NetEvent.Command {}

    /** Adopts the maps from the nodes, like the operator command {@code adopt}. */
    public record AdoptCommand() implements NetEvent.Command {}

    /**
     * Commands the service to refuse further commands of operators, answer those in progress, and then emit
     * {@link NetAction.Stopped}.
     */
    public record Shutdown() implements NetEvent.Command {}

    /** Maximum time of a shutdown, in microseconds. */
    public static final long SHUTDOWN_MICROS = 2_000_000;

    private final TurnContext turn = new TurnContext();
    private final MapServiceSettings settings;
    private final MapState state;
    private final NodeListClient nodeList;
    private final NodeCommandClient nodes;
    private final RollbackDetector rollbacks;
    private final TransactionLog log;
    private final MapClientConnections clients;
    private final MigrationCoordinator migrations;
    private final RebalanceCoordinator rebalancing;
    private final AdoptionCoordinator adoption;
    private final OperatorCommands commands;
    private boolean started;
    /**
     * The start of this incarnation is durable, so its commands to nodes have higher numbers than those of earlier
     * ones.
     */
    private boolean ready;

    private boolean renumbering;
    private boolean subscribedToNodeList;
    private long nodeListRetryAt;
    /** Until when connections that were made before the shutdown may still be accepted. */
    private long acceptsUntil = Long.MAX_VALUE;

    private long shutdownDeadline = Long.MAX_VALUE;
    private boolean stopped;

    /**
     * Creates a service that continues from a recovered state.
     *
     * @param state recovered from the journal and snapshot of earlier incarnations
     */
    public MapService(MapServiceSettings settings, MapState state) {
        this.settings = settings;
        this.state = state;
        ConnectionIdAllocator connectionIds = new ConnectionIdAllocator();
        nodes = new NodeCommandClient(
                turn, connectionIds, settings.nodeListClient().incarnation(), settings.commandTimeout());
        nodeList = new NodeListClient(settings.nodeListClient(), connectionIds, this::nodeListUpdated);
        rollbacks = new RollbackDetector(turn, state);
        log = new TransactionLog(turn, state, settings.snapshotInterval(), this::applied);
        clients =
                new MapClientConnections(turn, state, rollbacks, settings.subscribesPerSecond(), this::operatorCommand);
        migrations = new MigrationCoordinator(
                turn, state, nodes, log, rollbacks, settings.copyBytesPerSecond(), this::extentSwitched);
        rebalancing = new RebalanceCoordinator(
                turn,
                settings,
                state,
                nodes,
                p -> migrations.begin(p.volume(), p.extent(), p.to(), "rebalancer", p.why(), migration -> {}));
        adoption = new AdoptionCoordinator(turn, state, nodes, log, rollbacks, migrations);
        commands = new OperatorCommands(turn, state, log, clients, nodes, rollbacks, migrations, adoption);
    }

    /**
     * {@inheritDoc}
     *
     * <p>Order within a turn: budgets are refilled before events draw on them; deadlines expire after the events, which
     * may still meet them; decisions follow, on up-to-date state; then the next transaction is written.
     */
    @Override
    public void handle(long time, List<NetEvent> events, List<NetAction> actions) {
        turn.beginTurn(time, actions);
        nodeList.beginTurn(turn.now(), actions);
        if (!started) {
            start();
        }
        clients.refill();
        migrations.refill();
        events.forEach(this::dispatch);
        nodeList.expire();
        nodes.expire();
        subscribeToNodeList();
        if (ready) {
            if (!rollbacks.rolledBack()) {
                rebalancing.run();
                migrations.advance();
            }
            renumberCommands();
        }
        log.write();
        clients.keepAlive();
        continueShutdown();
    }

    private void shutDown() {
        if (shutdownDeadline == Long.MAX_VALUE) {
            acceptsUntil = turn.now() + DrainTimes.SILENCE_MICROS;
            shutdownDeadline = turn.now() + SHUTDOWN_MICROS;
            turn.add(new NetAction.StopListening(LISTENER));
            clients.shutDown();
        }
    }

    private void continueShutdown() {
        if (stopped || shutdownDeadline == Long.MAX_VALUE) {
            return;
        }
        clients.expire();
        if (turn.now() >= shutdownDeadline) {
            clients.finishShutdown();
        }
        if (turn.now() >= acceptsUntil && clients.isEmpty()) {
            stopped = true;
            ClosedConnections closed = clients.closedConnections();
            turn.add(new NetAction.Log(closed.owedAnswers() == 0 ? Level.INFO : Level.WARN, closed.logLine()));
            turn.add(new NetAction.Stopped());
        }
    }

    private long nextShutdownStep() {
        if (stopped || shutdownDeadline == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        return turn.now() < acceptsUntil ? acceptsUntil : shutdownDeadline;
    }

    private void start() {
        started = true;
        clients.start();
        migrations.start();
        rebalancing.start();
        turn.add(new NetAction.Listen(LISTENER, settings.listen()));
        log.submit(() -> state.emptyTransaction(SERVICE_INITIATOR, turn.now(), "started"), t -> {
            nodes.startNumbering(t.epoch(), t.seq());
            migrations.resume();
            restoreRestPeriods();
            ready = true;
        });
    }

    /** Restores the rest periods of recently migrated extents after a restart. */
    private void restoreRestPeriods() {
        for (Transaction t : state.history()) {
            if (t.migration() != null && t.migration().state() == Migration.State.SWITCHED) {
                rebalancing.migrated(t.migration().volume(), t.migration().extent(), t.when());
            }
        }
    }

    /**
     * Starts a new range of command numbers when the current one runs low; the next incarnation's range still lies
     * above.
     */
    private void renumberCommands() {
        if (!renumbering && nodes.numbersRunLow()) {
            renumbering = true;
            log.submit(() -> state.emptyTransaction(SERVICE_INITIATOR, turn.now(), "new numbers for orders"), t -> {
                nodes.startNumbering(t.epoch(), t.seq());
                renumbering = false;
            });
        }
    }

    // ---------------------------------------------------------------- events

    private void dispatch(NetEvent event) {
        if (event instanceof NetEvent.Received received) {
            received(received.connectionId(), received.data());
        } else if (event instanceof NetEvent.Accepted accepted) {
            clients.accepted(accepted.connectionId());
        } else if (event instanceof NetEvent.Closed closed) {
            closed(closed.connectionId());
        } else if (event instanceof NetEvent.Connected connected) {
            connected(connected.connectionId());
        } else if (event instanceof NetEvent.CommandReceived received) {
            processCommand(received.command());
        } else if (event instanceof NetEvent.Appended appended) {
            log.appended(appended.sequence());
        }
    }

    private void received(long connectionId, ByteBuffer data) {
        if (clients.owns(connectionId)) {
            clients.received(connectionId, data);
        } else if (nodes.owns(connectionId)) {
            nodes.received(connectionId, data);
        } else if (nodeList.owns(connectionId)) {
            nodeList.received(data);
        }
    }

    private void closed(long connectionId) {
        if (clients.owns(connectionId)) {
            clients.closed(connectionId);
        } else if (nodes.owns(connectionId)) {
            nodes.closed(connectionId);
        } else if (nodeList.owns(connectionId)) {
            nodeList.closed();
        }
    }

    private void connected(long connectionId) {
        if (nodes.owns(connectionId)) {
            nodes.connected(connectionId);
        } else if (nodeList.owns(connectionId)) {
            nodeList.connected();
        }
    }

    private void operatorCommand(MapMessage.Command command, Consumer<MapMessage.Result> answer) {
        commands.execute(command, answer);
    }

    /** Executes a command from the process that runs the service. */
    private void processCommand(NetEvent.Command command) {
        if (command instanceof MigrateCommand migrate) {
            migrations.begin(
                    migrate.volume(),
                    migrate.extent(),
                    migrate.to(),
                    IN_PROCESS_INITIATOR,
                    "asked for",
                    migration -> {});
        } else if (command instanceof DrainShardCommand drain) {
            log.submit(() -> state.drain(drain.shard(), drain.on(), IN_PROCESS_INITIATOR, turn.now()), t -> {});
        } else if (command instanceof Shutdown) {
            shutDown();
        } else if (command instanceof AdoptCommand) {
            adoption.begin(IN_PROCESS_INITIATOR, false, (ok, findings) -> {
                Level level = ok ? Level.INFO : Level.WARN;
                turn.add(new NetAction.Log(level, findings.toString()));
            });
        }
    }

    private void applied(Transaction transaction, long epochBefore) {
        if (!transaction.changes().isEmpty() || state.epoch() != epochBefore) {
            clients.publishChanges(epochBefore);
        }
        if (transaction.drain() != null && transaction.drain().on()) {
            migrations.shardDraining(transaction.drain().shard());
        }
    }

    private void extentSwitched(Migration migration) {
        rebalancing.migrated(migration.volume(), migration.extent(), turn.now());
    }

    // ---------------------------------------------------------------- node list

    private void subscribeToNodeList() {
        if (!subscribedToNodeList && turn.now() >= nodeListRetryAt) {
            subscribedToNodeList = true;
            nodeList.subscribe(true);
        }
    }

    private void nodeListUpdated(EndpointUpdate update) {
        if (update.kind() == EndpointUpdateKind.UNAVAILABLE) {
            subscribedToNodeList = false;
            nodeListRetryAt = turn.now() + NODE_LIST_RETRY_DELAY;
        }
        nodes.update(update);
    }

    // ---------------------------------------------------------------- time

    @Override
    public long nextDeadline() {
        if (!started) {
            return turn.now();
        }
        long next = Math.min(nextShutdownStep(), clients.nextDeadline());
        next = Math.min(next, Math.min(nodes.nextDeadline(), nodeList.nextDeadline()));
        if (!subscribedToNodeList) {
            next = Math.min(next, nodeListRetryAt);
        }
        // Otherwise neither component runs, and a deadline that has passed would cause a busy loop of turns.
        if (ready && !rollbacks.rolledBack()) {
            next = Math.min(next, Math.min(rebalancing.nextDeadline(), migrations.nextDeadline()));
        }
        return next;
    }
}
