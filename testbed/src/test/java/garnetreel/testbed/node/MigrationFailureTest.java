package garnetreel.testbed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.CommandReport;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.map.Migration;
import garnetreel.map.MigrationStateMachine;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * A migration must neither lose acknowledged writes nor have two holders when a participant crashes or a message is lost.
 * All failures are tried exhaustively at each step and at each pair of steps. A client writes between any two steps.
 */
class MigrationFailureTest {
    private static final int EXTENT_BYTES = 8 * MemoryDisk.PAGE_BYTES;
    private static final long VOLUME = 3;
    private static final long EXTENT = 2;
    private static final long EXTENT_OFFSET = EXTENT * EXTENT_BYTES;
    private static final int MAX_STEPS = 400;

    private enum Failure {
        SERVICE_CRASH,
        SOURCE_CRASH,
        TARGET_CRASH,
        COMMAND_LOST,
        REPORT_LOST,
        SERVICE_CRASH_AFTER_COMMAND
    }

    private static final class Node {
        final MemoryDisk disk = new MemoryDisk();
        long incarnation = 1;
        MigrationParticipant participant = new MigrationParticipant(disk, incarnation);

        void crash() {
            disk.crash();
            participant = new MigrationParticipant(disk, ++incarnation);
        }

        boolean serves(long version) {
            return disk.extents().serves(VOLUME, EXTENT_OFFSET, version);
        }
    }

    private final class MigrationRun {
        final Node[] nodes = {new Node(), new Node()};
        final Map<Integer, Long> acknowledged = new TreeMap<>();
        Migration durable = new Migration(1, VOLUME, EXTENT, 0, 1, 1, 0, Migration.State.COPYING);
        MigrationStateMachine migration = new MigrationStateMachine(durable);
        long version = 1;
        int holder;
        long seq = 1L << 40;
        long lastValue;
        int steps;

        MigrationRun() {
            // Gives the target node the extent size, so that it knows that it does not hold this extent.
            nodes[1].disk.extents().entry(VOLUME, EXTENT, EXTENT_BYTES, false);
            for (int page = 0; page < 4; page++) {
                write(page);
            }
        }

        /** A client that knows the current map writes a page; the write is acknowledged if the node serves the extent. */
        void write(int page) {
            if (nodes[holder].serves(version)) {
                ByteBuffer data = ByteBuffer.allocate(MemoryDisk.PAGE_BYTES).putLong(0, ++lastValue);
                long offset = EXTENT_OFFSET + (long) page * MemoryDisk.PAGE_BYTES;
                nodes[holder].disk.write(VOLUME, offset, data);
                nodes[holder].disk.extents().markChanged(VOLUME, offset, MemoryDisk.PAGE_BYTES);
                nodes[holder].disk.flush(0);
                acknowledged.put(page, lastValue);
            }
        }

        void restartService() {
            migration = new MigrationStateMachine(durable);
            seq = (seq >> 40) + 1 << 40;
        }

        void runToEnd(Map<Integer, Failure> failures) throws DamagedPageException {
            while (!migration.migration().state().isFinal()) {
                assertTrue(++steps < MAX_STEPS, "stuck in " + migration.migration() + " with failures " + failures);
                Failure failure = failures.get(steps);
                if (failure == Failure.SERVICE_CRASH) {
                    restartService();
                } else if (failure == Failure.SOURCE_CRASH || failure == Failure.TARGET_CRASH) {
                    nodes[failure == Failure.SOURCE_CRASH ? 0 : 1].crash();
                }
                step(failure);
                write(steps % 8);
                // Clients with the old version and clients with the new version must never both be served.
                assertFalse(nodes[0].serves(1) && nodes[1].serves(2), "two holders at step " + steps + " " + failures);
            }
            for (Map.Entry<Integer, Long> page : acknowledged.entrySet()) {
                ByteBuffer data = ByteBuffer.allocate(MemoryDisk.PAGE_BYTES);
                nodes[holder].disk.read(
                        VOLUME,
                        EXTENT_OFFSET + (long) page.getKey() * MemoryDisk.PAGE_BYTES,
                        MemoryDisk.PAGE_BYTES,
                        data);
                assertEquals(page.getValue(), data.getLong(0), "page " + page.getKey() + " " + failures);
            }
            assertTrue(nodes[holder].serves(version), "the holder does not serve the extent " + failures);
            assertFalse(
                    nodes[1 - holder].serves(1) || nodes[1 - holder].serves(2),
                    "the other node serves the extent " + failures);
        }

