package garnetreel.map;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetreel.codec.map.MapMessage.Change;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.MovedExtent;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.VolumeMap;
import garnetreel.map.MapCache.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

class ExtentMapTest {
    private static final Snapshot INITIAL =
            new Snapshot(1, 1, List.of(new VolumeMap(7, 2000, 4096, List.of(0, 1, 2), List.of())));

    private static Changes changes(long epoch, long since, long version, Change... changes) {
        return new Changes(epoch, since, version, List.of(changes));
    }

    @Test
    void mapsAreImmutable() {
        ExtentMap first = ExtentMap.of(INITIAL.volumes().get(0));
        ExtentMap second = first.with(List.of(new Change(7, 1999, 9, 2)));
        assertEquals(1999 % 3, first.shard(1999));
        assertEquals(1, first.version(1999));
        assertEquals(9, second.shard(1999));
        assertEquals(List.of(new MovedExtent(1999, 9, 2)), second.toMessage().movedExtents());
        assertThrows(IllegalArgumentException.class, () -> first.with(List.of(new Change(7, 2000, 1, 2))));
    }

    @Test
    void repeatedChangesAreAppliedOnceAndGapsAreReported() {
        MapCache cache = new MapCache();
        assertEquals(Outcome.APPLIED, cache.apply(INITIAL));
        assertEquals(Outcome.GAP, cache.apply(changes(1, 2, 3, new Change(7, 5, 4, 3))));
        assertEquals(Outcome.APPLIED, cache.apply(changes(1, 1, 2, new Change(7, 5, 3, 2))));
        assertEquals(Outcome.ALREADY_KNOWN, cache.apply(changes(1, 1, 2, new Change(7, 5, 3, 2))));
        assertEquals(Outcome.APPLIED, cache.apply(changes(1, 1, 3, new Change(7, 5, 3, 2), new Change(7, 5, 0, 3))));
        assertEquals(0, cache.volume(7).shard(5));
        assertEquals(3, cache.volume(7).version(5));
    }

    @Test
    void updatesOfARolledBackServiceAreRejectedUntilANewEpoch() {
        MapCache cache = new MapCache();
        cache.apply(INITIAL);
        cache.apply(changes(1, 1, 4, new Change(7, 5, 2, 4)));
        assertEquals(Outcome.ROLLED_BACK, cache.apply(INITIAL));
        assertEquals(Outcome.ROLLED_BACK, cache.apply(changes(1, 3, 3)));
        assertEquals(2, cache.volume(7).shard(5));
        assertEquals(Outcome.APPLIED, cache.apply(new Snapshot(2, 1, INITIAL.volumes())));
        assertEquals(5 % 3, cache.volume(7).shard(5));
    }

    @Test
    void transactionsRoundTripThroughTheJournalAndAreAppliedOnce() {
        MapState state = new MapState(INITIAL);
        Migration migration = state.newMigration(7, 5, 1);
        Transaction begin = state.migrationTransaction(migration, "somebody", 3, "why");
        assertEquals(begin, Transaction.of(begin.bytes()));
        state.apply(begin);
        state.apply(begin); // a transaction that has been applied is ignored
        assertThrows(MigrationRejectedException.class, () -> state.newMigration(7, 5, 0));
        Transaction switched =
                state.migrationTransaction(migration.withState(Migration.State.SWITCHED), "mapd", 4, "copied");
        state.apply(switched);
        assertEquals(1, state.map(7).shard(5));
        assertEquals(2, state.map(7).version(5));
        state.apply(state.migrationTransaction(
                switched.migration().withState(Migration.State.DONE), "mapd", 5, "released"));
        assertEquals(List.of(), state.migrations());
        assertEquals(changes(1, 1, 2, new Change(7, 5, 1, 2)), state.updateSince(1, 1));
        assertEquals(state.mapSnapshot(), state.updateSince(0, 0));
        assertThrows(
                ExtentChangedException.class,
                () -> state.migrationTransaction(migration.withState(Migration.State.SWITCHED), "late", 6, ""));
    }
}
