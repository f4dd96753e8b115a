package garnetreel.core;

/**
 * A volume; an NBD export or the storage of an rsync module.
 *
 * @param id number of the volume, the same on all gateways
 * @param size size in bytes
 * @param plan name of its plan
 * @param readClass request class of READ, CACHE and BLOCK_STATUS
 * @param writeClass request class of operations that change data
 * @param flushClass request class of FLUSH, which must be idempotent
 * @param gateways number of gateways that receive requests for it; 0 for all
 * @param layout initial placement of its extents, which applies unless the extent map contains the volume
 */
public record Volume(
        long id,
        String name,
        String description,
        long size,
        boolean readOnly,
        String plan,
        String readClass,
        String writeClass,
        String flushClass,
        int gateways,
        ExtentLayout layout) {}
