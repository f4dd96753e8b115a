package garnetreel.files;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.files.FileChange.Name;
import garnetreel.files.FileEntry.Piece;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Recovery of the catalogue, allocation of space, and versions that are replaced while they are read. */
class CatalogueTest {
    private static final long SIZE = 1 << 20;
    private static final List<Catalogue.ModuleVolume> MODULES = List.of(new Catalogue.ModuleVolume("pages", 9, SIZE));

    private final Catalogue catalogue = new Catalogue(MODULES, null, List.of(), PendingWrites.NONE);
    private final List<byte[]> journal = new ArrayList<>();

    private FileEntry file(String path, long size) {
        return new FileEntry("pages", path, 0, 0100644, size, 7, new byte[16], catalogue.reserve("pages", size), "");
    }

    private FileEntry put(FileEntry entry) {
        commit(List.of(), List.of(entry));
        return catalogue.get("pages", entry.path());
    }

    private void commit(List<Name> removed, List<FileEntry> put) {
        FileChange change = catalogue.plan(removed, put);
        journal.add(change.encode());
        catalogue.apply(FileChange.decode(change.encode()));
    }

    @Test
    void recoveryAfterAnyChangeRestoresTheEntriesAndLeaksNoSpace() {
        SplittableRandom random = new SplittableRandom(5);
        List<List<FileEntry>> states = new ArrayList<>();
        List<Long> free = new ArrayList<>();
        List<byte[]> snapshots = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            states.add(catalogue.entriesBelow("pages", ""));
            free.add(catalogue.free("pages"));
            snapshots.add(catalogue.snapshot());
            String path = "f" + random.nextInt(20);
            if (i % 4 == 3) {
                commit(List.of(new Name("pages", path)), List.of());
            } else {
                catalogue.reserve("pages", 5000); // an upload that the crash interrupts: recovery frees its space
                put(file(path, random.nextInt(30_000)));
                catalogue.release("pages", List.of()); // releases nothing: recovery must free the reservation
            }
        }
        for (int crash = 0; crash < states.size(); crash++) {
            for (int snapshot = 0; snapshot <= crash; snapshot += 17) {
                Catalogue recovered = new Catalogue(
                        MODULES,
                        snapshots.get(snapshot),
                        journal.subList(Math.max(0, snapshot - 3), crash),
                        PendingWrites.NONE);
                assertEquals(states.get(crash), recovered.entriesBelow("pages", ""), "crash after change " + crash);
                long used = recovered.entriesBelow("pages", "").stream()
                        .mapToLong(e -> (e.size() + 4095) / 4096 * 4096)
                        .sum();
                assertEquals(SIZE - used, recovered.free("pages"), "space leaked by a crash after change " + crash);
            }
        }
    }

    @Test
    void replacedVersionKeepsItsSpaceUntilItsLastReaderClosesIt() {
        FileEntry old = put(file("a", 10_000));
        catalogue.open(old);
        catalogue.open(old);
        FileEntry replacement = put(file("a", 10_000));
        assertNotEquals(old.pieces(), replacement.pieces());
        assertEquals(SIZE - 2 * 12_288, catalogue.free("pages"));
        catalogue.close(old);
        assertEquals(SIZE - 2 * 12_288, catalogue.free("pages"));
        catalogue.close(old);
        assertEquals(SIZE - 12_288, catalogue.free("pages"));
    }

    @Test
    void changedAttributesKeepTheContentsWhileTheyAreRead() {
        FileEntry old = put(file("a", 10_000));
        catalogue.open(old);
        FileEntry changed = put(old.withAttributes(0100600, 99));
        assertEquals(old.pieces(), changed.pieces());
        commit(List.of(new Name("pages", "a")), List.of());
        assertEquals(SIZE - 12_288, catalogue.free("pages"), "the contents are still being read");
        catalogue.close(old);
        assertEquals(SIZE, catalogue.free("pages"));
    }

    @Test
    void fullVolumeAllocatesNothingAndFragmentedSpaceIsUsed() {
        for (int i = 0; i < 256; i++) {
            put(file("f" + i, 4096));
        }
        assertNull(catalogue.reserve("pages", 1));
        commit(List.of(new Name("pages", "f10"), new Name("pages", "f20")), List.of());
        assertNull(catalogue.reserve("pages", 8193));
        FileEntry fragmented = put(file("both", 8000));
        assertEquals(2, fragmented.pieces().size());
        assertEquals(new Piece(fragmented.pieces().get(1).offset() + 904, 3000), fragmented.locate(5000, 3000));
        assertThrows(IllegalArgumentException.class, () -> fragmented.locate(8000, 1));
    }

    @Test
    void damageGapsAndSpaceOccupiedTwiceAreReported() {
        put(file("a", 100));
        put(file("b", 100));
        put(file("c", 100));
        assertThrows(
                IllegalStateException.class,
                () -> new Catalogue(MODULES, null, List.of(journal.get(0), journal.get(2)), PendingWrites.NONE));
        byte[] snapshot = catalogue.snapshot();
        snapshot[20] ^= 1;
        assertThrows(
                IllegalStateException.class, () -> new Catalogue(MODULES, snapshot, List.of(), PendingWrites.NONE));
        FileEntry a = catalogue.get("pages", "a");
        FileEntry overlapping = new FileEntry("pages", "z", 9, a.mode(), a.size(), 1, a.md5(), a.pieces(), "");
        assertThrows(
                IllegalStateException.class,
                () -> new Catalogue(
                        MODULES,
                        catalogue.snapshot(),
                        List.of(new FileChange(4, List.of(), List.of(overlapping)).encode()),
                        PendingWrites.NONE));
    }

    @Test
    void belowReturnsTheContentsOfADirectoryOnly() {
        put(FileEntry.directory("pages", "d", 0755, 1));
        put(file("d/x", 1));
        put(file("d.x", 1));
        put(file("e", 1));
        assertEquals(
                List.of("d/x"),
                catalogue.entriesBelow("pages", "d").stream()
                        .map(FileEntry::path)
                        .toList());
        assertEquals(4, catalogue.entriesBelow("pages", "").size());
    }

    /** Each block has one owner: a change that names the blocks of another entry, or free ones, is not planned. */
    @Test
    void changesThatNameBlocksWithAnotherOwnerAreRefused() {
        FileEntry old = put(file("a", 10_000));
        put(file("a", 20_000)); // frees the blocks of the old version
        long seq = catalogue.lastPlannedSeq();
        FileEntry stale = old.withAttributes(0100600, 99);
        assertThrows(IllegalStateException.class, () -> catalogue.plan(List.of(), List.of(stale)));
        catalogue.reserve("pages", 10_000);
        catalogue.release("pages", old.pieces());
        assertThrows(IllegalStateException.class, () -> catalogue.release("pages", old.pieces()));
        assertEquals(seq, catalogue.lastPlannedSeq(), "a refused change was planned");
    }

    /** What is planned is seen by the next change, and not by readers. */
    @Test
    void plannedChangesAreVisibleToTheNextChangeOnly() {
        FileEntry old = put(file("a", 10));
        FileChange removal = catalogue.plan(List.of(new Name("pages", "a")), List.of(file("d/x", 10)));
        assertNull(catalogue.planned("pages", "a"));
        assertEquals(1, catalogue.plannedBelow("pages", "").size());
        assertEquals(List.of(old), catalogue.entriesBelow("pages", ""));
        FileChange again = catalogue.plan(List.of(), List.of(file("a", 20)));
        catalogue.apply(removal);
        assertNull(catalogue.get("pages", "a"));
        assertEquals(20, catalogue.planned("pages", "a").size());
        catalogue.apply(again);
        assertEquals(20, catalogue.get("pages", "a").size());
    }

    /** Blocks without an owner stay out of use while a write sent for the last one may still change them. */
    @Test
    void spaceIsWithheldWhileAnEarlierWriteMayStillChangeIt() {
        Set<Long> pendingOffsets = new HashSet<>();
        Catalogue guarded =
                new Catalogue(MODULES, null, List.of(), (module, piece) -> pendingOffsets.contains(piece.offset()));
        List<Piece> first = guarded.reserve("pages", 4096);
        List<Piece> second = guarded.reserve("pages", 4096);
        pendingOffsets.add(first.get(0).offset());
        guarded.release("pages", first);
        guarded.release("pages", second);
        assertEquals(SIZE - 4096, guarded.free("pages"));
        assertEquals(second, guarded.reserve("pages", 4096));
        guarded.reclaim();
        assertEquals(SIZE - 8192, guarded.free("pages"));
        pendingOffsets.clear();
        guarded.reclaim();
        assertEquals(SIZE - 4096, guarded.free("pages"));
    }

    /** After a crash, what is free in a region that was written to is withheld; other regions are usable. */
    @Test
    void recoveryWithholdsTheFreeSpaceOfRegionsThatWereWrittenTo() {
        List<Catalogue.ModuleVolume> large = List.of(new Catalogue.ModuleVolume("pages", 9, 3 * SIZE));
        Catalogue crashed = new Catalogue(large, null, List.of(), PendingWrites.NONE);
        List<Piece> pieces = crashed.reserve("pages", 5000);
        assertThrows(IllegalStateException.class, () -> crashed.mayWrite("pages", pieces));
        FileChange intents = crashed.planIntents("pages", pieces);
        assertNull(crashed.planIntents("pages", pieces), "recorded twice");
        assertFalse(crashed.mayWrite("pages", pieces), "before the record is durable");
        crashed.apply(intents);
        assertTrue(crashed.mayWrite("pages", pieces));
        byte[] snapshot = crashed.snapshot();
        for (Catalogue recovered : List.of(
                new Catalogue(large, null, List.of(intents.encode()), (module, piece) -> true),
                new Catalogue(large, snapshot, List.of(), (module, piece) -> true))) {
            assertEquals(2 * SIZE, recovered.free("pages"));
            assertFalse(recovered.mayEndIntents());
        }
        crashed.release("pages", pieces);
        FileChange end = crashed.planEndOfIntents();
        crashed.apply(end);
        Catalogue idle = new Catalogue(large, null, List.of(intents.encode(), end.encode()), (module, piece) -> true);
        assertEquals(3 * SIZE, idle.free("pages"));
    }
}
