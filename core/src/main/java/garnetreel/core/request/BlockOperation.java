package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.Volume;
import garnetreel.policy.config.RequestClass;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * An operation, that is a client's request in progress, with its open sub-requests and the results of the completed
 * ones. Sub-requests are created gradually, as the number of open ones is limited. After the first one that is rejected
 * or fails, no further ones are created; the reply waits for those still open, so that no attempt is started after the
 * reply.
 */
final class BlockOperation implements BlockBackend.OperationHandle {
    final Volume volume;
    final Op op;
    final long offset;
    final long length;
    final boolean sync;
    final long tag;
    final BlockBackend.Callback callback;
    final RequestClass requestClass;
    final long deadline;
    /** Bytes to write; set to null when the reply is given, to free the memory. */
    byte[] data;
    /** Offset of the first byte that no sub-request covers yet. */
    long nextOffset;
    /** The reply has been given, or the client has disconnected. */
    boolean ended;
    /** No further sub-request is created. */
    boolean stopped;

    final List<SubRequest> openSubRequests = new ArrayList<>(2);
    private final ReplyComposer composer;

    BlockOperation(
            Volume volume,
            Op op,
            long offset,
            long length,
            byte[] data,
            boolean sync,
            long tag,
            BlockBackend.Callback callback,
            RequestClass requestClass,
            long deadline) {
        this.volume = volume;
        this.op = op;
        this.offset = offset;
        this.length = length;
        this.data = data;
        this.sync = sync;
        this.tag = tag;
        this.callback = callback;
        this.requestClass = requestClass;
        this.deadline = deadline;
        this.nextOffset = offset;
        this.composer = new ReplyComposer(op, offset, length);
    }

    /** Whether further sub-requests are to be created. */
    boolean hasRemaining() {
        return !stopped && nextOffset < offset + length;
    }

    void served(SubRequest subRequest, ByteBuffer bytes) {
        composer.served(subRequest, bytes);
        openSubRequests.remove(subRequest);
    }

    void rejected(SubRequest subRequest, long retryAfter) {
        composer.rejected(subRequest, retryAfter);
        stopped = true;
        openSubRequests.remove(subRequest);
    }

    void failed(SubRequest subRequest, String reason) {
        composer.failed(subRequest, reason);
        stopped = true;
        openSubRequests.remove(subRequest);
    }

    /** The reply; valid once no sub-request is open or remains to be created. */
    BlockBackend.Reply reply() {
        return composer.compose();
    }
}
