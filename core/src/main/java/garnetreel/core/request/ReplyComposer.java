package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.request.BlockBackend.BlockStatusRange;
import garnetreel.core.request.BlockBackend.Reply;
import garnetreel.core.request.BlockBackend.ReplyStatus;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Composes the reply to an operation from the results of its sub-requests. The reply is
 * <ul>
 * <li>served, if all sub-requests were served;
 * <li>rejected, if some were rejected, none failed and, for an operation that changes data, none was served: the client
 *     retries the operation as a whole, and the retry must not repeat an effect;
 * <li>failed otherwise.
 * </ul>
 */
final class ReplyComposer {
    private static final int MICROS_PER_MILLI = 1000;

    private final Op op;
    private final long offset;
    private final long length;
    private final List<SubRequest> statusResults = new ArrayList<>(2);
    /** The bytes read; allocated with the first result. */
    private byte[] readData;

    private int served;
    private int rejected;
    private int failed;
    private long retryAfter;
    private long errorOffset = Long.MAX_VALUE;
    private String message = "";

    ReplyComposer(Op op, long offset, long length) {
        this.op = op;
        this.offset = offset;
        this.length = length;
    }

    /** Adds a sub-request that was served, with the bytes it read. */
    void served(SubRequest subRequest, ByteBuffer bytes) {
        if (op == Op.READ) {
            if (readData == null) {
                readData = new byte[(int) length];
            }
            bytes.duplicate().get(readData, (int) (subRequest.offset - offset), subRequest.length);
        }
        if (op == Op.STATUS) {
            statusResults.add(subRequest);
        }
        served++;
    }

    /** Adds a sub-request that had no effect, with the time after which the client may retry. */
    void rejected(SubRequest subRequest, long subRequestRetryAfter) {
        rejected++;
        retryAfter = Math.max(retryAfter, subRequestRetryAfter);
        recordError(subRequest, "refused, trying again is harmless");
    }

    /** Adds a sub-request whose effect is unknown. */
    void failed(SubRequest subRequest, String reason) {
        failed++;
        recordError(subRequest, reason);
    }

    private void recordError(SubRequest subRequest, String reason) {
        if (subRequest.offset < errorOffset) {
            errorOffset = subRequest.offset;
            message = reason;
        }
    }

    /** The reply; valid once every sub-request has a result. */
    Reply compose() {
        if (rejected + failed == 0) {
            ByteBuffer data = readData == null ? null : ByteBuffer.wrap(readData);
            return new Reply(ReplyStatus.SERVED, 0, -1, "", data, mergedExtents());
        }
        boolean safeToRetry = failed == 0 && (served == 0 || !op.changesData());
        if (safeToRetry) {
            return Reply.rejected(
                    retryAfter, errorOffset, message + "; stay away for " + retryAfter / MICROS_PER_MILLI + " ms");
        }
        return Reply.failed(
                errorOffset,
                failed > 0 ? message : "part of the write was done and part refused; its effect is not whole");
    }

    /** The block status in order of offset; adjacent extents with the same flags are merged. */
    private List<BlockStatusRange> mergedExtents() {
        if (op != Op.STATUS) {
            return List.of();
        }
        statusResults.sort((a, b) -> Long.compare(a.offset, b.offset));
        List<BlockStatusRange> merged = new ArrayList<>();
        for (SubRequest subRequest : statusResults) {
            subRequest.extents.forEach(extent -> append(merged, extent));
        }
        return merged;
    }

    private static void append(List<BlockStatusRange> merged, BlockStatusRange extent) {
        int lastIndex = merged.size() - 1;
        BlockStatusRange last = merged.isEmpty() ? null : merged.get(lastIndex);
        if (last != null && last.flags() == extent.flags()) {
            merged.set(lastIndex, new BlockStatusRange(last.length() + extent.length(), last.flags()));
        } else {
            merged.add(extent);
        }
    }
}
