package garnetreel.testbed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Order;
import garnetreel.codec.node.NodeMessage.Report;
import garnetreel.map.Migration;
import garnetreel.map.MigrationStateMachine;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * A migration with every participant killed, or its message lost, at every step and at every pair of steps: enumerated, not
 * sampled. A client writes between any two steps.
 */
class MoveKillsTest {
    private static final int BYTES = 8 * MemoryDisk.PAGE;
    private static final long VOLUME = 3;
    private static final long EXTENT = 2;
    private static final long BEGIN = EXTENT * BYTES;
    private static final int MAX_STEPS = 400;

    private enum Kill {
        SERVICE,
        OLD,
        NEW,
        ORDER_LOST,
        REPORT_LOST,
        SERVICE_AFTER_ORDER
    }

    private static final class Node {
        final MemoryDisk disk = new MemoryDisk();
        long life = 1;
        MigrationParticipant participant = new MigrationParticipant(disk, life);

        void crash() {
            disk.crash();
            participant = new MigrationParticipant(disk, ++life);
        }

        boolean serves(long version) {
            return disk.ownership().serves(VOLUME, BEGIN, version);
        }
    }

    private final class Run {
        final Node[] nodes = {new Node(), new Node()};
        final Map<Integer, Long> acknowledged = new TreeMap<>();
        Migration durable = new Migration(1, VOLUME, EXTENT, 0, 1, 1, 0, Migration.State.COPYING);
        MigrationStateMachine migration = new MigrationStateMachine(durable);
        long version = 1;
        int owner;
        long seq = 1L << 40;
        long stamp;
        int steps;

        Run() {
            // The new node has other extents of that size, so it can tell that it does not own this one.
            nodes[1].disk.ownership().entry(VOLUME, EXTENT, BYTES, false);
            for (int page = 0; page < 4; page++) {
                write(page);
            }
        }

        /** A client that knows the map writes a page; it is acknowledged if the node serves it. */
        void write(int page) {
            if (nodes[owner].serves(version)) {
                ByteBuffer data = ByteBuffer.allocate(MemoryDisk.PAGE).putLong(0, ++stamp);
                long offset = BEGIN + (long) page * MemoryDisk.PAGE;
                nodes[owner].disk.write(VOLUME, offset, data);
                nodes[owner].disk.ownership().markChanged(VOLUME, offset, MemoryDisk.PAGE);
                nodes[owner].disk.flush(0);
                acknowledged.put(page, stamp);
            }
        }

        void restartService() {
            migration = new MigrationStateMachine(durable);
            seq = (seq >> 40) + 1 << 40;
        }

        void play(Map<Integer, Kill> kills) throws DamagedPageException {
            while (!migration.migration().state().isFinal()) {
                assertTrue(++steps < MAX_STEPS, "stuck in " + migration.migration() + " with " + kills);
                Kill kill = kills.get(steps);
                if (kill == Kill.SERVICE) {
                    restartService();
                } else if (kill == Kill.OLD || kill == Kill.NEW) {
                    nodes[kill == Kill.OLD ? 0 : 1].crash();
                }
                step(kill);
                write(steps % 8);
                // Whoever knows the old version and whoever knows the new one: never both are served.
                assertFalse(nodes[0].serves(1) && nodes[1].serves(2), "two owners at step " + steps + " " + kills);
            }
            for (Map.Entry<Integer, Long> page : acknowledged.entrySet()) {
                ByteBuffer data = ByteBuffer.allocate(MemoryDisk.PAGE);
                nodes[owner].disk.read(VOLUME, BEGIN + (long) page.getKey() * MemoryDisk.PAGE, MemoryDisk.PAGE, data);
                assertEquals(page.getValue(), data.getLong(0), "page " + page.getKey() + " " + kills);
            }
            assertTrue(nodes[owner].serves(version), "nobody serves " + kills);
            assertFalse(nodes[1 - owner].serves(1) || nodes[1 - owner].serves(2), "the other one serves " + kills);
        }

        private void step(Kill kill) {
            MigrationStateMachine.NextStep next = migration.next();
            if (next instanceof MigrationStateMachine.Commit commit) {
                boolean switches = commit.state() == Migration.State.SWITCHED;
                durable = new Migration(
                        1, VOLUME, EXTENT, 0, 1, 1, switches || durable.newVersion() > 0 ? 2 : 0, commit.state());
                if (switches) {
                    version = 2;
                    owner = 1;
                }
                if (kill == Kill.SERVICE_AFTER_ORDER || kill == Kill.REPORT_LOST) {
                    restartService(); // durable, and the service dies before it has seen so
                } else {
                    migration.durable(durable);
                }
            } else if (next instanceof MigrationStateMachine.SendCommand ask) {
                if (kill == Kill.ORDER_LOST) {
                    migration.failed();
                    return;
                }
                Order order =
                        new Order(++seq, ask.step(), VOLUME, EXTENT, BYTES, ask.version(), ask.room(), ask.data());
                Report report = nodes[ask.shard()].participant.execute(order, false);
                if (kill == Kill.REPORT_LOST) {
                    migration.failed();
                } else if (kill == Kill.SERVICE_AFTER_ORDER) {
                    restartService();
                } else {
                    migration.reported(report);
                }
            }
        }
    }

    private int length() throws DamagedPageException {
        Run run = new Run();
        run.play(Map.of());
        assertEquals(Migration.State.DONE, run.durable.state());
        assertEquals(1, run.owner);
        return run.steps;
    }

    @Test
    void oneKillAtEachStep() throws DamagedPageException {
        int steps = length();
        assertTrue(steps > 10, "a move of " + steps + " steps");
        for (int at = 1; at <= steps; at++) {
            for (Kill kill : Kill.values()) {
                new Run().play(Map.of(at, kill));
            }
        }
    }

    @Test
    void twoKillsAtEachPairOfSteps() throws DamagedPageException {
        int steps = length() + 12; // the first kill makes the move longer
        for (int first = 1; first <= steps; first++) {
            for (int second = first + 1; second <= steps; second++) {
                for (Kill one : Kill.values()) {
                    for (Kill other : Kill.values()) {
                        new Run().play(Map.of(first, one, second, other));
                    }
                }
            }
        }
    }

    @Test
    void abortAtEachStepBeforeTheSwitchLeavesTheOldOwner() throws DamagedPageException {
        int steps = length();
        for (int at = 0; at < steps; at++) {
            Run run = new Run();
            while (run.steps < at && !run.durable.state().isFinal()) {
                run.steps++;
                run.step(null);
                run.write(run.steps % 8);
            }
            boolean switched = run.version == 2;
            run.migration.abort("tried");
            run.play(Map.of());
            assertEquals(
                    switched ? Migration.State.DONE : Migration.State.ABORTED,
                    run.durable.state(),
                    "abort after " + at);
        }
    }

    @Test
    void orderOfAnEarlierLifeDoesNotLiftAFence() {
        Run run = new Run();
        long early = run.seq + 1;
        while (run.durable.state() != Migration.State.SWITCHED) {
            run.step(null);
        }
        Report late = run.nodes[0].participant.execute(
                new Order(early, NodeMessage.Step.TRACK, VOLUME, EXTENT, BYTES, 1, 0, ByteBuffer.allocate(0)), false);
        assertFalse(late.ok());
        assertFalse(run.nodes[0].serves(1));
    }
}