        private void step(Failure failure) {
            MigrationStateMachine.NextStep next = migration.next();
            if (next instanceof MigrationStateMachine.Commit commit) {
                boolean switches = commit.state() == Migration.State.SWITCHED;
                durable = new Migration(
                        1, VOLUME, EXTENT, 0, 1, 1, switches || durable.newVersion() > 0 ? 2 : 0, commit.state());
                if (switches) {
                    version = 2;
                    holder = 1;
                }
                if (failure == Failure.SERVICE_CRASH_AFTER_COMMAND || failure == Failure.REPORT_LOST) {
                    restartService(); // the commit is durable, but the service crashes before it is notified
                } else {
                    migration.durable(durable);
                }
            } else if (next instanceof MigrationStateMachine.SendCommand sendCommand) {
                if (failure == Failure.COMMAND_LOST) {
                    migration.failed();
                    return;
                }
                ControlCommand command = new ControlCommand(
                        ++seq,
                        sendCommand.step(),
                        VOLUME,
                        EXTENT,
                        EXTENT_BYTES,
                        sendCommand.version(),
                        sendCommand.room(),
                        sendCommand.data());
                CommandReport report = nodes[sendCommand.shard()].participant.execute(command, false);
                if (failure == Failure.REPORT_LOST) {
                    migration.failed();
                } else if (failure == Failure.SERVICE_CRASH_AFTER_COMMAND) {
                    restartService();
                } else {
                    migration.reported(report);
                }
            }
        }
    }

    private int countSteps() throws DamagedPageException {
        MigrationRun run = new MigrationRun();
        run.runToEnd(Map.of());
        assertEquals(Migration.State.DONE, run.durable.state());
        assertEquals(1, run.holder);
        return run.steps;
    }

    @Test
    void oneFailureAtEachStep() throws DamagedPageException {
        int steps = countSteps();
        assertTrue(steps > 10, "the migration has only " + steps + " steps");
        for (int at = 1; at <= steps; at++) {
            for (Failure failure : Failure.values()) {
                new MigrationRun().runToEnd(Map.of(at, failure));
            }
        }
    }

    @Test
    void twoFailuresAtEachPairOfSteps() throws DamagedPageException {
        int steps = countSteps() + 12; // the first failure adds steps to the migration
        for (int first = 1; first <= steps; first++) {
            for (int second = first + 1; second <= steps; second++) {
                for (Failure firstFailure : Failure.values()) {
                    for (Failure secondFailure : Failure.values()) {
                        new MigrationRun().runToEnd(Map.of(first, firstFailure, second, secondFailure));
                    }
                }
            }
        }
    }

    @Test
    void abortAtEachStepBeforeTheSwitchKeepsTheSourceAsHolder() throws DamagedPageException {
        int steps = countSteps();
        for (int at = 0; at < steps; at++) {
            MigrationRun run = new MigrationRun();
            while (run.steps < at && !run.durable.state().isFinal()) {
                run.steps++;
                run.step(null);
                run.write(run.steps % 8);
            }
            boolean switched = run.version == 2;
            run.migration.abort("test");
            run.runToEnd(Map.of());
            assertEquals(
                    switched ? Migration.State.DONE : Migration.State.ABORTED,
                    run.durable.state(),
                    "abort after " + at);
        }
    }

    @Test
    void delayedCommandOfAnEarlierServiceIncarnationDoesNotLiftAFence() {
        MigrationRun run = new MigrationRun();
        long earlySeq = run.seq + 1;
        while (run.durable.state() != Migration.State.SWITCHED) {
            run.step(null);
        }
        CommandReport report = run.nodes[0].participant.execute(
                new ControlCommand(
                        earlySeq, NodeMessage.Step.TRACK, VOLUME, EXTENT, EXTENT_BYTES, 1, 0, ByteBuffer.allocate(0)),
                false);
        assertFalse(report.ok());
        assertFalse(run.nodes[0].serves(1));
    }
}
