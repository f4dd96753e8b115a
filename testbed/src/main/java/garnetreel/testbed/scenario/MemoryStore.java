package garnetreel.testbed.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** In-memory store for the durable state of a process; it survives restarts of the process. Thread-safe. */
final class MemoryStore implements ScenarioEnvironment.StateStore {
    /**
     * The content of a journal.
     *
     * @param snapshot replaces the records before the retained ones; null for none
     */
    record Journal(byte[] snapshot, List<byte[]> records) {}

    private final Map<String, byte[]> values = new HashMap<>();
    private final TreeMap<Long, byte[]> records = new TreeMap<>();
    private byte[] snapshot;

    @Override
    public synchronized void put(String name, byte[] data) {
        values.put(name, data);
    }

    @Override
    public synchronized void append(long seq, byte[] data) {
        records.put(seq, data);
    }

    @Override
    public synchronized void snapshot(long seq, byte[] data, int retainedRecords) {
        snapshot = data;
        records.headMap(seq - retainedRecords, true).clear();
    }

    /** The value stored under a name; null if there is none. */
    synchronized byte[] value(String name) {
        return values.get(name);
    }

    /** The current content of the journal. */
    synchronized Journal journal() {
        return new Journal(snapshot, List.copyOf(records.values()));
    }

    /** Restores a backup that lacks the given number of latest records and the snapshot; the first record is kept. */
    synchronized void restore(int transactions) {
        for (int left = transactions; left > 0 && records.size() > 1; left--) {
            records.pollLastEntry();
        }
        snapshot = null;
    }
}
