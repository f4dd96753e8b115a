package garnetreel.core.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
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
 * <p>An earlier process of this gateway may have acknowledged writes that this one does not know of. Until a flush of a
 * volume has been sent to every shard of it, each of them is taken to hold unflushed writes. The incarnations to which
 * those writes belong are known as far as {@link UnflushedWritesStore} has stored them.
 *
 * <p>Memory is bounded: there is one entry per volume, shard and incarnation with unflushed writes. Further
 * incarnations of a shard beyond {@link #MAX_INCARNATIONS} share one entry, whose writes count as lost.
 */
final class UnflushedWrites {
    private static final int MAX_INCARNATIONS = 8;
    /** Stands for all incarnations beyond the limit; no node uses this value. */
    private static final long LOST_INCARNATION = Long.MIN_VALUE;
    /** Stands for the unknown incarnation that an earlier process of this gateway wrote to; no node uses this value. */
    private static final long UNKNOWN_INCARNATION = Long.MIN_VALUE + 1;
    /** Number of a write by an earlier process: every flush covers it. */
    private static final long EARLIER_WRITE = 0;

    private record VolumeShard(long volume, int shard) {}

    /** An incarnation of a shard's node that has acknowledged writes to a volume. */
    record WrittenNode(long volume, int shard, long incarnation) implements Comparable<WrittenNode> {
        private static final Comparator<WrittenNode> ORDER = Comparator.comparingLong(WrittenNode::volume)
                .thenComparingInt(WrittenNode::shard)
                .thenComparingLong(WrittenNode::incarnation);

        @Override
        public int compareTo(WrittenNode other) {
            return ORDER.compare(this, other);
        }
    }

    /** The number of the last unflushed write, by incarnation of the shard's node. */
    private final Map<VolumeShard, TreeMap<Long, Long>> lastWrites = new HashMap<>();
    /** Volumes of which every shard was made an entry since the start. */
    private final Set<Long> volumesWithEntries = new HashSet<>();

    private long lastWriteNumber = EARLIER_WRITE;

    /** Takes over writes that an earlier process stored. */
    void restore(Set<WrittenNode> writtenNodes) {
        for (WrittenNode written : writtenNodes) {
            entry(written.volume(), written.shard()).put(written.incarnation(), EARLIER_WRITE);
        }
    }

    /** The nodes with writes that may not be durable, as far as their incarnations are known. */
    Set<WrittenNode> writtenNodes() {
        Set<WrittenNode> writtenNodes = new TreeSet<>();
        lastWrites.forEach((key, byIncarnation) -> byIncarnation.keySet().stream()
                .filter(incarnation -> incarnation != UNKNOWN_INCARNATION)
                .forEach(incarnation -> writtenNodes.add(new WrittenNode(key.volume(), key.shard(), incarnation))));
        return writtenNodes;
    }

    /** Whether every shard of a volume was made an entry, so that {@link #shards} is complete. */
    boolean coversAllShards(long volume) {
        return volumesWithEntries.contains(volume);
    }

    /** Takes every shard of a volume to hold unflushed writes of an earlier process. */
    void assumeUnflushed(long volume, Set<Integer> shards) {
        shards.forEach(shard -> entry(volume, shard).put(UNKNOWN_INCARNATION, EARLIER_WRITE));
        volumesWithEntries.add(volume);
    }

    private TreeMap<Long, Long> entry(long volume, int shard) {
        return lastWrites.computeIfAbsent(new VolumeShard(volume, shard), unused -> new TreeMap<>());
    }

    /** Records a write acknowledged by an incarnation of the shard's node, and returns the entry that stands for it. */
    WrittenNode recordWrite(long volume, int shard, long incarnation) {
        TreeMap<Long, Long> byIncarnation = entry(volume, shard);
        boolean limitReached = byIncarnation.size() >= MAX_INCARNATIONS && !byIncarnation.containsKey(incarnation);
        long recordedIncarnation = limitReached ? LOST_INCARNATION : incarnation;
        byIncarnation.put(recordedIncarnation, ++lastWriteNumber);
        return new WrittenNode(volume, shard, recordedIncarnation);
    }

    /** Number of the last acknowledged write; a flush that starts now covers all writes up to it. */
    long lastWriteNumber() {
        return lastWriteNumber;
    }

    /**
     * The shards of a volume with writes that may not be durable, in ascending order.
     *
     * @throws IllegalStateException if a shard that an earlier process wrote to could be missing
     */
    Set<Integer> shards(long volume) {
        if (!coversAllShards(volume)) {
            throw new IllegalStateException("the shards of volume " + volume + " are not known yet");
        }
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
        byIncarnation.remove(UNKNOWN_INCARNATION);
        boolean lost = byIncarnation.entrySet().removeIf(e -> e.getKey() != incarnation);
        byIncarnation.computeIfPresent(incarnation, (unused, last) -> last <= lastWriteCovered ? null : last);
        if (byIncarnation.isEmpty()) {
            lastWrites.remove(key);
        }
        return !lost;
    }
}
