package garnetreel.map;

import garnetreel.codec.map.MapMessage.Change;
import garnetreel.codec.map.MapMessage.MovedExtent;
import garnetreel.codec.map.MapMessage.VolumeMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Shard and version of each extent of one volume. Immutable and copy-on-write: a change gives a new map that shares all
 * unmodified chunks, so that readers keep a consistent view.
 *
 * <p>The initial placement puts extent n at the shard with index n modulo the number of initial shards. Only extents
 * that have migrated are stored, in chunks of {@link #CHUNK_EXTENTS} extents that are allocated when the first of them
 * migrates. A volume whose extents have all migrated takes 12 bytes per extent.
 */
public final class ExtentMap {
    /**
     * Extents in a chunk: few enough to copy a chunk for one change, and enough that a million extents need few chunks.
     */
    static final int CHUNK_EXTENTS = 512;
    /** Version of an extent that has never migrated. */
    public static final long INITIAL_VERSION = 1;

    private static final class Chunk {
        final int[] shards = new int[CHUNK_EXTENTS];
        /** Versions; 0 for an extent that has never migrated. */
        final long[] versions = new long[CHUNK_EXTENTS];

        Chunk copy() {
            Chunk copy = new Chunk();
            System.arraycopy(shards, 0, copy.shards, 0, CHUNK_EXTENTS);
            System.arraycopy(versions, 0, copy.versions, 0, CHUNK_EXTENTS);
            return copy;
        }
    }

    private final long volume;
    private final long extents;
    private final int extentBytes;
    private final int[] initialShards;
    private final Chunk[] chunks;

    private ExtentMap(long volume, long extents, int extentBytes, int[] initialShards, Chunk[] chunks) {
        this.volume = volume;
        this.extents = extents;
        this.extentBytes = extentBytes;
        this.initialShards = initialShards;
        this.chunks = chunks;
    }

    /** The map of a volume whose extents are all at the shards of the initial placement. */
    public static ExtentMap of(long volume, long extents, int extentBytes, List<Integer> shards) {
        if (extents <= 0 || extentBytes <= 0 || shards.isEmpty()) {
            throw new IllegalArgumentException(
                    "an extent map needs at least one extent, a positive extent size and at least one shard");
        }
        return new ExtentMap(
                volume,
                extents,
                extentBytes,
                shards.stream().mapToInt(Integer::intValue).toArray(),
                new Chunk[Math.toIntExact((extents + CHUNK_EXTENTS - 1) / CHUNK_EXTENTS)]);
    }

    /** Decodes the map in a message. */
    public static ExtentMap of(VolumeMap message) {
        ExtentMap map = of(message.volume(), message.extents(), message.extentBytes(), message.shards());
        List<Change> changes = new ArrayList<>(message.movedExtents().size());
        message.movedExtents()
                .forEach(m -> changes.add(new Change(message.volume(), m.extent(), m.shard(), m.version())));
        return map.with(changes);
    }

    /**
     * A copy of the map with the changes of this volume applied; changes of other volumes are ignored.
     *
     * @throws IllegalArgumentException if the volume does not have a changed extent
     */
    public ExtentMap with(List<Change> changes) {
        Chunk[] next = chunks.clone();
        boolean[] copied = new boolean[chunks.length];
        for (Change change : changes) {
            if (change.volume() != volume) {
                continue;
            }
            if (!contains(change.extent())) {
                throw new IllegalArgumentException("volume " + volume + " has no extent " + change.extent());
            }
            int index = (int) (change.extent() / CHUNK_EXTENTS);
            if (!copied[index]) {
                next[index] = next[index] == null ? new Chunk() : next[index].copy();
                copied[index] = true;
            }
            int slot = (int) (change.extent() % CHUNK_EXTENTS);
            next[index].shards[slot] = change.shard();
            next[index].versions[slot] = change.version();
        }
        return new ExtentMap(volume, extents, extentBytes, initialShards, next);
    }

    /** Whether the volume has an extent with that number. */
    public boolean contains(long extent) {
        return extent >= 0 && extent < extents;
    }

    /** Shard that holds an extent. */
    public int shard(long extent) {
        Chunk chunk = chunks[(int) (extent / CHUNK_EXTENTS)];
        int slot = (int) (extent % CHUNK_EXTENTS);
        return chunk == null || chunk.versions[slot] == 0
                ? initialShards[(int) (extent % initialShards.length)]
                : chunk.shards[slot];
    }

    /** Version under which its shard holds an extent. */
    public long version(long extent) {
        Chunk chunk = chunks[(int) (extent / CHUNK_EXTENTS)];
        int slot = (int) (extent % CHUNK_EXTENTS);
        return chunk == null || chunk.versions[slot] == 0 ? INITIAL_VERSION : chunk.versions[slot];
    }

    /** Shards that hold a migrated extent, and all shards of the initial placement. */
    public Set<Integer> shards() {
        Set<Integer> shards = new TreeSet<>();
        for (int shard : initialShards) {
            shards.add(shard);
        }
        for (Chunk chunk : chunks) {
            for (int slot = 0; chunk != null && slot < CHUNK_EXTENTS; slot++) {
                if (chunk.versions[slot] != 0) {
                    shards.add(chunk.shards[slot]);
                }
            }
        }
        return shards;
    }

    /** Number of the volume. */
    public long volume() {
        return volume;
    }

    /** Number of extents in the volume. */
    public long extents() {
        return extents;
    }

    /** Size of an extent in bytes. */
    public int extentBytes() {
        return extentBytes;
    }

    /** Encodes the map as a message. */
    public VolumeMap toMessage() {
        List<MovedExtent> moved = new ArrayList<>();
        for (int index = 0; index < chunks.length; index++) {
            for (int slot = 0; chunks[index] != null && slot < CHUNK_EXTENTS; slot++) {
                if (chunks[index].versions[slot] != 0) {
                    moved.add(new MovedExtent(
                            (long) index * CHUNK_EXTENTS + slot,
                            chunks[index].shards[slot],
                            chunks[index].versions[slot]));
                }
            }
        }
        List<Integer> shards = new ArrayList<>();
        for (int shard : initialShards) {
            shards.add(shard);
        }
        return new VolumeMap(volume, extents, extentBytes, shards, moved);
    }
}
