package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.ExtentLayout;
import garnetreel.core.Volume;
import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.RequestClass;
import java.util.List;
import java.util.Set;

/** Operations and sub-requests on a volume of 1 MiB with extents of 64 KiB, distributed over shards 0 to 2. */
final class RequestFixtures {
    static final long EXTENT_BYTES = 64 << 10;
    static final long DEADLINE = 1_000_000;
    static final Volume VOLUME = new Volume(
            7,
            "disk",
            "",
            1 << 20,
            false,
            "gold",
            "class",
            "class",
            "class",
            0,
            ExtentLayout.fixed(EXTENT_BYTES, List.of(0, 1, 2)));

    private RequestFixtures() {}

    /** A router that locates extents by the volume's initial placement. */
    static ExtentRouter fixedRouter() {
        return new ExtentRouter() {
            @Override
            public ExtentLayout.ExtentLocation locate(Volume volume, long offset) {
                return volume.layout().locate(offset);
            }

            @Override
            public Set<Integer> shards(Volume volume) {
                return Set.copyOf(volume.layout().shards());
            }

            @Override
            public boolean isMapKnown() {
                return true;
            }

            @Override
            public void reportStale() {
                throw new AssertionError("a fixed layout is never stale");
            }
        };
    }

    static BlockOperation operation(Op op, long offset, long length) {
        return operation(op, offset, length, Idempotency.IDEMPOTENT, false);
    }

    static BlockOperation operation(Op op, long offset, long length, Idempotency idempotency, boolean ordered) {
        RequestClass requestClass = new RequestClass(
                "class",
                1000,
                0,
                DEADLINE,
                idempotency,
                DeduplicationScope.values()[0],
                0,
                false,
                0,
                1,
                ordered,
                op.changesData());
        byte[] data = op == Op.WRITE ? new byte[(int) length] : null;
        return new BlockOperation(VOLUME, op, offset, length, data, false, 1, reply -> {}, requestClass, DEADLINE);
    }

    static SubRequest subRequest(long id, BlockOperation operation, long offset, int length, long key) {
        return new SubRequest(id, operation, offset, length, 0, 0, 1, key, operation.deadline);
    }
}
