package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.ExtentLayout;
import garnetreel.core.Volume;

/** Splits operations into sub-requests, at extent boundaries and by the largest request that the scheduler accepts. */
final class RequestSplitter {
    /**
     * A block status operation ends with the sub-request after which it covers at least this many times that
     * sub-request's bytes, usually an extent each; NBD allows the reply to cover less than was requested.
     */
    private static final int MAX_STATUS_EXTENTS = 32;
    /**
     * A key holds the volume in its upper and the block in its lower bits; the wire protocol requires keys below 2^53.
     */
    private static final int KEY_VOLUME_BITS = 16;

    private static final int KEY_BLOCK_BITS = 36;
    private static final long KEY_VOLUME_MASK = (1L << KEY_VOLUME_BITS) - 1;
    private static final long KEY_BLOCK_MASK = (1L << KEY_BLOCK_BITS) - 1;

    private final ExtentRouter router;
    private final int unitBytes;
    private final int keyBytes;
    private final int maxSubRequestBytes;

    /**
     * @param unitBytes bytes that the scheduler counts as one unit
     * @param keyBytes size of the blocks whose bytes share a key
     * @param maxSubRequestBytes largest read or write sent as one sub-request; a multiple of {@code unitBytes}
     */
    RequestSplitter(ExtentRouter router, int unitBytes, int keyBytes, int maxSubRequestBytes) {
        this.router = router;
        this.unitBytes = unitBytes;
        this.keyBytes = keyBytes;
        this.maxSubRequestBytes = maxSubRequestBytes;
    }

    /** Creates the next sub-request, from the part of an operation that none covers yet. */
    SubRequest next(BlockOperation operation, long id) {
        long offset = operation.nextOffset;
        ExtentLayout.ExtentLocation location = router.locate(operation.volume, offset);
        long end = Math.min(operation.offset + operation.length, location.end());
        boolean carriesData = operation.op == Op.READ || operation.op == Op.WRITE;
        if (carriesData) {
            // Cut at multiples of the maximum size, so that the cuts do not depend on where an operation begins.
            end = Math.min(end, (offset / maxSubRequestBytes + 1) * maxSubRequestBytes);
        }
        int length = (int) Math.min(Integer.MAX_VALUE, end - offset);
        int units = carriesData ? (length + unitBytes - 1) / unitBytes : 1;
        operation.nextOffset = offset + length;
        if (operation.op == Op.STATUS
                && operation.nextOffset - operation.offset >= (long) MAX_STATUS_EXTENTS * length) {
            operation.stopped = true;
        }
        return new SubRequest(
                id,
                operation,
                offset,
                length,
                location.shard(),
                location.version(),
                units,
                key(operation.volume, offset),
                operation.deadline);
    }

    /**
     * Creates a flush of one shard. The sub-request has the shard number in place of an offset, so the reply to a
     * failed flush has the message of the lowest shard that failed, and its number as the error offset.
     */
    static SubRequest flush(BlockOperation operation, int shard, long lastWriteCovered, long id) {
        SubRequest flush = new SubRequest(id, operation, shard, 0, shard, 0, 1, SubRequest.NO_KEY, operation.deadline);
        flush.lastWriteCovered = lastWriteCovered;
        return flush;
    }

    /** The scheduler's key of the block at an offset: the volume and the number of the block within it. */
    private long key(Volume volume, long offset) {
        return (volume.id() & KEY_VOLUME_MASK) << KEY_BLOCK_BITS | offset / keyBytes & KEY_BLOCK_MASK;
    }
}
