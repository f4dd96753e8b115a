package garnetreel.core.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Writes acknowledged by nodes that may not be durable yet, by volume and shard. They determine to which shards a flush
 * is sent, and whether one of these writes has been lost in the meantime.
 *
 * <p>Without the check for lost writes, a node could acknowledge a write, lose it in a restart and then acknowledge a
 * flush, so that the client would take the lost write for durable. Each answer of a node therefore carries the node's
 * incarnation, and a flush fails if it covers a write that another incarnation acknowledged. A node that keeps its
 * unflushed writes over a restart must keep its incarnation too; otherwise flushes fail although no write was lost.
 *
 * <p>Memory is bounded: there is one entry per volume, shard and incarnation with unflushed writes. Further
 * incarnations of a shard beyond {@link #MAX_INCARNATIONS} share one entry, whose writes count as lost.
 */
final class UnflushedWrites {
    private static final int MAX_INCARNATIONS = 8;
    /** Stands for all incarnations beyond the limit; no node uses this value. */
    private static final long LOST_INCARNATION = Long.MIN_VALUE;

    private record VolumeShard(long volume, int shard) {}

    /** The number of the last unflushed write, by incarnation of the shard's node. */
    private final Map<VolumeShard, TreeMap<Long, Long>> lastWrites = new HashMap<>();

    private long lastWriteNumber;

    /** Records a write acknowledged by an incarnation of the shard's node. */
    void recordWrite(long volume, int shard, long incarnation) {
        TreeMap<Long, Long> byIncarnation =
                lastWrites.computeIfAbsent(new VolumeShard(volume, shard), unused -> new TreeMap<>());
        boolean limitReached = byIncarnation.size() >= MAX_INCARNATIONS && !byIncarnation.containsKey(incarnation);
        byIncarnation.put(limitReached ? LOST_INCARNATION : incarnation, ++lastWriteNumber);
    }

    /** Number of the last acknowledged write; a flush that starts now covers all writes up to it. */
    long lastWriteNumber() {
        return lastWriteNumber;
    }

    /** The shards of a volume with writes that may not be durable, in ascending order. */
    Set<Integer> shards(long volume) {
        Set<Integer> shards = new TreeSet<>();
        for (VolumeShard entry : lastWrites.keySet()) {
            if (entry.volume() == volume) {
                shards.add(entry.shard());
            }
        }
        return shards;
    }

    /** Records a flush acknowledged by an incarnation; false if a write of another incarnation has been lost. */
    boolean recordFlush(long volume, int shard, long incarnation, long lastWriteCovered) {
        VolumeShard key = new VolumeShard(volume, shard);
        TreeMap<Long, Long> byIncarnation = lastWrites.get(key);
        if (byIncarnation == null) {
            return true;
        }
        boolean lost = byIncarnation.entrySet().removeIf(e -> e.getKey() != incarnation);
        byIncarnation.computeIfPresent(incarnation, (unused, last) -> last <= lastWriteCovered ? null : last);
        if (byIncarnation.isEmpty()) {
            lastWrites.remove(key);
        }
        return !lost;
    }
}
