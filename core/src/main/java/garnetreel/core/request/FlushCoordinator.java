package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.io.NetAction;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which shards a flush is sent to, and whether it confirms all writes answered before it. Keeps {@link
 * UnflushedWrites} and what is stored of them.
 */
final class FlushCoordinator {
    private final ExtentRouter router;
    private final UnflushedWrites unflushedWrites = new UnflushedWrites();
    private final UnflushedWritesStore store;

    /**
     * @param stored what an earlier process stored; null for none
     */
    FlushCoordinator(GatewaySettings settings, ExtentRouter router, byte[] stored) {
        this.router = router;
        this.store = new UnflushedWritesStore(stored);
        Set<Long> volumes = settings.volumes().stream().map(Volume::id).collect(Collectors.toSet());
        unflushedWrites.restore(store.restored(volumes));
    }

    /** Whether all shards are known that an earlier process may have written to. */
    boolean isReady(Volume volume) {
        return unflushedWrites.coversAllShards(volume.id()) || router.isMapKnown();
    }

    /** The shards that a flush of a volume has to be sent to; the volume must be {@link #isReady ready}. */
    Set<Integer> shards(Volume volume) {
        if (!unflushedWrites.coversAllShards(volume.id())) {
            unflushedWrites.assumeUnflushed(volume.id(), router.shards(volume));
        }
        return unflushedWrites.shards(volume.id());
    }

    /** Number of the last acknowledged write; a flush that starts now covers all writes up to it. */
    long lastWriteNumber() {
        return unflushedWrites.lastWriteNumber();
    }

    /** A node has executed a sub-request; false for a flush that covers a write which the node has lost. */
    boolean executed(SubRequest subRequest, NodeMessage.Answer answer, long now, List<NetAction> actions) {
        BlockOperation operation = subRequest.operation;
        long volume = operation.volume.id();
        if (operation.op == Op.FLUSH) {
            store.flushed(now);
            return unflushedWrites.recordFlush(
                    volume, subRequest.shard, answer.incarnation(), subRequest.lastWriteCovered);
        }
        if (operation.op.changesData() && !operation.sync) {
            store.written(unflushedWrites.recordWrite(volume, subRequest.shard, answer.incarnation()), actions);
        }
        return true;
    }

    /** When {@link #expire} must be called next; {@link Long#MAX_VALUE} for never. */
    long nextDeadline() {
        return store.nextDeadline();
    }

    /** Stores what was flushed, if that is due. */
    void expire(long now, List<NetAction> actions) {
        if (now >= store.nextDeadline()) {
            store.removeFlushed(unflushedWrites.writtenNodes(), actions);
        }
    }
}
