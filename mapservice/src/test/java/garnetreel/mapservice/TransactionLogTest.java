package garnetreel.mapservice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import garnetreel.core.io.NetAction;
import garnetreel.map.MapState;
import garnetreel.map.Migration;
import garnetreel.map.MigrationRejectedException;
import garnetreel.map.Transaction;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TransactionLogTest {
    private static final int SNAPSHOT_INTERVAL = 3;

    private final ServiceFixture fixture = new ServiceFixture();
    private final List<String> events = new ArrayList<>();
    private final TransactionLog log = new TransactionLog(
            fixture.turn,
            fixture.state,
            SNAPSHOT_INTERVAL,
            (t, epochBefore) -> events.add("applied " + t.why() + " over epoch " + epochBefore));

    private void submit(String why) {
        log.submit(() -> fixture.state.emptyTransaction("test", 5, why), t -> events.add("completed " + t.why()));
    }

    private List<Long> appends() {
        return fixture.actions(NetAction.Append.class).stream()
                .map(NetAction.Append::sequence)
                .toList();
    }

    @Test
    void atMostOneRecordIsInFlight() {
        submit("first");
        submit("second");
        assertEquals(List.of(), appends());
        log.write();
        log.write();
        assertEquals(List.of(1L), appends());
        assertEquals(0, fixture.state.seq(), "not applied before it is durable");
        log.appended(1);
        assertEquals(List.of("applied first over epoch 1", "completed first"), events);
        log.write();
        assertEquals(List.of(2L), appends(), "created after the first was applied, so it follows it");
        log.appended(1);
        assertEquals(1, fixture.state.seq(), "a notification for any record but the one in flight is ignored");
        log.appended(2);
        assertEquals(2, fixture.state.seq());
        log.appended(2);
        assertEquals(2, fixture.state.seq());
    }

    @Test
    void listenerReceivesThePreviousEpoch() {
        log.submit(() -> fixture.state.newEpoch("test", 5, "again"), t -> assertEquals(2, fixture.state.epoch()));
        fixture.commitAll(log);
        assertEquals(List.of("applied again over epoch 1"), events);
    }

    @Test
    void rejectedTransactionIsLoggedAndTheNextIsWritten() {
        List<Transaction> completed = new ArrayList<>();
        log.submit(
                () -> {
                    throw new MigrationRejectedException("no such extent");
                },
                completed::add);
        submit("next");
        log.write();
        List<NetAction> taken = fixture.actions();
        assertEquals(
                new NetAction.Log(NetAction.Level.WARN, "transaction not committed: no such extent"), taken.get(0));
        assertEquals(1, ((NetAction.Append) taken.get(1)).sequence());
        assertEquals(2, taken.size());
        assertEquals(1, completed.size());
        assertNull(completed.get(0));
    }

    @Test
    void failedCompareAndSetIsLogged() {
        Migration stale = new Migration(1, ServiceFixture.VOLUME, 4, 0, 1, 9, 0, Migration.State.SWITCHED);
        List<Transaction> completed = new ArrayList<>();
        log.submit(() -> fixture.state.migrationTransaction(stale, "test", 5, ""), completed::add);
        log.write();
        assertEquals(
                List.of(
                        "transaction not committed: extent 4 of volume 7 has changed since its migration began: its version is"
                                + " 1, expected 9"),
                fixture.logged());
        assertEquals(1, completed.size());
        assertNull(completed.get(0));
    }

    @Test
    void snapshotIsWrittenAtTheIntervalAndCoversAllRecords() {
        for (int i = 1; i < SNAPSHOT_INTERVAL; i++) {
            submit("record " + i);
        }
        fixture.commitAll(log);
        assertEquals(List.of(), fixture.actions(NetAction.Snapshot.class));
        submit("last");
        fixture.commitAll(log);
        NetAction.Snapshot snapshot = fixture.actions(NetAction.Snapshot.class).get(0);
        assertEquals(SNAPSHOT_INTERVAL, snapshot.sequence());
        assertEquals(MapState.HISTORY_LIMIT, snapshot.retainedRecords());
        MapState recovered = MapState.recover(ServiceFixture.INITIAL, snapshot.data(), List.of());
        assertEquals(fixture.state.seq(), recovered.seq());
        assertEquals(fixture.state.mapSnapshot(), recovered.mapSnapshot());
        submit("after");
        fixture.commitAll(log);
        assertEquals(List.of(), fixture.actions(NetAction.Snapshot.class));
    }
}
