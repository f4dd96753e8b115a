package garnetreel.files;

import garnetreel.files.FileChange.Name;
import garnetreel.files.FileEntry.Piece;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The files of a gateway's modules and the space that they occupy on the modules' volumes. Without I/O: the owner makes
 * a change durable as a journal record before it applies the change, and stores snapshots.
 *
 * <p>Space for contents that are being written is reserved in memory only. A crash releases it, since recovery takes
 * all space as free that no entry occupies. A version that is being read keeps its space until its last reader closes
 * it.
 */
public final class Catalogue {

    /**
     * A module and its volume.
     *
     * @param volume id of the volume
     * @param size size of the volume in bytes
     */
    public record ModuleVolume(String module, long volume, long size) {}

    private final TreeMap<Name, FileEntry> entries = new TreeMap<>();
    private final Map<String, FreeSpace> freeSpace = new HashMap<>();
    /** Number of readers, by version. */
    private final Map<Long, Integer> readers = new HashMap<>();
    /** Entries that were replaced or removed while they were read and still occupy their space, by version. */
    private final Map<Long, FileEntry> unlinked = new HashMap<>();
    /** Maps a version that was replaced while it was read to the later version that took over its contents. */
    private final Map<Long, Long> successors = new HashMap<>();

    private long seq;
    private long lastVersion;

    /**
     * Recovers the state from a journal.
     *
     * @param snapshot the latest snapshot; null for none
     * @param records changes in order; those that the snapshot covers are ignored
     * @throws IllegalStateException if the snapshot or a record is damaged, a change is missing, or two entries occupy
     *     the same space; the message says which
     */
    public Catalogue(List<ModuleVolume> modules, byte[] snapshot, List<byte[]> records) {
        if (snapshot != null) {
            CatalogueSnapshot decoded = CatalogueSnapshot.decode(snapshot);
            seq = decoded.seq();
            decoded.entries().forEach(entry -> entries.put(entry.name(), entry));
        }
        records.forEach(record -> replay(FileChange.decode(record)));
        modules.forEach(module -> freeSpace.put(module.module(), new FreeSpace(module.size())));
        for (FileEntry entry : entries.values()) {
            lastVersion = Math.max(lastVersion, entry.version());
            FreeSpace space = freeSpace.get(entry.module());
            if (space != null) { // entries of a module that was removed from the settings are kept
                entry.pieces().forEach(space::markAllocated);
            }
        }
    }

    /** Applies a change from the journal, unless the snapshot covers it. */
    private void replay(FileChange change) {
        if (change.seq() > seq + 1) {
            throw new IllegalStateException("change " + change.seq() + " of the file catalogue does not follow " + seq);
        }
        if (change.seq() == seq + 1) {
            change.removed().forEach(entries::remove);
            change.put().forEach(entry -> entries.put(entry.name(), entry));
            seq = change.seq();
        }
    }

    /** The entry with a name; null if there is none. */
    public FileEntry get(String module, String path) {
        return entries.get(new Name(module, path));
    }

    /** All entries of a module below a path, without the entry at the path itself; "" is the module's root. */
    public List<FileEntry> entriesBelow(String module, String path) {
        String prefix = path.isEmpty() ? "" : path + "/";
        List<FileEntry> found = new ArrayList<>();
        for (FileEntry entry : entries.tailMap(new Name(module, prefix), true).values()) {
            if (!entry.module().equals(module) || !entry.path().startsWith(prefix)) {
                break;
            }
            found.add(entry);
        }
        return found;
    }

    /** Reserves space for contents on a module's volume; null if it has not enough free space. */
    public List<Piece> reserve(String module, long length) {
        return freeSpace.get(module).allocate(length);
    }

    /** Frees reserved space that is not used. */
    public void release(String module, List<Piece> pieces) {
        pieces.forEach(freeSpace.get(module)::free);
    }

    /** Number of free bytes on a module's volume. */
    public long free(String module) {
        return freeSpace.get(module).freeBytes();
    }

    /**
     * Builds a change, which is to be made durable and then {@link #apply applied}, and gives its entries their
     * versions.
     *
     * @param after sequence number of the preceding change
     */
    public FileChange change(long after, List<Name> removed, List<FileEntry> put) {
        List<FileEntry> versioned = new ArrayList<>();
        put.forEach(entry -> versioned.add(entry.withVersion(++lastVersion)));
        return new FileChange(after + 1, removed, versioned);
    }

    /** Applies a durable change. The space of replaced and removed entries is freed once they have no readers. */
    public void apply(FileChange change) {
        if (change.seq() != seq + 1) {
            throw new IllegalStateException("change " + change.seq() + " of the file catalogue does not follow " + seq);
        }
        seq = change.seq();
        for (Name name : change.removed()) {
            FileEntry old = entries.remove(name);
            if (old != null) {
                unlink(old);
            }
        }
        for (FileEntry entry : change.put()) {
            FileEntry old = entries.put(entry.name(), entry);
            if (old != null) {
                replace(old, entry);
            }
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
        if (freeSpace.containsKey(entry.module())) {
            release(entry.module(), entry.pieces());
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

    /** Sequence number of the last change. */
    public long seq() {
        return seq;
    }

    /** Number of entries in all modules. */
    public int size() {
        return entries.size();
    }

    /** Encodes a snapshot of the catalogue. */
    public byte[] snapshot() {
        return new CatalogueSnapshot(seq, entries.values()).encode();
    }
}
