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
 * Numbered records in an H2 MVStore file: each is durable when {@link #append} returns, and after a kill at any moment
 * all records up to some number are there. MVStore writes whole checksummed chunks and, on opening, goes back to the last
 * one that is complete.
 */
public final class Journal implements AutoCloseable {
    private final MVStore store;
    private final MVMap<Long, byte[]> records;

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

    /** All records in order. */
    public synchronized List<byte[]> records() {
        return new ArrayList<>(records.values());
    }

    @Override
    public synchronized void close() {
        store.close();
    }
}
