package garnetreel.testbed.node;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The extents that a node holds, their states and versions. Extents that never migrated have no entry and are served
 * under the first version. Entries are durable at once; the set of pages changed during a copy is not.
 */
public final class ExtentTable {
    /** Version of extents that never migrated; gateways without a map use 0. */
    private static final long FIRST_VERSION = 1;
    /** Shift from bytes to megabytes, which stand in for extents while the extent size is unknown. */
    private static final int MEGABYTE_SHIFT = 20;

    /** State of an extent with an entry. */
    public enum State {
        /** The node serves the extent under its version. */
        SERVING(0),
        /** The node has the data but does not serve the extent. */
        FENCED(1),
        /** The node is receiving the data of the extent. */
        RECEIVING(2),
        /** Another node is the holder of the extent. */
        GONE(3);

        private final byte code;

        State(int code) {
            this.code = (byte) code;
        }

        /** Code in the report of LIST_EXTENTS. */
        byte code() {
            return code;
        }
    }

    /** State and version of an extent at this node. */
    static final class ExtentEntry {
        State state;
        long version;
        /** Highest sequence number of a command seen; commands with lower ones are rejected. */
        long highestCommandSeq;
        /** Indexes of pages that were changed since they were last copied; null while changes are not tracked. */
        TreeSet<Integer> changedPages;

        ExtentEntry(State state, long version) {
            this.state = state;
            this.version = version;
        }
    }

    /** Identifies an extent; ordered by volume, then extent. */
    record ExtentId(long volume, long extent) implements Comparable<ExtentId> {
        @Override
        public int compareTo(ExtentId other) {
            return volume != other.volume ? Long.compare(volume, other.volume) : Long.compare(extent, other.extent);
        }
    }

    private final TreeMap<ExtentId, ExtentEntry> entries = new TreeMap<>();
    private final Map<Long, Integer> extentBytes = new HashMap<>();

    /** Extent of an offset; -1 if no extent of the volume ever took part in a migration here. */
    private long extent(long volume, long offset) {
        Integer bytes = extentBytes.get(volume);
        return bytes == null ? -1 : offset / bytes;
    }

    /** Extent of an offset, or the offset's megabyte while the extent size is unknown. */
    long extentOrMegabyte(long volume, long offset) {
        long extent = extent(volume, offset);
        return extent < 0 ? offset >> MEGABYTE_SHIFT : extent;
    }

    private ExtentEntry find(long volume, long offset) {
        return entries.get(new ExtentId(volume, extent(volume, offset)));
    }

    /** Known version of the extent at an offset. */
    long knownVersion(long volume, long offset) {
        ExtentEntry entry = find(volume, offset);
        return entry == null ? FIRST_VERSION : entry.version;
    }

    /** Whether a request that was routed by a version of the extent is served. */
    boolean serves(long volume, long offset, long version) {
        ExtentEntry entry = find(volume, offset);
        return entry == null ? version <= FIRST_VERSION : entry.state == State.SERVING && entry.version == version;
    }

    /** Marks the pages of a range as changed if changes of its extent are tracked. */
    void markChanged(long volume, long offset, long length) {
        ExtentEntry entry = find(volume, offset);
        if (entry == null || entry.changedPages == null) {
            return;
        }
        long begin = extent(volume, offset) * extentBytes.get(volume);
        long first = (offset - begin) / MemoryDisk.PAGE_BYTES;
        long last = (offset + length - 1 - begin) / MemoryDisk.PAGE_BYTES;
        for (long page = first; page <= last; page++) {
            entry.changedPages.add((int) page);
        }
    }

    /** Whether an offset is within an extent. */
    boolean isWithinExtent(long volume, long extent, long otherVolume, long offset) {
        return volume == otherVolume && extent(volume, offset) == extent;
    }

    /**
     * Returns the entry of an extent, creating it if the extent never took part in a migration here.
     *
     * @param owned whether an extent without an entry is served by this node
     */
    ExtentEntry entry(long volume, long extent, int bytes, boolean held) {
        extentBytes.put(volume, bytes);
        return entries.computeIfAbsent(
                new ExtentId(volume, extent),
                any -> held ? new ExtentEntry(State.SERVING, FIRST_VERSION) : new ExtentEntry(State.GONE, 0));
    }

    /** The entries after an extent, in order. */
    Map<ExtentId, ExtentEntry> entriesAfter(long volume, long extent) {
        return entries.tailMap(new ExtentId(volume, extent), false);
    }

    /** Extent size of a volume in bytes; at least one of its extents must have an entry. */
    int extentBytes(long volume) {
        return extentBytes.get(volume);
    }

    /** Simulates a crash: change tracking is lost, so that a running copy has to start again. */
    void crash() {
        entries.values().forEach(entry -> entry.changedPages = null);
    }
}
