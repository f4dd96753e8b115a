package garnetreel.files;

import garnetreel.files.FileChange.Name;
import garnetreel.files.FileEntry.Piece;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The files of a gateway's modules and the space that they occupy on the modules' volumes. Without I/O: the owner makes
 * a change durable as a journal record before it applies the change, and stores snapshots.
 *
 * <p>A change passes two steps. {@link #plan} builds it on top of all changes planned before, and assigns the blocks of
 * new contents; {@link #apply} makes it visible once it is durable. Whatever decides on a change has to look at
 * {@link #planned} entries: a change that was built on the visible ones would undo those that are planned and not yet
 * durable. What clients are shown are the visible entries, {@link #get}.
 *
 * <p>Space for contents that are being written is reserved in memory only. A crash releases it, since recovery takes
 * all space as free that no entry occupies. A version that is being read keeps its space until its last reader closes
 * it.
 *
 * <p>Space without an owner is given away only when no write sent for its last owner can change it any more, as
 * {@link PendingWrites} tells. Until then it is withheld; {@link #reclaim} asks again. Before a write is sent, the region
 * that it goes to has to be recorded by a durable {@link #planIntents change}, so that recovery can withhold what is
 * free there.
 */
public final class Catalogue {

    /**
     * A module and its volume.
     *
     * @param volume id of the volume
     * @param size size of the volume in bytes
     */
    public record ModuleVolume(String module, long volume, long size) {}

    /**
     * What a planned change makes of a name.
     *
     * @param seq sequence number of the change
     * @param entry the new entry; null if the name is removed
     */
    private record PlannedEntry(long seq, FileEntry entry) {}

    private record WithheldPiece(String module, Piece piece) {}

    private final TreeMap<Name, FileEntry> entries = new TreeMap<>();
    private final Map<String, VolumeSpace> spaces = new HashMap<>();
    /** The latest planned and not yet applied change of each name. */
    private final TreeMap<Name, PlannedEntry> plannedEntries = new TreeMap<>();
    /** Number of readers, by version. */
    private final Map<Long, Integer> readers = new HashMap<>();
    /** Entries that were replaced or removed while they were read and still occupy their space, by version. */
    private final Map<Long, FileEntry> unlinked = new HashMap<>();
    /** Maps a version that was replaced while it was read to the later version that took over its contents. */
    private final Map<Long, Long> successors = new HashMap<>();

    private final PendingWrites pendingWrites;
    private final WriteIntents intents = new WriteIntents();
    /** The intents of an earlier process. */
    private final WriteIntents recoveredIntents = new WriteIntents();

    private final List<WithheldPiece> withheldPieces = new ArrayList<>();
    private long seq;
    private long lastPlannedSeq;
    private long lastVersion;

    /**
     * Recovers the state from a journal.
     *
     * @param snapshot the latest snapshot; null for none
     * @param records changes in order; those that the snapshot covers are ignored
     * @param pendingWrites tells which space must not be given away yet
     * @throws IllegalStateException if the snapshot or a record is damaged, a change is missing, or two entries occupy
     *     the same space; the message says which
     */
    public Catalogue(List<ModuleVolume> modules, byte[] snapshot, List<byte[]> records, PendingWrites pendingWrites) {
        this.pendingWrites = pendingWrites;
        if (snapshot != null) {
            CatalogueSnapshot decoded = CatalogueSnapshot.decode(snapshot);
            seq = decoded.seq();
            decoded.entries().forEach(entry -> entries.put(entry.name(), entry));
            decoded.intents().forEach(intent -> intents.add(intent, seq));
        }
        records.forEach(record -> replay(FileChange.decode(record)));
        lastPlannedSeq = seq;
        modules.forEach(module -> spaces.put(module.module(), new VolumeSpace(module.size())));
        for (FileEntry entry : entries.values()) {
            lastVersion = Math.max(lastVersion, entry.version());
            VolumeSpace space = spaces.get(entry.module());
            if (space != null) { // entries of a module that was removed from the settings are kept
                entry.pieces().forEach(space::assignStored);
            }
        }
        withholdRecoveredIntents();
    }

    private void withholdRecoveredIntents() {
        recoveredIntents.addAll(intents);
        for (WriteIntent intent : recoveredIntents.all()) {
            VolumeSpace space = spaces.get(intent.module());
            if (space != null) {
                space.withholdFree(intent.region() * WriteIntents.REGION_BYTES, WriteIntents.REGION_BYTES)
                        .forEach(piece -> withheldPieces.add(new WithheldPiece(intent.module(), piece)));
            }
        }
    }

    /** Whether an earlier process may have sent writes to a piece of a module's volume. */
    public boolean mayHaveBeenWrittenBefore(String module, Piece piece) {
        return recoveredIntents.cover(module, piece);
    }

    /** Applies a change from the journal, unless the snapshot covers it. */
    private void replay(FileChange change) {
        if (change.seq() > seq + 1) {
            throw new IllegalStateException("change " + change.seq() + " of the file catalogue does not follow " + seq);
        }
        if (change.seq() == seq + 1) {
            change.removed().forEach(entries::remove);
            change.put().forEach(entry -> entries.put(entry.name(), entry));
            applyIntents(change);
            seq = change.seq();
        }
    }

    /** The visible entry with a name; null if there is none. */
    public FileEntry get(String module, String path) {
        return entries.get(new Name(module, path));
    }

    /** The entry with a name after all planned changes; null if there is none. */
    public FileEntry planned(String module, String path) {
        Name name = new Name(module, path);
        PlannedEntry planned = plannedEntries.get(name);
        return planned == null ? entries.get(name) : planned.entry();
    }

    /**
     * All visible entries of a module below a path, without the entry at the path itself; "" is the module's root.
     */
    public List<FileEntry> entriesBelow(String module, String path) {
        return List.copyOf(below(entries, module, path).values());
    }

    /** As {@link #entriesBelow}, after all planned changes. */
    public List<FileEntry> plannedBelow(String module, String path) {
        SortedMap<Name, PlannedEntry> planned = below(plannedEntries, module, path);
        if (planned.isEmpty()) {
            return entriesBelow(module, path);
        }
        TreeMap<Name, FileEntry> found = new TreeMap<>(below(entries, module, path));
        planned.forEach((name, change) -> {
            if (change.entry() == null) {
                found.remove(name);
            } else {
                found.put(name, change.entry());
            }
        });
        return List.copyOf(found.values());
    }

    private static <V> SortedMap<Name, V> below(TreeMap<Name, V> names, String module, String path) {
        if (path.isEmpty()) {
            return names.subMap(new Name(module, ""), new Name(module + '\0', ""));
        }
        // The character after the slash, so that the range ends before the first path that does not begin with it.
        return names.subMap(new Name(module, path + "/"), new Name(module, path + "0"));
    }

    /** Reserves space for contents on a module's volume; null if it has not enough free space. */
    public List<Piece> reserve(String module, long length) {
        return spaces.get(module).reserve(length);
    }

    /** Ends the reservation of space that is not used. */
    public void release(String module, List<Piece> pieces) {
        VolumeSpace space = spaces.get(module);
        pieces.forEach(piece -> space.release(piece, withhold(module, piece)));
    }

    /** Whether a piece without an owner has to be withheld; it is noted for {@link #reclaim} then. */
    private boolean withhold(String module, Piece piece) {
        if (piece.length() == 0 || !pendingWrites.mayStillChange(module, piece)) {
            return false;
        }
        withheldPieces.add(new WithheldPiece(module, piece));
        return true;
    }

    /** Frees the withheld space that no earlier write can change any more. */
    public void reclaim() {
        withheldPieces.removeIf(withheld -> {
            boolean over = !pendingWrites.mayStillChange(withheld.module(), withheld.piece());
            if (over) {
                spaces.get(withheld.module()).reclaim(withheld.piece());
            }
            return over;
        });
    }

    /** Whether space is withheld. */
    public boolean hasWithheldSpace() {
        return !withheldPieces.isEmpty();
    }

    /** Number of free bytes on a module's volume. */
    public long free(String module) {
        return spaces.get(module).freeBytes();
    }

    /**
     * Builds the change that follows all planned ones, gives its entries their versions and assigns the space of new
     * contents to them. It is to be made durable and then {@link #apply applied}.
     *
     * @throws IllegalStateException if an entry names blocks that are neither reserved nor those of the planned entry
     *     with the same name; nothing is planned then
     */
    public FileChange plan(List<Name> removed, List<FileEntry> put) {
        List<FileEntry> versioned = new ArrayList<>();
        for (FileEntry entry : put) {
            assignSpace(entry);
            versioned.add(entry.withVersion(++lastVersion));
        }
        FileChange change = new FileChange(++lastPlannedSeq, removed, versioned);
        removed.forEach(name -> plannedEntries.put(name, new PlannedEntry(change.seq(), null)));
        versioned.forEach(entry -> plannedEntries.put(entry.name(), new PlannedEntry(change.seq(), entry)));
        return change;
    }

    /**
     * Builds the change that records the regions which reserved pieces lie in, as {@link #plan} does; null if all are
     * recorded or planned.
     */
    public FileChange planIntents(String module, List<Piece> pieces) {
        List<WriteIntent> missing = intents.missing(module, pieces);
        if (missing.isEmpty()) {
            return null;
        }
        return planIntents(false, missing);
    }

    /** Whether there are write intents, and no space is reserved or withheld. */
    public boolean mayEndIntents() {
        return !intents.isEmpty() && spaces.values().stream().noneMatch(VolumeSpace::hasUnsettledSpace);
    }

    /**
     * Builds the change that ends all write intents, as {@link #plan} does. The caller has checked that no write is
     * pending on any volume.
     *
     * @throws IllegalStateException unless {@link #mayEndIntents}
     */
    public FileChange planEndOfIntents() {
        if (!mayEndIntents()) {
            throw new IllegalStateException("space is reserved or withheld, or there are no write intents");
        }
        return planIntents(true, List.of());
    }

    private FileChange planIntents(boolean clear, List<WriteIntent> added) {
        FileChange change = new FileChange(++lastPlannedSeq, List.of(), List.of(), clear, added);
        applyIntents(change);
        return change;
    }

    private void applyIntents(FileChange change) {
        if (change.clearsIntents()) {
            intents.clear();
        }
        change.intents().forEach(intent -> intents.add(intent, change.seq()));
    }

    /**
     * Whether writes to reserved pieces may be sent: the change that records their regions is durable.
     *
     * @throws IllegalStateException if a region is not even planned
     */
    public boolean mayWrite(String module, List<Piece> pieces) {
        if (!intents.missing(module, pieces).isEmpty()) {
            throw new IllegalStateException("a write to a region of module " + module + " that is not recorded");
        }
        return intents.lastSeq(module, pieces) <= seq;
    }

    private void assignSpace(FileEntry entry) {
        FileEntry current = planned(entry.module(), entry.path());
        boolean keepsContents = current != null && current.pieces().equals(entry.pieces());
        if (!keepsContents) {
            spaces.get(entry.module()).assign(entry.pieces());
        }
    }

    /** Applies a durable change. The space of replaced and removed entries is freed once they have no readers. */
    public void apply(FileChange change) {
        if (change.seq() != seq + 1) {
            throw new IllegalStateException("change " + change.seq() + " of the file catalogue does not follow " + seq);
        }
        seq = change.seq();
        for (Name name : change.removed()) {
            forgetPlanned(name);
            FileEntry old = entries.remove(name);
            if (old != null) {
                unlink(old);
            }
        }
        for (FileEntry entry : change.put()) {
            forgetPlanned(entry.name());
            FileEntry old = entries.put(entry.name(), entry);
            if (old != null) {
                replace(old, entry);
            }
        }
    }

    /** Removes the planned entry of a name if it is that of the change just applied, and not of a later one. */
    private void forgetPlanned(Name name) {
        PlannedEntry planned = plannedEntries.get(name);
        if (planned != null && planned.seq() == seq) {
            plannedEntries.remove(name);
        }
    }

    private void replace(FileEntry old, FileEntry replacement) {
        if (old.pieces().isEmpty() || !old.pieces().equals(replacement.pieces())) {
            unlink(old);
        } else if (readers.containsKey(old.version())) { // other attributes, same contents
            readers.merge(replacement.version(), readers.remove(old.version()), Integer::sum);
            successors.put(old.version(), replacement.version());
        }
    }

    private void unlink(FileEntry old) {
        if (readers.containsKey(old.version())) {
            unlinked.put(old.version(), old);
        } else {
            free(old);
        }
    }

    private void free(FileEntry entry) {
        VolumeSpace space = spaces.get(entry.module());
        if (space != null) {
            entry.pieces().forEach(piece -> space.unassign(piece, withhold(entry.module(), piece)));
        }
    }

    /** Adds a reader of an entry's contents, which keep their space until {@link #close}. */
    public void open(FileEntry entry) {
        readers.merge(entry.version(), 1, Integer::sum);
    }

    /**
     * Removes a reader of an entry that was {@link #open opened}; frees the space of a replaced or removed entry after
     * its last reader.
     */
    public void close(FileEntry entry) {
        long version = entry.version();
        while (successors.containsKey(version)) {
            version = successors.get(version);
        }
        if (readers.merge(version, -1, Integer::sum) > 0) {
            return;
        }
        readers.remove(version);
        long closed = version;
        successors.values().removeIf(successor -> successor == closed);
        FileEntry old = unlinked.remove(version);
        if (old != null) {
            free(old);
        }
    }

    /** Sequence number of the last change that is visible. */
    public long seq() {
        return seq;
    }

    /** Sequence number of the last change that is planned. */
    public long lastPlannedSeq() {
        return lastPlannedSeq;
    }

    /** Number of entries in all modules. */
    public int size() {
        return entries.size();
    }

    /** Encodes a snapshot of the catalogue. */
    public byte[] snapshot() {
        return new CatalogueSnapshot(seq, entries.values(), intents.all()).encode();
    }
}
