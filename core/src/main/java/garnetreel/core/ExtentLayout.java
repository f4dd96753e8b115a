package garnetreel.core;

import java.util.List;

/**
 * The initial placement of a volume's extents on shards, which applies unless the extent map contains the volume.
 */
public interface ExtentLayout {

    /** The location of the extent that contains an offset of the volume. */
    ExtentLocation locate(long offset);

    /** The shards that extents are placed on. */
    List<Integer> shards();

    /**
     * The location of an extent.
     *
     * @param shard the shard that holds the extent
     * @param version version of the extent; 0 for an initial placement that is not from the extent map, which alone
     *     assigns versions
     * @param end offset of the first byte after the extent
     */
    record ExtentLocation(int shard, long version, long end) {}

    /**
     * A layout of extents of equal size, assigned to the shards round-robin.
     *
     * @throws IllegalArgumentException if the extent size is not positive or there is no shard
     */
    static ExtentLayout fixed(long extentBytes, List<Integer> shards) {
        if (extentBytes <= 0 || shards.isEmpty()) {
            throw new IllegalArgumentException("a layout needs a positive extent size and at least one shard, got "
                    + extentBytes + " bytes and " + shards.size() + " shards");
        }
        int[] shardNumbers = shards.stream().mapToInt(Integer::intValue).toArray();
        return new ExtentLayout() {
            @Override
            public ExtentLocation locate(long offset) {
                long extent = offset / extentBytes;
                return new ExtentLocation(
                        shardNumbers[(int) (extent % shardNumbers.length)], 0, (extent + 1) * extentBytes);
            }

            @Override
            public List<Integer> shards() {
                return List.copyOf(shards);
            }
        };
    }
}
