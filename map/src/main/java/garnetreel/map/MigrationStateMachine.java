package garnetreel.map;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.Step;
import java.nio.ByteBuffer;

/**
 * The protocol of one migration, without I/O. Its inputs are reports of nodes and the notification that a state is
 * durable; its output is one command to one node, or a state to be made durable. Commands are idempotent and each state
 * can be started again, so any participant may be killed at any step.
 *
 * <p>No write is lost or executed twice, without assumptions about clocks:
 * <ul>
 * <li>At most one node serves an extent at a time: the old holder until its fence is durable, the new holder once the
 *     switch is durable at the service, which happens only after the fence was reported.
 * <li>A node reports a fence only when no request for the extent is being executed. So the old holder's pages then hold
 *     all acknowledged writes, and the pages not yet copied are read after that report, and durable at the new holder
 *     before the switch.
 * <li>A request that reaches a fenced extent, or has the wrong version, is answered STALE and has not been executed.
 * <li>An old holder that cannot be reached cannot be fenced, so the migration waits or is aborted: it never switches.
 * </ul>
 */
public final class MigrationStateMachine {
    /** Maximum bytes of pages that one TAKE returns. */
    public static final int BATCH_BYTES = 256 << 10;
    /**
     * Failed steps after which a migration that has not switched is aborted; counted since its last durable state or
     * successful fence.
     */
    private static final int MAX_FAILURES = 40;
    /**
     * Polls, some milliseconds apart, of a fence that waits for requests to finish; after these the fence counts as
     * failed.
     */
    private static final int MAX_FENCE_POLLS = 2_000;
    /**
     * Maximum number of batches copied before the fence, over all restarts of the copy: an extent that changes as fast
     * as it is copied would never be fenced. A copy that restarts at the maximum is fenced after one more batch.
     */
    private static final int MAX_BATCHES = 4_096;

    /** What the service is to do next. */
    public sealed interface NextStep {}

    /**
     * Send a command to a shard's node, and then call {@link #reported} or {@link #failed}.
     *
     * @param room maximum bytes of pages in the report
     * @param data pages to put; empty for other steps
     */
    public record SendCommand(int shard, Step step, long version, int room, ByteBuffer data) implements NextStep {}

    /** Make a state durable, and then call {@link #durable}. SWITCHED also assigns the extent to the new holder. */
    public record Commit(Migration.State state, String why) implements NextStep {}

    /** The migration has ended. */
    public record Finished() implements NextStep {}

    /**
     * Phases of the durable states; in most, the {@link Step} of the same name is sent to a node. After a restart a
     * state begins again from {@link #firstPhase}.
     */
    private enum Phase {
        TRACK,
        RECEIVE,
        TAKE,
        PUT,
        FENCE,
        LAST_TAKE,
        LAST_PUT,
        SERVE,
        RELEASE,
        UNFENCE,
        FORGET,
        /** All commands of the state have succeeded: its final state is to be made durable. */
        COMPLETE
    }

    private Migration migration;
    private Phase phase;
    private ByteBuffer pages = NodeMessage.noData();
    private boolean morePages;
    private long newHolderIncarnation;
    private int failures;
    private int fencePolls;
    private int batches;
    /** Why the migration is to be aborted; null if no abort was requested. */
    private String abortReason;

    /** Begins a migration, or resumes one from its durable state after a restart. */
    public MigrationStateMachine(Migration migration) {
        this.migration = migration;
        this.phase = firstPhase(migration.state());
    }

    private static Phase firstPhase(Migration.State state) {
        return switch (state) {
                // The old holder may have been fenced before the restart: TRACK makes it serve again, and the copy
                // restarts.
            case COPYING, FENCING -> Phase.TRACK;
            case SWITCHED -> Phase.SERVE;
            case ABORTING -> Phase.UNFENCE;
            case DONE, ABORTED -> Phase.COMPLETE;
        };
    }

    /** The migration with its last durable state. */
    public Migration migration() {
        return migration;
    }

    /** Requests that the migration be aborted; without effect after the switch. */
    public void abort(String why) {
        abortReason = why;
    }

