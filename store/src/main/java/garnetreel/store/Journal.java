package garnetreel.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * Numbered records in an H2 MVStore file, and a snapshot of what the first of them say: each is durable when its call
 * returns, and after a kill at any moment all records up to some number are there. MVStore writes whole checksummed
 * chunks and, on opening, goes back to the last one that is complete; a snapshot and the end of the records that it
 * covers are one chunk, so neither is ever seen without the other.
 */
public final class Journal implements AutoCloseable {
    /** Time MVStore may spend on giving freed space back when it is asked to, in milliseconds. */
    private static final int COMPACT_MS = 50;

    private final MVStore store;
    private final MVMap<Long, byte[]> records;
    private final MVMap<Long, byte[]> snapshots;

    /** What a journal holds: the last snapshot (null for none) and the records there are, in order. */
    public record Kept(byte[] snapshot, List<byte[]> records) { }

    /** Opens or makes a journal. */
    public Journal(Path file) throws IOException {
        if (file.toAbsolutePath().getParent() != null) {
            Files.createDirectories(file.toAbsolutePath().getParent());
        }
        try {
            store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open();
        } catch (MVStoreException e) {
            throw new IOException("journal " + file + " can't be opened: " + e.getMessage(), e);
        }
        records = store.openMap("records");
        snapshots = store.openMap("snapshots");
    }

    /** Adds a record, durably. Numbers count up by one. */
    public synchronized void append(long seq, byte[] record) {
        Long last = records.lastKey();
        if (last != null && seq != last + 1) {
            throw new IllegalArgumentException("record " + seq + " does not follow " + last);
        }
        records.put(seq, record);
        store.commit();
        store.sync();
    }

    /** Keeps a snapshot of all records up to {@code seq}, and of these the last {@code kept}. */
    public synchronized void snapshot(long seq, byte[] data, int kept) {
        if (records.lastKey() == null || seq > records.lastKey()) {
            throw new IllegalArgumentException("a snapshot of record " + seq + ", and the last is " + records.lastKey());
        }
        List.copyOf(snapshots.keySet()).forEach(snapshots::remove);
        snapshots.put(seq, data);
        for (Long first = records.firstKey(); first != null && first <= seq - kept; first = records.firstKey()) {
            records.remove(first);
        }
        store.commit();
        store.sync();
        store.compactFile(COMPACT_MS);
    }

    /** Number of the last record that was added, whether it is still kept or covered by a snapshot; 0 for none. */
    public synchronized long last() {
        Long record = records.lastKey();
        Long snapshot = snapshots.lastKey();
        return Math.max(record == null ? 0 : record, snapshot == null ? 0 : snapshot);
    }

    /** All that is kept. */
    public synchronized Kept kept() {
        return new Kept(snapshots.isEmpty() ? null : snapshots.get(snapshots.lastKey()),
                new ArrayList<>(records.values()));
    }

    @Override
    public synchronized void close() {
        store.close();
    }
}
