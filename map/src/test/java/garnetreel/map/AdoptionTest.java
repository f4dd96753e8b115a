package garnetreel.map;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.codec.map.MapMessage.Change;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.codec.map.MapMessage.VolumeMap;
import garnetreel.map.Adoption.Reconciliation;
import garnetreel.map.Adoption.ReportedExtent;
import garnetreel.map.Adoption.State;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

class AdoptionTest {
    private static final Snapshot INITIAL =
            new Snapshot(1, 1, List.of(new VolumeMap(7, 20, 4096, List.of(0, 1), List.of())));

    private static Reconciliation found(ReportedExtent... held) {
        return Adoption.of(new MapState(INITIAL), List.of(held));
    }

    private static ReportedExtent held(int extent, int shard, State state, long version) {
        return new ReportedExtent(7, extent, shard, state, version);
    }

    @Test
    void nodeServingUnderTheHighestVersionIsTheHolder() {
        Reconciliation found = found(held(4, 0, State.GONE, 9), held(4, 1, State.SERVING, 9));
        assertEquals(List.of(new Change(7, 4, 1, 9)), found.changes());
        assertEquals(9, found.highestVersion());
        assertTrue(found.lostMigrations().isEmpty()
                && found.missing().isEmpty()
                && found.conflicts().isEmpty());
    }

    @Test
    void entryThatMatchesTheMapIsNoChange() {
        assertEquals(
                List.of(),
                found(held(4, 0, State.SERVING, 1), held(4, 1, State.GONE, 0)).changes());
    }

    @Test
    void migrationLostAfterItsFenceIsRolledBack() {
        Reconciliation found = found(held(4, 0, State.FENCED, 6), held(4, 1, State.RECEIVING, 0));
        assertEquals(List.of(new Change(7, 4, 0, 6)), found.changes());
        assertEquals(List.of(new Migration(0, 7, 4, 0, 1, 6, 0, Migration.State.ABORTING)), found.lostMigrations());
    }

    @Test
    void migrationLostDuringItsCopyIsRolledBack() {
        Reconciliation found = found(held(4, 0, State.SERVING, 1), held(4, 1, State.RECEIVING, 0));
        assertEquals(List.of(new Migration(0, 7, 4, 0, 1, 1, 0, Migration.State.ABORTING)), found.lostMigrations());
    }

    @Test
    void extentHeldByANodeThatDidNotAnswerIsMissingAndKeepsItsMapEntry() {
        Reconciliation found =
                found(held(4, 0, State.GONE, 9), held(6, 1, State.SERVING, 3), held(6, 0, State.GONE, 5));
        assertEquals(List.of(), found.changes());
        assertEquals(List.of(held(4, 0, State.GONE, 9), held(6, 0, State.GONE, 5)), found.missing());
    }

    @Test
    void twoServingNodesAreReportedAsAConflict() {
        Reconciliation found = found(held(4, 0, State.SERVING, 3), held(4, 1, State.SERVING, 5));
        assertEquals(List.of(new Change(7, 4, 1, 5)), found.changes());
        assertEquals(List.of(held(4, 0, State.SERVING, 3)), found.conflicts());
    }

    @Test
    void entriesOfUnknownVolumesAndExtentsAreIgnored() {
        assertEquals(
                0,
                found(new ReportedExtent(8, 1, 0, State.SERVING, 5), held(20, 0, State.SERVING, 5))
                        .highestVersion());
    }

    /**
     * Adopts from nodes in the state after the complete journal, with each prefix of the journal as the backup: the
     * result must be the map of the complete journal. There are migrations that stopped in each durable state.
     */
    @Test
    void adoptionRestoresTheMapWhateverPartOfTheJournalWasLost() {
        List<Transaction> journal = new ArrayList<>();
        MapState complete = new MapState(INITIAL);
        List<ReportedExtent> nodes = new ArrayList<>();
        for (int extent = 0; extent < 6; extent++) {
            migrate(complete, journal, nodes, extent, 2 + extent % 2, extent % 4);
        }
        for (int retained = 0; retained <= journal.size(); retained++) {
            MapState restored = new MapState(INITIAL);
            journal.subList(0, retained).forEach(restored::apply);
            Reconciliation found = Adoption.of(restored, nodes);
            restored.apply(
                    restored.adopt(found.changes(), complete.epoch(), found.highestVersion(), "test", 0, "adopted"));
            assertEquals(placements(complete), placements(restored), "journal lost after record " + retained);
            assertTrue(restored.epoch() > complete.epoch() && restored.version() > complete.version());
        }
    }

    /**
     * Runs a migration up to a step (0 copying, 1 fenced, 2 switched and serving, 3 done) and adds the entries of its
     * nodes.
     */
    private static void migrate(
            MapState state, List<Transaction> journal, List<ReportedExtent> nodes, int extent, int to, int lastStep) {
        Migration migration = state.newMigration(7, extent, to);
        Migration.State[] states = {
            Migration.State.COPYING, Migration.State.FENCING, Migration.State.SWITCHED, Migration.State.DONE
        };
        for (int step = 0; step <= lastStep; step++) {
            Transaction t = state.migrationTransaction(migration.withState(states[step]), "test", step, "");
            journal.add(t);
            state.apply(t);
            migration = t.migration();
        }
        nodes.add(held(
                extent,
                migration.from(),
                lastStep == 0 ? State.SERVING : lastStep == 3 ? State.GONE : State.FENCED,
                lastStep == 3 ? migration.newVersion() : migration.oldVersion()));
        nodes.add(held(
                extent, to, lastStep < 2 ? State.RECEIVING : State.SERVING, lastStep < 2 ? 0 : migration.newVersion()));
    }

    private static List<String> placements(MapState state) {
        List<String> placements = new ArrayList<>();
        ExtentMap map = state.map(7);
        for (long extent = 0; extent < map.extents(); extent++) {
            placements.add(extent + "@" + map.shard(extent) + "/" + map.version(extent));
        }
        placements.sort(Comparator.naturalOrder());
        return placements;
    }
}
