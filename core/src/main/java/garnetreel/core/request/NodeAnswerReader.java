package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.request.BlockBackend.BlockStatusRange;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Reads a node's answer to a sub-request and validates it against the request. */
final class NodeAnswerReader {
    /** Encoded size of an extent's block status: its length and flags. */
    private static final int STATUS_BYTES = 2 * Integer.BYTES;

    private NodeAnswerReader() {}

    /**
     * Validates an answer and stores a block status result in the sub-request; false if it does not match the request.
     */
    static boolean read(SubRequest subRequest, ByteBuffer data) {
        Op op = subRequest.operation.op;
        if (op == Op.READ) {
            return data.remaining() == subRequest.length;
        }
        return op != Op.STATUS || readStatus(subRequest, data.duplicate());
    }

    private static boolean readStatus(SubRequest subRequest, ByteBuffer data) {
        List<BlockStatusRange> extents = new ArrayList<>();
        long covered = 0;
        while (data.remaining() >= STATUS_BYTES) {
            BlockStatusRange extent = new BlockStatusRange(data.getInt(), data.getInt());
            if (extent.length() <= 0) {
                return false;
            }
            covered += extent.length();
            extents.add(extent);
        }
        if (covered != subRequest.length) {
            return false;
        }
        subRequest.extents = extents;
        return true;
    }
}