    /** The next step; the same one until {@link #reported}, {@link #failed} or {@link #durable} is called. */
    public NextStep next() {
        if (migration.state().isFinal()) {
            return new Finished();
        }
        if (beforeSwitch() && phase != Phase.COMPLETE) {
            if (abortReason != null) {
                return new Commit(Migration.State.ABORTING, abortReason);
            }
            if (failures >= MAX_FAILURES) {
                return new Commit(Migration.State.ABORTING, "given up after " + MAX_FAILURES + " failures");
            }
        }
        return switch (phase) {
            case TRACK -> toOldHolder(Step.TRACK);
            case RECEIVE -> toNewHolder(Step.RECEIVE);
            case TAKE, LAST_TAKE -> new SendCommand(
                    migration.from(), Step.TAKE, migration.oldVersion(), BATCH_BYTES, NodeMessage.noData());
            case PUT, LAST_PUT -> new SendCommand(
                    migration.to(), Step.PUT, migration.oldVersion(), 0, pages.duplicate());
            case FENCE -> migration.state() == Migration.State.COPYING
                    ? new Commit(Migration.State.FENCING, "copied")
                    : toOldHolder(Step.FENCE);
            case SERVE -> migration.state() == Migration.State.FENCING
                    ? new Commit(Migration.State.SWITCHED, "copied and fenced")
                    : new SendCommand(migration.to(), Step.SERVE, migration.newVersion(), 0, NodeMessage.noData());
            case RELEASE -> new SendCommand(
                    migration.from(), Step.RELEASE, migration.newVersion(), 0, NodeMessage.noData());
            case UNFENCE -> toOldHolder(Step.UNFENCE);
            case FORGET -> toNewHolder(Step.FORGET);
            case COMPLETE -> migration.state() == Migration.State.ABORTING
                    ? new Commit(Migration.State.ABORTED, "back at the old holder")
                    : new Commit(Migration.State.DONE, "released");
        };
    }

    private boolean beforeSwitch() {
        return migration.state() == Migration.State.COPYING || migration.state() == Migration.State.FENCING;
    }

    private SendCommand toOldHolder(Step step) {
        return new SendCommand(migration.from(), step, migration.oldVersion(), 0, NodeMessage.noData());
    }

    private SendCommand toNewHolder(Step step) {
        return new SendCommand(migration.to(), step, migration.oldVersion(), 0, NodeMessage.noData());
    }

    /** Handles a node's report of the command that {@link #next} returned. */
    public void reported(CommandReport report) {
        if (report.ok()) {
            succeeded(report);
        } else if (!fenceHolds(report)) {
            commandRejected();
        }
    }

    /** Whether the fence is in force and only waits for requests in execution: then it is polled again. */
    private boolean fenceHolds(CommandReport report) {
        return phase == Phase.FENCE && report.hasMore() && ++fencePolls < MAX_FENCE_POLLS;
    }

    private void succeeded(CommandReport report) {
        switch (phase) {
            case TRACK -> phase = Phase.RECEIVE;
            case RECEIVE -> {
                newHolderIncarnation = report.incarnation();
                phase = Phase.TAKE;
            }
            case TAKE -> {
                pagesTaken(report);
                phase = pages.hasRemaining() ? Phase.PUT : Phase.FENCE;
            }
            case LAST_TAKE -> {
                pagesTaken(report);
                phase = pages.hasRemaining() ? Phase.LAST_PUT : Phase.SERVE;
            }
            case PUT, LAST_PUT -> pagesPut(report);
            case FENCE -> {
                failures = 0;
                phase = Phase.LAST_TAKE;
            }
            case SERVE -> phase = Phase.RELEASE;
            case UNFENCE -> {
                failures = 0;
                phase = Phase.FORGET;
            }
            case RELEASE, FORGET -> phase = Phase.COMPLETE;
            case COMPLETE -> throw new IllegalStateException("received a node report while no command was outstanding");
        }
    }

    private void pagesTaken(CommandReport report) {
        pages = report.data();
        morePages = report.hasMore();
    }

    private void pagesPut(CommandReport report) {
        if (report.incarnation() != newHolderIncarnation) {
            // The new holder has restarted and may have lost the pages that it was sent before.
            restartCopy();
        } else if (phase == Phase.PUT) {
            // Pages that change during the copy are copied again; past the limit the extent is fenced with some left to
            // copy.
            phase = morePages && ++batches < MAX_BATCHES ? Phase.TAKE : Phase.FENCE;
        } else {
            phase = Phase.LAST_TAKE;
        }
    }

    private void commandRejected() {
        failures++;
        switch (phase) {
                // The command is repeated: its failure can only be temporary.
            case TRACK, RECEIVE, SERVE, RELEASE, UNFENCE, FORGET -> {}
                // One of the two nodes no longer knows the migration, or the fence waited too long.
            default -> restartCopy();
        }
    }

    private void restartCopy() {
        fencePolls = 0;
        phase = Phase.TRACK;
        pages = NodeMessage.noData();
    }

    /** Handles a command whose node could not be reached, or whose connection ended before the report. */
    public void failed() {
        failures++;
        // A fence may be in force although its report is missing; it is repeated, as a restarted copy would lift it.
        if (phase != Phase.FENCE && beforeSwitch()) {
            restartCopy();
        }
    }

    /** Handles the notification that a state is durable. */
    public void durable(Migration committed) {
        Migration.State before = migration.state();
        migration = committed;
        failures = 0;
        switch (committed.state()) {
            case FENCING -> {
                if (before == Migration.State.COPYING) {
                    phase = Phase.FENCE;
                }
            }
            case SWITCHED -> phase = Phase.SERVE;
            case ABORTING -> phase = Phase.UNFENCE;
            default -> phase = Phase.COMPLETE;
        }
    }
}
