package garnetreel.map;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.VolumeMap;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class MapStateTest {
    private static final Snapshot INITIAL =
            new Snapshot(1, 1, List.of(new VolumeMap(7, 200, 4096, List.of(0, 1, 2), List.of())));

    private final MapState state = new MapState(INITIAL);
    private final List<byte[]> journal = new ArrayList<>();

    private void commit(Transaction t) {
        state.apply(t);
        journal.add(t.bytes());
    }

    private Migration step(Migration migration, Migration.State to) {
        Transaction t = state.migrationTransaction(migration.withState(to), "test", 0, "");
        commit(t);
        return t.migration();
    }

    /** Completes migrations one after another; every fifth is aborted. */
    private void migrate(int count) {
        for (int i = 0; i < count; i++) {
            long extent = i * 31 % 200;
            Migration migration = state.newMigration(7, extent, (state.map(7).shard(extent) + 1) % 3);
            migration = step(migration, Migration.State.COPYING);
            migration = step(migration, Migration.State.FENCING);
            if (i % 5 != 4) {
                migration = step(migration, Migration.State.SWITCHED);
                step(migration, Migration.State.DONE);
            } else {
                migration = step(migration, Migration.State.ABORTING);
                step(migration, Migration.State.ABORTED);
            }
        }
    }

    @Test
    void recoveryGivesTheSameStateFromAnySnapshotAndAnyRetainedRecords() {
        commit(state.drain(2, true, "somebody", 5));
        migrate(12);
        step(state.newMigration(7, 3, (state.map(7).shard(3) + 1) % 3), Migration.State.COPYING);
        for (int snapshotAt = 0; snapshotAt <= journal.size(); snapshotAt += 3) {
            MapState earlier = MapState.recover(INITIAL, null, journal.subList(0, snapshotAt));
            byte[] snapshot = earlier.snapshot();
            for (int first = 0; first <= snapshotAt; first += 5) {
                MapState recovered = MapState.recover(INITIAL, snapshot, journal.subList(first, journal.size()));
                assertEquals(state.mapSnapshot(), recovered.mapSnapshot());
                assertEquals(state.migrations(), recovered.migrations());
                assertEquals(List.of(2), recovered.draining());
                assertEquals(state.seq(), recovered.seq());
                // The next migration gets the same number.
                assertEquals(state.newMigration(7, 150, 9), recovered.newMigration(7, 150, 9));
                // Changes since the horizon are those of the complete history.
                assertEquals(state.changesSince(recovered.horizon()), recovered.changesSince(recovered.horizon()));
                assertEquals(
                        first > 0, recovered.updateSince(1, 1) instanceof Snapshot, "records from " + first + " on");
            }
        }
    }

    @Test
    void gapsAndDamageAreReported() {
        migrate(3);
        byte[] snapshot = MapState.recover(INITIAL, null, journal.subList(0, 4)).snapshot();
        assertThrows(CorruptJournalException.class, () -> MapState.recover(INITIAL, snapshot, journal.subList(5, 9)));
        for (int offset = 0; offset < snapshot.length; offset++) {
            byte[] damaged = snapshot.clone();
            damaged[offset] ^= 0x20;
            assertThrows(
                    CorruptJournalException.class,
                    () -> MapState.recover(INITIAL, damaged, List.of()),
                    "byte " + offset);
        }
        assertThrows(CorruptJournalException.class, () -> MapState.recover(INITIAL, new byte[3], List.of()));
    }

    @Test
    void historyIsBoundedAndOlderVersionsAreUpdatedByASnapshot() {
        migrate(MapState.HISTORY_LIMIT / 3);
        List<Transaction> retained = new ArrayList<>();
        state.history().forEach(retained::add);
        assertEquals(MapState.HISTORY_LIMIT, retained.size());
        assertInstanceOf(Snapshot.class, state.updateSince(1, 1));
        Changes since = assertInstanceOf(Changes.class, state.updateSince(1, state.horizon()));
        MapCache cache = new MapCache();
        cache.apply(MapState.recover(INITIAL, null, journal.subList(0, journal.size() - MapState.HISTORY_LIMIT))
                .mapSnapshot());
        assertEquals(MapCache.Outcome.APPLIED, cache.apply(since));
        assertEquals(state.mapSnapshot(), cache.toSnapshot());
    }

    @Test
    void recordsWithoutADrainAreRead() {
        Transaction t = state.emptyTransaction("somebody", 3, "x");
        assertEquals(t, Transaction.of(t.bytes()));
        Transaction drain = state.drain(4, false, "somebody", 3);
        assertTrue(drain.bytes().length > t.bytes().length);
        assertEquals(drain, Transaction.of(drain.bytes()));
    }

    @Test
    void gatewaysAcceptAnAdoptedEpochButNotARolledBackMap() {
        migrate(4);
        MapCache gateway = new MapCache();
        gateway.apply(state.mapSnapshot());
        MapState restored = MapState.recover(INITIAL, null, journal.subList(0, 6));
        assertEquals(MapCache.Outcome.ROLLED_BACK, gateway.apply(restored.mapSnapshot()));
        restored.apply(restored.adopt(List.of(), 1, gateway.version(), "test", 0, ""));
        assertEquals(restored.mapSnapshot(), restored.updateSince(1, gateway.version()));
        assertEquals(MapCache.Outcome.APPLIED, gateway.apply(restored.mapSnapshot()));
        assertTrue(gateway.version() > state.version());
    }
}
