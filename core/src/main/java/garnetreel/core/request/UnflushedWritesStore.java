package garnetreel.core.request;

import garnetreel.core.io.NetAction;
import garnetreel.core.request.UnflushedWrites.WrittenNode;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Stores which nodes hold {@link UnflushedWrites}, so that a restarted gateway recognises writes that a node lost in the
 * meantime. A node is stored with its first write. It is removed {@link #REMOVAL_DELAY_MICROS} after a flush: a client
 * that writes and flushes in turn would otherwise have a state stored for each, and a node stored too long costs no more
 * than a flush that fails although nothing was lost, if the node and the gateway restart within that time.
 *
 * <p>The state is stored in the background, while the write is being answered. A gateway that is killed in that moment
 * does not recognise that the node lost the write afterwards.
 */
final class UnflushedWritesStore {
    private static final long REMOVAL_DELAY_MICROS = 10_000_000;
    private static final int ENTRY_BYTES = Long.BYTES + Integer.BYTES + Long.BYTES;

    private final Set<WrittenNode> stored;
    private long nextRemovalAt = Long.MAX_VALUE;

    /**
     * @param stored what an earlier process stored; null for none. What can't be read counts as none
     */
    UnflushedWritesStore(byte[] stored) {
        this.stored = stored == null || stored.length % ENTRY_BYTES != 0 ? new TreeSet<>() : decode(stored);
    }

    private static Set<WrittenNode> decode(byte[] bytes) {
        Set<WrittenNode> decoded = new TreeSet<>();
        ByteBuffer in = ByteBuffer.wrap(bytes);
        while (in.hasRemaining()) {
            decoded.add(new WrittenNode(in.getLong(), in.getInt(), in.getLong()));
        }
        return decoded;
    }

    private byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(stored.size() * ENTRY_BYTES);
        for (WrittenNode node : stored) {
            out.putLong(node.volume());
            out.putInt(node.shard());
            out.putLong(node.incarnation());
        }
        return out.array();
    }

    /** The nodes stored for some volumes; those of other volumes are dropped with the next change. */
    Set<WrittenNode> restored(Set<Long> volumes) {
        stored.removeIf(node -> !volumes.contains(node.volume()));
        return Set.copyOf(stored);
    }

    /** A node has acknowledged a write. */
    void written(WrittenNode node, List<NetAction> actions) {
        if (stored.add(node)) {
            persist(actions);
        }
    }

    /** A node has acknowledged a flush. */
    void flushed(long now) {
        nextRemovalAt = Math.min(nextRemovalAt, now + REMOVAL_DELAY_MICROS);
    }

    /** When {@link #removeFlushed} must be called next; {@link Long#MAX_VALUE} for never. */
    long nextDeadline() {
        return nextRemovalAt;
    }

    /** Removes all nodes that have no unflushed writes any more. */
    void removeFlushed(Set<WrittenNode> current, List<NetAction> actions) {
        nextRemovalAt = Long.MAX_VALUE;
        if (stored.retainAll(current)) {
            persist(actions);
        }
    }

    private void persist(List<NetAction> actions) {
        actions.add(new NetAction.Persist(RequestRegistry.UNFLUSHED_WRITES_NAME, encode()));
    }
}
