package garnetreel.mapservice;

import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.Step;
import garnetreel.map.MapState;
import garnetreel.map.Migration;
import garnetreel.map.MigrationRejectedException;
import garnetreel.map.MigrationStateMachine;
import garnetreel.map.Transaction;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Carries out migrations: sends the commands of each {@link MigrationStateMachine} to nodes, makes its states durable,
 * and limits the copy rate of all migrations together.
 */
final class MigrationCoordinator {
    /** The service as initiator in the history; stored in the journal. */
    private static final String SERVICE_INITIATOR = "mapd";
    /** Delay before a failed step is retried. */
    private static final long RETRY_DELAY = 100_000;
    /** Delay before an unfinished fence is polled again; short, since the fence blocks the extent's clients. */
    private static final long FENCE_POLL_DELAY = RETRY_DELAY / 50;

    private static final class ActiveMigration {
        private final MigrationStateMachine stateMachine;
        /** One of its commands or transactions is in flight. */
        private boolean awaitingCompletion;

        private long notBefore;

        ActiveMigration(Migration migration) {
            stateMachine = new MigrationStateMachine(migration);
        }

        Migration migration() {
            return stateMachine.migration();
        }
    }

    private final TurnContext turn;
    private final MapState state;
    private final NodeCommandClient nodes;
    private final TransactionLog log;
    private final RollbackDetector rollbacks;
    private final Consumer<Migration> switchListener;
    private final RateLimiter copyBudget;
    private final Map<Long, ActiveMigration> inProgress = new TreeMap<>();
    private long copiedBytes;

    /** @param switchListener receives each migration whose extent has just switched to its new shard */
    MigrationCoordinator(
            TurnContext turn,
            MapState state,
            NodeCommandClient nodes,
            TransactionLog log,
            RollbackDetector rollbacks,
            long copyBytesPerSecond,
            Consumer<Migration> switchListener) {
        this.turn = turn;
        this.state = state;
        this.nodes = nodes;
        this.log = log;
        this.rollbacks = rollbacks;
        this.switchListener = switchListener;
        this.copyBudget = new RateLimiter(copyBytesPerSecond, 2 * MigrationStateMachine.BATCH_BYTES);
    }

    void start() {
        copyBudget.start(turn.now());
    }

    void refill() {
        copyBudget.refill(turn.now());
    }

    /** Resumes the migrations that an earlier incarnation of the service started. */
    void resume() {
        state.migrations().forEach(this::add);
    }

    private void add(Migration migration) {
        inProgress.put(migration.id(), new ActiveMigration(migration));
    }

    /** Starts a migration; {@code completion} receives it, or null if it was rejected. */
    void begin(
            long volume,
            long extent,
            int targetShard,
            String initiator,
            String reason,
            Consumer<Migration> completion) {
        log.submit(
                () -> {
                    if (rollbacks.rolledBack()) {
                        throw new MigrationRejectedException(
                                "the service's state was rolled back; migrations are blocked until"
                                        + " \"map adopt\" is run");
                    }
                    return state.migrationTransaction(
                            state.newMigration(volume, extent, targetShard), initiator, turn.now(), reason);
                },
                t -> {
                    if (t != null) {
                        add(t.migration());
                    }
                    completion.accept(t == null ? null : t.migration());
                });
    }

    /** Requests that a migration be aborted; returns false if there is no such migration or it has switched already. */
    boolean abort(long id, String reason) {
        ActiveMigration active = inProgress.get(id);
        if (active == null || active.migration().state() == Migration.State.SWITCHED) {
            return false;
        }
        active.stateMachine.abort(reason);
        return true;
    }

    /** Aborts the migrations to a shard that has started draining. */
    void shardDraining(int shard) {
        for (ActiveMigration active : inProgress.values()) {
            if (active.migration().to() == shard) {
                active.stateMachine.abort("its new shard drains");
            }
        }
    }

