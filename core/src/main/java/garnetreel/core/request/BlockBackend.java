package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.Volume;
import java.nio.ByteBuffer;
import java.util.List;

/** Executes block operations for protocol servers. Both sides run on the gateway's single thread. */
public interface BlockBackend {

    /**
     * Starts an operation. The callback is invoked exactly once, during this call or later, unless the operation is
     * abandoned first. The caller has checked that the range lies within the volume.
     *
     * @param data bytes to write, owned by this backend from now on; null for other operations
     * @param sync whether the effect must be durable before the reply
     * @param tag the client's identifier of the operation; used only in traces
     */
    OperationHandle submit(
            Volume volume, Op op, long offset, long length, byte[] data, boolean sync, long tag, Callback callback);

    /** Cancels an operation whose client has disconnected: no reply is given and no further request is sent. */
    void abandon(OperationHandle handle);

    /** Identifies an operation in progress to the protocol server that started it. */
    interface OperationHandle {}

    /** Receives the reply to an operation. */
    interface Callback {
        /** The operation has ended with this reply. */
        void completed(Reply reply);
    }

    /** How an operation ended. */
    enum ReplyStatus {
        /** Completed in full. */
        SERVED,
        /** Not completed, without an effect that a retry could repeat: the client may safely retry. */
        REJECTED,
        /** Not completed, and the effect is unknown. */
        FAILED
    }

    /** A range of bytes with the same block status, for example zeroes or a hole. */
    record BlockStatusRange(int length, int flags) {}

    /**
     * The reply to an operation.
     *
     * @param retryAfter for a rejection: microseconds after which the client may retry
     * @param errorOffset offset in the volume of the first byte that was not served; negative if all were
     * @param message error text for the user; empty if served
     * @param data the bytes read; null for other operations
     * @param extents the result of a block status request; empty for other operations
     */
    record Reply(
            ReplyStatus status,
            long retryAfter,
            long errorOffset,
            String message,
            ByteBuffer data,
            List<BlockStatusRange> extents) {
        private static final Reply DONE = new Reply(ReplyStatus.SERVED, 0, -1, "", null, List.of());

        /** A successful reply without data. */
        public static Reply done() {
            return DONE;
        }

        /** A reply to an operation that was not served and can be retried safely. */
        public static Reply rejected(long retryAfter, long errorOffset, String message) {
            return new Reply(ReplyStatus.REJECTED, retryAfter, errorOffset, message, null, List.of());
        }

        /** A reply to an operation that was not served and whose effect is unknown. */
        public static Reply failed(long errorOffset, String message) {
            return new Reply(ReplyStatus.FAILED, 0, errorOffset, message, null, List.of());
        }
    }
}
