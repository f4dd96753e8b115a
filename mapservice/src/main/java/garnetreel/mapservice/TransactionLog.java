package garnetreel.mapservice;

import garnetreel.core.io.NetAction;
import garnetreel.map.ExtentChangedException;
import garnetreel.map.MapState;
import garnetreel.map.MigrationRejectedException;
import garnetreel.map.Transaction;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Writes transactions to the journal one at a time and applies each to the state once it is durable; nothing is
 * published or acted on before that. A transaction is created only when the preceding one has been applied, since it
 * builds on it.
 */
final class TransactionLog {
    /** Size of a migrated extent in a snapshot, in bytes. */
    private static final int BYTES_PER_MIGRATED_EXTENT = 20;
    /**
     * A snapshot is written after at least one transaction per this many migrated extents, so that snapshots of a large
     * map add at most about 20 * 20 = 400 bytes to the writing of each transaction.
     */
    private static final int EXTENTS_PER_TRANSACTION = 20;

    /** Is notified of each applied transaction, before the completion callback of its submitter. */
    @FunctionalInterface
    interface AppliedListener {
        void applied(Transaction transaction, long epochBefore);
    }

    private record PendingTransaction(Supplier<Transaction> factory, Consumer<Transaction> completion) {}

    private final TurnContext turn;
    private final MapState state;
    private final int snapshotInterval;
    private final AppliedListener listener;
    private final ArrayDeque<PendingTransaction> pending = new ArrayDeque<>();
    /** The transaction that is being written to the journal, or null. */
    private Transaction inFlight;

    private Consumer<Transaction> inFlightCompletion;
    private long nextSnapshotSeq;

    TransactionLog(TurnContext turn, MapState state, int snapshotInterval, AppliedListener listener) {
        this.turn = turn;
        this.state = state;
        this.snapshotInterval = snapshotInterval;
        this.listener = listener;
        this.nextSnapshotSeq = state.seq() + snapshotInterval;
    }

    /**
     * Appends a transaction to the queue.
     *
     * @param factory creates the transaction when it reaches the head of the queue
     * @param completion receives the transaction once it is durable and applied, or null if it was rejected
     */
    void submit(Supplier<Transaction> factory, Consumer<Transaction> completion) {
        pending.add(new PendingTransaction(factory, completion));
    }

    /** Writes the next transaction to the journal, unless one is in flight. */
    void write() {
        while (inFlight == null && !pending.isEmpty()) {
            PendingTransaction next = pending.poll();
            try {
                inFlight = next.factory().get();
            } catch (ExtentChangedException | MigrationRejectedException e) {
                turn.warn("transaction not committed: " + e.getMessage());
                next.completion().accept(null);
                continue;
            }
            inFlightCompletion = next.completion();
            turn.add(new NetAction.Append(inFlight.seq(), inFlight.bytes()));
        }
    }

    /** Handles the journal's notification that a record is durable. */
    void appended(long seq) {
        if (inFlight == null || seq != inFlight.seq()) {
            return;
        }
        Transaction durable = inFlight;
        inFlight = null;
        long epochBefore = state.epoch();
        state.apply(durable);
        listener.applied(durable, epochBefore);
        inFlightCompletion.accept(durable);
        writeSnapshotWhenDue();
    }

    /**
     * Bounds how much of the journal a restart has to read. The cost of a snapshot grows with the map, so that of a
     * large map is written less often, see {@link #EXTENTS_PER_TRANSACTION}.
     */
    private void writeSnapshotWhenDue() {
        if (state.seq() < nextSnapshotSeq) {
            return;
        }
        byte[] snapshot = state.snapshot();
        int minTransactions = snapshot.length / BYTES_PER_MIGRATED_EXTENT / EXTENTS_PER_TRANSACTION;
        nextSnapshotSeq = state.seq() + Math.max(snapshotInterval, minTransactions);
        turn.add(new NetAction.Snapshot(state.seq(), snapshot, MapState.HISTORY_LIMIT));
    }
}
