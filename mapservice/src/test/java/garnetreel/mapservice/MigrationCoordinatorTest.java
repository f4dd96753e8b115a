package garnetreel.mapservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.ControlCommand;
import garnetreel.codec.node.NodeMessage.Step;
import garnetreel.core.io.NetAction;
import garnetreel.map.Migration;
import garnetreel.map.MigrationStateMachine;
import garnetreel.map.Transaction;
import garnetreel.mapservice.ServiceFixture.Sent;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class MigrationCoordinatorTest {
    private static final int COPY_RATE = 1 << 20;
    private static final ByteBuffer NO_DATA = NodeMessage.noData();

    private final ServiceFixture fixture = new ServiceFixture();
    private final List<Migration> switched = new ArrayList<>();
    private final List<Migration> started = new ArrayList<>();
    private final TransactionLog log =
            new TransactionLog(fixture.turn, fixture.state, 1_000, (transaction, epochBefore) -> {});
    private final MigrationCoordinator migrations = new MigrationCoordinator(
            fixture.turn, fixture.state, fixture.nodes, log, fixture.rollbacks, COPY_RATE, switched::add);

    MigrationCoordinatorTest() {
        migrations.start();
    }

    private void begin(long extent, int to) {
        migrations.begin(ServiceFixture.VOLUME, extent, to, "test", "asked for", started::add);
        fixture.commitAll(log);
    }

    /** Advances and commits until every migration waits for a node or a delay; returns the commands that were sent. */
    private List<Sent<NodeMessage>> advance() {
        List<NetAction> taken = new ArrayList<>();
        long seq;
        do {
            seq = fixture.state.seq();
            migrations.advance();
            fixture.commitAll(log);
            taken.addAll(fixture.actions());
        } while (seq != fixture.state.seq());
        return ServiceFixture.toNodes(taken);
    }

    /** Answers every command with ok and no pages until none follows; returns the steps and their shards in order. */
    private List<String> runToCompletion() {
        List<String> steps = new ArrayList<>();
        for (List<Sent<NodeMessage>> sent = advance(); !sent.isEmpty(); sent = advance()) {
            for (Sent<NodeMessage> command : sent) {
                steps.add(step(command));
                fixture.report(command, true, false, 0, NO_DATA);
            }
        }
        return steps;
    }

    private static String step(Sent<NodeMessage> command) {
        return ((ControlCommand) command.message()).step() + "@" + (-1 - command.connectionId());
    }

    private List<String> history() {
        List<String> history = new ArrayList<>();
        for (Transaction t : fixture.state.history()) {
            history.add(t.who() + ": " + t.migration().state().label() + ", " + t.why());
        }
        return history;
    }

    @Test
    void migrationPerformsItsStepsAndFinishes() {
        fixture.connectNodes();
        begin(4, 1);
        assertEquals(1, migrations.inProgress());
        assertEquals(
                List.of("TRACK@0", "RECEIVE@1", "TAKE@0", "FENCE@0", "TAKE@0", "SERVE@1", "RELEASE@0"),
                runToCompletion());
        assertEquals(
                List.of(
                        "test: copying, asked for",
                        "mapd: fencing, copied",
                        "mapd: switched, copied and fenced",
                        "mapd: done, released"),
                history());
        assertEquals(1, fixture.state.map(ServiceFixture.VOLUME).shard(4));
        assertEquals(0, migrations.inProgress());
        assertEquals(1, switched.size());
        assertEquals(2, switched.get(0).newVersion());
        assertEquals(Long.MAX_VALUE, migrations.nextDeadline());
    }

    @Test
    void abortedMigrationLeavesTheExtentAtItsOldShard() {
        fixture.connectNodes();
        begin(4, 1);
        assertFalse(migrations.abort(99, "no such"));
        assertTrue(migrations.abort(1, "asked for by somebody"));
        assertEquals(List.of("UNFENCE@0", "FORGET@1"), runToCompletion());
        assertEquals(
                List.of(
                        "test: copying, asked for",
                        "mapd: aborting, asked for by somebody",
                        "mapd: aborted, back at the old holder"),
                history());
        assertEquals(0, fixture.state.map(ServiceFixture.VOLUME).shard(4));
    }

    @Test
    void drainingAShardAbortsMigrationsToIt() {
        fixture.connectNodes();
        begin(4, 1);
        begin(5, 0);
        migrations.shardDraining(1);
        runToCompletion();
        assertEquals(0, fixture.state.map(ServiceFixture.VOLUME).shard(4));
        assertEquals(0, fixture.state.map(ServiceFixture.VOLUME).shard(5));
        assertTrue(history().contains("mapd: aborting, its new shard drains"));
    }

    @Test
    void commandToAnUnreachableNodeIsRetriedAfterTheDelay() {
        begin(4, 1);
        assertEquals(List.of(), advance());
        assertEquals(100_000, migrations.nextDeadline());
        fixture.connectNodes();
        assertEquals(List.of(), advance(), "not before the retry delay");
        fixture.beginTurnAt(100_000);
        assertEquals("TRACK@0", step(advance().get(0)));
    }

    @Test
    void commandWithoutAReportIsRetriedAfterItsTimeout() {
        fixture.connectNodes();
        begin(4, 1);
        assertEquals("TRACK@0", step(advance().get(0)));
        fixture.beginTurnAt(ServiceFixture.COMMAND_TIMEOUT);
        fixture.nodes.expire();
        assertEquals(ServiceFixture.COMMAND_TIMEOUT + 100_000, migrations.nextDeadline());
        fixture.beginTurnAt(ServiceFixture.COMMAND_TIMEOUT + 100_000);
        assertEquals("TRACK@0", step(advance().get(0)));
    }

    @Test
    void unfinishedFenceIsPolledSoonerThanOtherRefusalsAreRetried() {
        fixture.connectNodes();
        begin(4, 1);
        fixture.report(advance().get(0), false, false, 0, NO_DATA);
        assertEquals(100_000, migrations.nextDeadline());
        fixture.beginTurnAt(100_000);
        Sent<NodeMessage> command = advance().get(0);
        while (((ControlCommand) command.message()).step() != Step.FENCE) {
            fixture.report(command, true, false, 0, NO_DATA);
            command = advance().get(0);
        }
        fixture.report(command, false, true, 0, NO_DATA);
        assertEquals(102_000, migrations.nextDeadline());
    }

    @Test
    void migrationsShareOneCopyRate() {
        fixture.connectNodes();
        begin(4, 1);
        fixture.report(advance().get(0), true, false, 0, NO_DATA);
        fixture.report(advance().get(0), true, false, 0, NO_DATA);
        Sent<NodeMessage> take = advance().get(0);
        assertEquals("TAKE@0", step(take));
        assertEquals(MigrationStateMachine.BATCH_BYTES, ((ControlCommand) take.message()).maxBytes());
        fixture.report(take, true, true, 0, ByteBuffer.allocate(MigrationStateMachine.BATCH_BYTES / 2));
        assertEquals(MigrationStateMachine.BATCH_BYTES / 2, migrations.copiedBytes());
        Sent<NodeMessage> put = advance().get(0);
        assertEquals("PUT@1", step(put));
        fixture.report(put, true, false, 0, NO_DATA);
        assertEquals(List.of(), advance(), "the copy rate is overdrawn by half a batch, and no time has passed");
        long repaidAt = MigrationStateMachine.BATCH_BYTES / 2 * 1_000_000L / COPY_RATE;
        assertEquals(repaidAt + 1, migrations.nextDeadline());
        fixture.beginTurnAt(repaidAt + 1);
        migrations.refill();
        assertEquals("TAKE@0", step(advance().get(0)));
    }

    @Test
    void nodeWithANewerVersionRevealsARollback() {
        fixture.connectNodes();
        begin(4, 1);
        fixture.report(advance().get(0), false, false, 9, NO_DATA);
        assertTrue(fixture.rollbacks.rolledBack());
        begin(6, 1);
        assertNull(started.get(1));
        assertEquals(
                List.of(
                        "shard 0 has map version 9 of epoch 1, but this service has version 1 of epoch 1: its state was"
                                + " rolled back; migrations are blocked until \"map adopt\" is run",
                        "transaction not committed: the service's state was rolled back; migrations are"
                                + " blocked until \"map adopt\" is run"),
                fixture.logged());
    }

    @Test
    void restartResumesUnfinishedMigrations() {
        Migration migration = fixture.state.newMigration(ServiceFixture.VOLUME, 4, 1);
        fixture.state.apply(fixture.state.migrationTransaction(migration, "test", 0, "asked for"));
        fixture.connectNodes();
        migrations.resume();
        assertEquals(1, migrations.inProgress());
        runToCompletion();
        assertEquals(1, fixture.state.map(ServiceFixture.VOLUME).shard(4));
    }

    @Test
    void adoptionAbortsActiveMigrationsAndRollsBackLostOnes() {
        fixture.connectNodes();
        begin(4, 1);
        migrations.adopted(List.of(new Migration(0, ServiceFixture.VOLUME, 6, 0, 1, 1, 0, Migration.State.ABORTING)));
        fixture.commitAll(log);
        assertEquals(
                List.of(
                        "test: copying, asked for",
                        "mapd: aborted, overtaken by what nodes hold",
                        "mapd: aborting, left behind by a lost move"),
                history());
        assertEquals(1, migrations.inProgress());
        assertEquals(List.of("UNFENCE@0", "FORGET@1"), runToCompletion());
        assertEquals(List.of(), fixture.state.migrations());
    }
}
