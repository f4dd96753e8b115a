package garnetreel.core.request;

import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.connection.NodeAttempt;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The write attempts that a node may still execute, also those whose requests have long been answered. This is the one
 * place that decides when a write is over:
 * <ul>
 * <li>the node answered the attempt, in time or late, whatever it answered;
 * <li>the attempt was never sent, or the node turned it away unseen;
 * <li>otherwise {@link #MAX_WORK_MICROS} after its deadline, until which the node may begin it (docs/node-protocol.md).
 * </ul>
 *
 * <p>Only volumes are tracked whose space is given to other contents. Memory is bounded: beyond {@link #MAX_WRITES}, the
 * whole volume of a write counts as possibly changed until the write is over by its deadline.
 */
final class UnsettledWrites implements WriteSettlement {
    /** Time that a node may work on a write after the deadline until which it may begin it. */
    private static final long MAX_WORK_MICROS = 60_000_000;

    private static final int MAX_WRITES = 65_536;

    /** The attempt of a sub-request. */
    private record WriteAttempt(long subRequestId, int index) {}

    /** A range that an attempt may still change, until its answer or a time. */
    private record Write(WriteAttempt attempt, long volume, long offset, long length, long overAt) {
        private static final Comparator<Write> BY_OFFSET = Comparator.comparingLong(Write::volume)
                .thenComparingLong(Write::offset)
                .thenComparing(Write::attempt, Write::compareAttempts);
        private static final Comparator<Write> BY_TIME =
                Comparator.comparingLong(Write::overAt).thenComparing(Write::attempt, Write::compareAttempts);

        private static int compareAttempts(WriteAttempt a, WriteAttempt b) {
            int bySubRequest = Long.compare(a.subRequestId(), b.subRequestId());
            return bySubRequest != 0 ? bySubRequest : Integer.compare(a.index(), b.index());
        }

        boolean overlaps(long otherOffset, long otherLength) {
            return offset < otherOffset + otherLength && otherOffset < offset + length;
        }
    }

    private final Map<WriteAttempt, Write> byAttempt = new HashMap<>();
    private final TreeSet<Write> byOffset = new TreeSet<>(Write.BY_OFFSET);
    private final TreeSet<Write> byTime = new TreeSet<>(Write.BY_TIME);
    /** When the writes that exceeded the limit are over, by volume. */
    private final Map<Long, Long> volumeOverAt = new HashMap<>();

    /** Volumes whose space is given to other contents, so that it matters when a write to them is over. */
    private final Set<Long> trackedVolumes;

    private long now;
    private long longestWrite;
    private long settledCount;

    UnsettledWrites(GatewaySettings settings) {
        Set<String> names = settings.files().modules().stream()
                .map(GatewaySettings.Module::volume)
                .collect(Collectors.toSet());
        trackedVolumes = settings.volumes().stream()
                .filter(volume -> names.contains(volume.name()))
                .map(Volume::id)
                .collect(Collectors.toSet());
    }

    void beginTurn(long time) {
        now = time;
    }

    /** An attempt is about to be sent. */
    void begin(SubRequest subRequest, NodeAttempt attempt) {
        BlockOperation operation = subRequest.operation;
        if (operation.op.changesData() && trackedVolumes.contains(operation.volume.id())) {
            begin(
                    new WriteAttempt(attempt.subRequestId(), attempt.index()),
                    operation.volume.id(),
                    subRequest.offset,
                    subRequest.length,
                    attempt.timeoutAt());
        }
    }

    private void begin(WriteAttempt attempt, long volume, long offset, long length, long deadline) {
        long overAt = deadline + MAX_WORK_MICROS;
        if (byAttempt.size() >= MAX_WRITES) {
            volumeOverAt.merge(volume, overAt, Math::max);
            return;
        }
        Write write = new Write(attempt, volume, offset, length, overAt);
        longestWrite = Math.max(longestWrite, length);
        byAttempt.put(attempt, write);
        byOffset.add(write);
        byTime.add(write);
    }

    /** The node answered an attempt, or can't have seen it. */
    void settle(long subRequestId, int attemptIndex) {
        settle(new WriteAttempt(subRequestId, attemptIndex));
    }

    private void settle(WriteAttempt attempt) {
        Write write = byAttempt.remove(attempt);
        if (write != null) {
            byOffset.remove(write);
            byTime.remove(write);
            settledCount++;
        }
    }

    @Override
    public boolean mayStillChange(Volume changedVolume, long offset, long length) {
        long volume = changedVolume.id();
        if (now < volumeOverAt.getOrDefault(volume, Long.MIN_VALUE)) {
            return true;
        }
        WriteAttempt first = new WriteAttempt(Long.MIN_VALUE, 0);
        Write from = new Write(first, volume, offset - longestWrite, 0, 0);
        Write to = new Write(first, volume, offset + length, 0, 0);
        return byOffset.subSet(from, to).stream().anyMatch(write -> write.overlaps(offset, length));
    }

    @Override
    public boolean hasUnsettledWrites() {
        return !byAttempt.isEmpty() || !volumeOverAt.isEmpty();
    }

    @Override
    public long settledWrites() {
        return settledCount;
    }

    @Override
    public long maxWriteWork() {
        return MAX_WORK_MICROS;
    }

    /** When {@link #expire} must be called next; {@link Long#MAX_VALUE} for never. */
    long nextDeadline() {
        long next = byTime.isEmpty() ? Long.MAX_VALUE : byTime.first().overAt();
        return volumeOverAt.values().stream().mapToLong(Long::longValue).reduce(next, Math::min);
    }

    /** Settles the writes that are over by their deadline. */
    void expire() {
        while (!byTime.isEmpty() && byTime.first().overAt() <= now) {
            settle(byTime.first().attempt());
        }
        if (volumeOverAt.values().removeIf(overAt -> overAt <= now)) {
            settledCount++;
        }
    }
}
