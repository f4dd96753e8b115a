package garnetreel.mapservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage;
import garnetreel.codec.map.MapMessage.Busy;
import garnetreel.codec.map.MapMessage.Change;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.Command;
import garnetreel.codec.map.MapMessage.Result;
import garnetreel.codec.map.MapMessage.Subscribe;
import garnetreel.core.io.NetAction;
import garnetreel.map.Migration;
import garnetreel.mapservice.ServiceFixture.Sent;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class MapClientConnectionsTest {
    private static final long SECOND = 1_000_000;

    private final ServiceFixture fixture = new ServiceFixture();
    private final List<String> commands = new ArrayList<>();
    private final List<Consumer<Result>> answers = new ArrayList<>();
    private final MapClientConnections clients =
            new MapClientConnections(fixture.turn, fixture.state, fixture.rollbacks, 2, (command, answer) -> {
                commands.add(command.text());
                answers.add(answer);
            });

    MapClientConnectionsTest() {
        clients.start();
        advanceTo(SECOND);
    }

    private void advanceTo(long time) {
        fixture.beginTurnAt(time);
        clients.refill();
    }

    private void receive(long connectionId, MapMessage message) {
        if (!clients.owns(connectionId)) {
            clients.accepted(connectionId);
        }
        clients.received(connectionId, MapCodec.frame(message));
    }

    private List<Sent<MapMessage>> sent() {
        return ServiceFixture.toClients(fixture.actions());
    }

    private void switchExtent(long extent, int to) {
        Migration migration = fixture.state.newMigration(ServiceFixture.VOLUME, extent, to);
        fixture.state.apply(fixture.state.migrationTransaction(migration, "test", 0, ""));
        fixture.state.apply(
                fixture.state.migrationTransaction(migration.withState(Migration.State.SWITCHED), "test", 0, ""));
    }

    @Test
    void subscriberReceivesASnapshotAndThenChanges() {
        receive(1, new Subscribe(0, 0, 0));
        clients.accepted(2);
        assertEquals(List.of(new Sent<MapMessage>(1, ServiceFixture.INITIAL)), sent());
        assertEquals(1, clients.subscriberCount());
        switchExtent(4, 1);
        clients.publishChanges(1);
        Changes changes = new Changes(1, 1, 2, List.of(new Change(ServiceFixture.VOLUME, 4, 1, 2)));
        assertEquals(
                List.of(new Sent<MapMessage>(1, changes)),
                sent(),
                "connections that have not subscribed receive nothing");
        switchExtent(6, 1);
        clients.publishChanges(1);
        changes = new Changes(1, 2, 3, List.of(new Change(ServiceFixture.VOLUME, 6, 1, 3)));
        assertEquals(List.of(new Sent<MapMessage>(1, changes)), sent());
    }

    @Test
    void newEpochIsPublishedAsASnapshot() {
        receive(1, new Subscribe(0, 1, 1));
        sent();
        fixture.state.apply(fixture.state.newEpoch("test", 0, ""));
        clients.publishChanges(1);
        assertEquals(List.of(new Sent<MapMessage>(1, fixture.state.mapSnapshot())), sent());
    }

    @Test
    void subscribersAboveTheRateReceiveABusyMessage() {
        for (int connectionId = 1; connectionId <= 3; connectionId++) {
            receive(connectionId, new Subscribe(connectionId, 1, 1));
        }
        Changes noChanges = new Changes(1, 1, 1, List.of());
        assertEquals(
                List.of(new Sent<>(1, noChanges), new Sent<>(2, noChanges), new Sent<MapMessage>(3, new Busy(500_000))),
                sent());
        assertEquals(2, clients.subscriberCount());
        advanceTo(SECOND + 499_999);
        receive(3, new Subscribe(3, 1, 1));
        advanceTo(SECOND + 500_000);
        receive(3, new Subscribe(3, 1, 1));
        assertEquals(List.of(new Sent<>(3, new Busy(500_000)), new Sent<MapMessage>(3, noChanges)), sent());
    }

    @Test
    void keepAliveGoesToSubscribersOnceASecond() {
        receive(1, new Subscribe(0, 1, 1));
        clients.accepted(2);
        sent();
        assertEquals(SECOND, clients.nextDeadline());
        clients.keepAlive();
        assertEquals(List.of(new Sent<MapMessage>(1, new Changes(1, 1, 1, List.of()))), sent());
        assertEquals(2 * SECOND, clients.nextDeadline());
        advanceTo(2 * SECOND - 1);
        clients.keepAlive();
        assertEquals(List.of(), sent());
    }

    @Test
    void subscriberWithANewerVersionRevealsARollback() {
        receive(1, new Subscribe(3, 1, 5));
        assertTrue(fixture.rollbacks.rolledBack());
        receive(1, new Subscribe(3, 1, 5));
        assertEquals(
                List.of("gateway 3 has map version 5 of epoch 1, but this service has version 1 of epoch 1: its state"
                        + " was rolled back; migrations are blocked until \"map adopt\" is run"),
                fixture.logged(),
                "logged once only");
    }

    @Test
    void commandAnswerGoesOnlyToItsOwnOpenConnection() {
        receive(1, new Command("somebody", "status"));
        receive(2, new Command("somebody", "history"));
        assertEquals(List.of("status", "history"), commands);
        clients.closed(1);
        answers.forEach(answer -> answer.accept(new Result(true, "{}")));
        assertEquals(List.of(new Sent<MapMessage>(2, new Result(true, "{}"))), sent());
        // Connection numbers are never reused; even if one were, the answer must not go to the new connection.
        clients.accepted(1);
        answers.get(0).accept(new Result(true, "{}"));
        assertEquals(List.of(), sent());
    }

    @Test
    void clientThatViolatesTheProtocolIsDisconnected() {
        receive(1, new Busy(5));
        assertFalse(clients.owns(1));
        assertEquals(
                List.of(
                        new NetAction.Log(NetAction.Level.WARN, "client connection 1: unexpected message Busy"),
                        new NetAction.Close(1, false)),
                fixture.actions());
    }
}