    /**
     * Handles a durable adoption of the maps: voids earlier migrations and rolls back those missing from the journal.
     */
    void adopted(List<Migration> lost) {
        inProgress.clear();
        for (Migration migration : state.migrations()) {
            commit(migration.withState(Migration.State.ABORTED), "overtaken by what nodes hold", t -> {});
        }
        for (Migration migration : lost) {
            log.submit(
                    () -> state.migrationTransaction(
                            state.newRollbackMigration(migration),
                            SERVICE_INITIATOR,
                            turn.now(),
                            "left behind by a lost move"),
                    t -> add(t.migration()));
        }
    }

    private void commit(Migration next, String reason, Consumer<Transaction> completion) {
        log.submit(() -> state.migrationTransaction(next, SERVICE_INITIATOR, turn.now(), reason), completion);
    }

    /** Advances every migration as far as currently possible and removes the finished ones. */
    void advance() {
        inProgress.values().forEach(this::advance);
        inProgress.values().removeIf(active -> active.migration().state().isFinal());
    }

    private void advance(ActiveMigration active) {
        while (!active.awaitingCompletion && turn.now() >= active.notBefore) {
            MigrationStateMachine.NextStep next = active.stateMachine.next();
            if (next instanceof MigrationStateMachine.SendCommand sendCommand) {
                send(active, sendCommand);
            } else if (next instanceof MigrationStateMachine.Commit commit) {
                commit(active, commit);
            } else {
                return;
            }
        }
    }

    private void commit(ActiveMigration active, MigrationStateMachine.Commit commit) {
        active.awaitingCompletion = true;
        commit(active.migration().withState(commit.state()), commit.why(), t -> {
            active.awaitingCompletion = false;
            if (t == null) {
                active.stateMachine.abort("the extent changed meanwhile");
                return;
            }
            active.stateMachine.durable(t.migration());
            if (t.migration().state() == Migration.State.SWITCHED) {
                switchListener.accept(t.migration());
            }
        });
    }

    private void send(ActiveMigration active, MigrationStateMachine.SendCommand sendCommand) {
        if (sendCommand.step() == Step.TAKE) {
            if (copyBudget.available() < 0) {
                active.notBefore = turn.now() + copyBudget.microsUntilBalanced() + 1;
                return;
            }
            copyBudget.take(sendCommand.room());
        }
        NodeCommandClient.Node node = nodes.reachable(sendCommand.shard());
        if (node == null) {
            stepFailed(active);
            return;
        }
        Migration migration = active.migration();
        int extentBytes = state.map(migration.volume()).extentBytes();
        StepCommand command = new StepCommand(
                sendCommand.step(),
                migration.volume(),
                migration.extent(),
                extentBytes,
                sendCommand.version(),
                sendCommand.room(),
                sendCommand.data());
        active.awaitingCompletion = true;
        nodes.send(node, command, report -> handleReport(active, sendCommand, report));
    }

    private void stepFailed(ActiveMigration active) {
        active.stateMachine.failed();
        active.notBefore = turn.now() + RETRY_DELAY;
    }

    private void handleReport(
            ActiveMigration active, MigrationStateMachine.SendCommand sendCommand, CommandReport report) {
        active.awaitingCompletion = false;
        if (report == null) {
            stepFailed(active);
            return;
        }
        if (!report.ok()) {
            rollbacks.observe(state.epoch(), report.knownVersion(), "shard " + sendCommand.shard());
            active.notBefore = turn.now() + (sendCommand.step() == Step.FENCE ? FENCE_POLL_DELAY : RETRY_DELAY);
        } else if (sendCommand.step() == Step.TAKE) {
            int copied = report.data().remaining();
            copyBudget.giveBack(sendCommand.room() - copied);
            copiedBytes += copied;
        }
        active.stateMachine.reported(report);
    }

    /** Number of migrations that are not finished. */
    int inProgress() {
        return inProgress.size();
    }

    /** Bytes of pages copied since the service started. */
    long copiedBytes() {
        return copiedBytes;
    }

    /** When the next step is due, of migrations that do not wait for a report or commit. */
    long nextDeadline() {
        long next = Long.MAX_VALUE;
        for (ActiveMigration active : inProgress.values()) {
            if (!active.awaitingCompletion) {
                next = Math.min(next, Math.max(turn.now(), active.notBefore));
            }
        }
        return next;
    }
}
