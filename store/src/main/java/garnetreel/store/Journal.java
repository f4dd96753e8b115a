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
 * A write-ahead journal in an H2 MVStore file: numbered records, and a snapshot of the state up to one of them.
 * Appended records and snapshots are durable when the call returns; after a crash the journal holds all records up to
 * some number, without gaps. MVStore writes complete checksummed chunks and on opening falls back to the last complete
 * one. A snapshot and the removal of the records that it covers are in one chunk, so they become visible together.
 *
 * <p>A disk may fail temporarily (ENOSPC, EIO). A change whose call failed is either durable or not; the caller repeats
 * the call, which is safe if the change is durable already. MVStore closes its file after a failed write, so the next
 * call reopens it. It does so twice, with a normal close in between, which rewrites the header: MVStore finds chunks by
 * starting at the header and following the position of the next chunk that each chunk stores. A failed write breaks
 * this chain, so without a new header the next opening would miss all chunks after the break.
 *
 * <p>Thread safe: calls are serialized.
 */
public final class Journal implements AutoCloseable {
    /** Time limit, in milliseconds, for reclaiming free space in the file at a snapshot. */
    private static final int COMPACT_MS = 50;

    private final Path file;
    /** Null after a failure and after {@link #close}; the next call reopens the file. */
    private MVStore store;

    /**
     * A write has failed since the file was last opened, so the file's header may not lead to its last chunks.
     */
    private boolean writeFailed;
    /** Number of the last record whose {@link #append} returned successfully. */
    private long lastDurable;

    private MVMap<Long, byte[]> records;
    private MVMap<Long, byte[]> snapshots;

    /**
     * Contents of a journal.
     *
     * @param snapshot the latest snapshot; null for none
     * @param records the retained records, in order
     */
    public record Contents(byte[] snapshot, List<byte[]> records) {}

    /**
     * Opens or creates a journal.
     *
     * @throws IOException if the file cannot be opened, is not a journal or is locked by another process
     */
    public Journal(Path file) throws IOException {
        this.file = file;
        if (file.toAbsolutePath().getParent() != null) {
            Files.createDirectories(file.toAbsolutePath().getParent());
        }
        open();
    }

    private void open() throws IOException {
        if (store != null) {
            return;
        }
        MVStore opened = null;
        try {
            if (writeFailed) {
                opened = openStore();
                opened.close();
                writeFailed = false;
            }
            opened = openStore();
            records = opened.openMap("records");
            snapshots = opened.openMap("snapshots");
            store = opened;
        } catch (MVStoreException e) {
            if (opened != null) {
                opened.closeImmediately();
            }
            throw new IOException("journal " + file + " can't be opened: " + e.getMessage(), e);
        }
        checkNothingLost();
    }

    private MVStore openStore() {
        return new MVStore.Builder()
                .fileName(file.toString())
                .autoCommitDisabled()
                .open();
    }

    /** Fails if the reopened file lacks a durable record, so that nothing is appended after a loss. */
    private void checkNothingLost() throws IOException {
        long last = lastSequence();
        if (last < lastDurable) {
            store.closeImmediately();
            store = null;
            throw new IOException(
                    "journal " + file + " has lost records: it ends with record " + last + ", expected " + lastDurable);
        }
    }

    private IOException writeFailure(MVStoreException cause) {
        store.closeImmediately();
        store = null;
        writeFailed = true;
        return new IOException("journal " + file + " can't be written: " + cause.getMessage(), cause);
    }

    /**
     * Appends a record, which is durable on return. Its number must follow that of the last retained record, if any, or
     * be the same, which replaces it.
     *
     * @throws IOException if writing fails; the record may be durable or not, and may be appended again
     */
    public synchronized void append(long seq, byte[] record) throws IOException {
        open();
        try {
            Long last = records.lastKey();
            if (last != null && seq != last + 1 && seq != last) {
                throw new IllegalArgumentException("record " + seq + " does not follow " + last);
            }
            records.put(seq, record);
            store.commit();
            store.sync();
            lastDurable = seq;
        } catch (MVStoreException e) {
            throw writeFailure(e);
        }
    }

    /**
     * Stores a snapshot of the state up to record {@code seq}, in place of the previous one, and removes the records
     * that it covers except the last {@code retained}.
     *
     * @throws IOException if writing fails; the snapshot may be durable or not, and the call may be repeated
     */
    public synchronized void snapshot(long seq, byte[] data, int retained) throws IOException {
        open();
        try {
            if (!snapshots.containsKey(seq) && (records.lastKey() == null || seq > records.lastKey())) {
                throw new IllegalArgumentException(
                        "snapshot covers record " + seq + ", but the last record is " + records.lastKey());
            }
            List.copyOf(snapshots.keySet()).forEach(snapshots::remove);
            snapshots.put(seq, data);
            for (Long first = records.firstKey();
                    first != null && first <= seq - retained;
                    first = records.firstKey()) {
                records.remove(first);
            }
            store.commit();
            store.sync();
            store.compactFile(COMPACT_MS);
        } catch (MVStoreException e) {
            throw writeFailure(e);
        }
    }

    /** Number of the last record, whether it is retained or covered by the snapshot; 0 for none. */
    public synchronized long lastSequence() throws IOException {
        open();
        Long record = records.lastKey();
        Long snapshot = snapshots.lastKey();
        return Math.max(record == null ? 0 : record, snapshot == null ? 0 : snapshot);
    }

    /** The latest snapshot and the retained records. */
    public synchronized Contents contents() throws IOException {
        open();
        return new Contents(
                snapshots.isEmpty() ? null : snapshots.get(snapshots.lastKey()), new ArrayList<>(records.values()));
    }

    @Override
    public synchronized void close() {
        if (store != null) {
            store.close();
            store = null;
        }
    }
}
