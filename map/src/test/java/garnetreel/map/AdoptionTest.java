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

    private static Reconciliation reconcile(ReportedExtent... reports) {
        return Adoption.of(new MapState(INITIAL), List.of(reports));
    }

    private static ReportedExtent reported(int extent, int shard, State state, long version) {
        return new ReportedExtent(7, extent, shard, state, version);
    }

    @Test
    void nodeServingUnderTheHighestVersionIsTheHolder() {
        Reconciliation result = reconcile(reported(4, 0, State.GONE, 9), reported(4, 1, State.SERVING, 9));
        assertEquals(List.of(new Change(7, 4, 1, 9)), result.changes());
        assertEquals(9, result.highestVersion());
        assertTrue(result.lostMigrations().isEmpty()
                && result.missing().isEmpty()
                && result.conflicts().isEmpty());
    }

    @Test
    void entryThatMatchesTheMapIsNoChange() {
        assertEquals(
                List.of(),
                reconcile(reported(4, 0, State.SERVING, 1), reported(4, 1, State.GONE, 0))
                        .changes());
    }

    @Test
    void migrationLostAfterItsFenceIsRolledBack() {
        Reconciliation result = reconcile(reported(4, 0, State.FENCED, 6), reported(4, 1, State.RECEIVING, 0));
        assertEquals(List.of(new Change(7, 4, 0, 6)), result.changes());
        assertEquals(List.of(new Migration(0, 7, 4, 0, 1, 6, 0, Migration.State.ABORTING)), result.lostMigrations());
    }

    @Test
    void migrationLostDuringItsCopyIsRolledBack() {
        Reconciliation result = reconcile(reported(4, 0, State.SERVING, 1), reported(4, 1, State.RECEIVING, 0));
        assertEquals(List.of(new Migration(0, 7, 4, 0, 1, 1, 0, Migration.State.ABORTING)), result.lostMigrations());
    }

    @Test
    void extentHeldByANodeThatDidNotAnswerIsMissingAndKeepsItsMapEntry() {
        Reconciliation result = reconcile(
                reported(4, 0, State.GONE, 9), reported(6, 1, State.SERVING, 3), reported(6, 0, State.GONE, 5));
        assertEquals(List.of(), result.changes());
        assertEquals(List.of(reported(4, 0, State.GONE, 9), reported(6, 0, State.GONE, 5)), result.missing());
    }

    @Test
    void twoServingNodesAreReportedAsAConflict() {
        Reconciliation result = reconcile(reported(4, 0, State.SERVING, 3), reported(4, 1, State.SERVING, 5));
        assertEquals(List.of(new Change(7, 4, 1, 5)), result.changes());
        assertEquals(List.of(reported(4, 0, State.SERVING, 3)), result.conflicts());
    }

    @Test
    void entriesOfUnknownVolumesAndExtentsAreIgnored() {
        assertEquals(
                0,
                reconcile(new ReportedExtent(8, 1, 0, State.SERVING, 5), reported(20, 0, State.SERVING, 5))
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
        List<ReportedExtent> reports = new ArrayList<>();
        for (int extent = 0; extent < 6; extent++) {
            migrate(complete, journal, reports, extent, 2 + extent % 2, extent % 4);
        }
        for (int retained = 0; retained <= journal.size(); retained++) {
            MapState restored = new MapState(INITIAL);
            journal.subList(0, retained).forEach(restored::apply);
            Reconciliation result = Adoption.of(restored, reports);
            restored.apply(
                    restored.adopt(result.changes(), complete.epoch(), result.highestVersion(), "test", 0, "adopted"));
            assertEquals(placements(complete), placements(restored), "journal lost after record " + retained);
            assertTrue(restored.epoch() > complete.epoch() && restored.version() > complete.version());
        }
    }

    /**
     * Runs a migration up to a step (0 copying, 1 fenced, 2 switched and serving, 3 done) and adds the reports of its
     * nodes.
     */
    private static void migrate(
            MapState state, List<Transaction> journal, List<ReportedExtent> reports, int extent, int to, int lastStep) {
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
        reports.add(reported(
                extent,
                migration.from(),
                lastStep == 0 ? State.SERVING : lastStep == 3 ? State.GONE : State.FENCED,
                lastStep == 3 ? migration.newVersion() : migration.oldVersion()));
        reports.add(reported(
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
