package garnetreel.codec.node;

import java.nio.ByteBuffer;
import java.util.Map;

/**
 * Messages between a gateway and a storage node; docs/node-protocol.md defines the encoding. The gateway opens the
 * connection and sends {@link Hello}. After the {@link Welcome}, any number of messages may be in flight both ways, and
 * requests may be answered in any order.
 */
public sealed interface NodeMessage {

    /** Operation of a request. The ordinal is the code on the wire. */
    enum Op {
        READ,
        WRITE,
        ZERO,
        TRIM,
        FLUSH,
        CACHE,
        STATUS;

        /** Whether the operation may change data on the node. */
        public boolean changesData() {
            return this == WRITE || this == ZERO || this == TRIM;
        }
    }

    /** Result of an attempt. The ordinal is the code on the wire. */
    enum Result {
        /** Executed. */
        OK,
        /** Failed; it may have been executed wholly or in part. */
        ERROR,
        /** Not started: the queue is full or the node is draining. */
        FULL,
        /** Not started: the node does not hold the shard. */
        UNKNOWN_SHARD,
        /** Not started: the node holds the extent under another version, or is not serving it now. */
        STALE
    }

    /**
     * First message of a connection; the gateway sends nothing else before the {@link Welcome}.
     *
     * @param gatewayId id of the gateway
     * @param incarnation differs after each restart of the gateway; repeated requests are only recognised within one
     */
    record Hello(int gatewayId, long incarnation) implements NodeMessage {}

    /**
     * The node's answer to {@link Hello}.
     *
     * @param incarnation incarnation of the node
     * @param clock the node's clock when it answered, in microseconds. A gateway that receives it at its own time t
     *     knows that at its time u the node's clock shows at least {@code clock + (u - t)}, as the message took time to
     *     arrive. A deadline u converted to {@code clock + (u - t)} therefore expires early rather than late. The
     *     clocks need not be synchronised; they only have to run at the same rate for the life of a connection.
     */
    record Welcome(long incarnation, long clock) implements NodeMessage {}

    /** An empty buffer, for a message without data. Readers of a message's data must not move the buffer's position. */
    static ByteBuffer noData() {
        return ByteBuffer.allocate(0);
    }

    /**
     * One attempt of a request.
     *
     * @param id request id chosen by the gateway, unique within its incarnation
     * @param attempt index of the attempt, from 0
     * @param tag the client's own id of the request; for traces only
     * @param deduplicated the request's class uses idempotency keys: the node answers a repeated id with the result it
     *     remembers
     * @param sync the effect must be durable before the answer
     * @param deadline time of the node's clock from which it must not start the attempt: the client has given up by
     *     then and may already have written newer data
     * @param units cost of the request in units
     * @param key ordering key of the data; negative for none
     * @param offset first byte within the volume
     * @param length number of bytes requested or written
     * @param data bytes to write; empty for other operations
     */
    record Request(
            long id,
            int attempt,
            long tag,
            Op op,
            boolean deduplicated,
            boolean sync,
            long deadline,
            long volume,
            int shard,
            int units,
            long version,
            long key,
            long offset,
            int length,
            ByteBuffer data)
            implements NodeMessage {
        /** A copy with another deadline. */
        public Request withDeadline(long time) {
            return new Request(
                    id,
                    attempt,
                    tag,
                    op,
                    deduplicated,
                    sync,
                    time,
                    volume,
                    shard,
                    units,
                    version,
                    key,
                    offset,
                    length,
                    data);
        }
    }

    /**
     * The answer to one attempt.
     *
     * @param usage 1 plus the percentage of the plan's rate that all nodes served for the volume in a completed
     *     metering period, so that 0 means not reported
     * @param unitsFromOtherGateways units this node served for the volume through other gateways since its last answer
     *     to this gateway about the volume
     * @param incarnation incarnation of the node: writes of an earlier incarnation that were not flushed are lost
     * @param load metrics of the load report by name
     * @param data for READ the bytes read; for STATUS pairs of length and flags as in NBD; for a STALE result the
     *     version that the node knows, u64
     */
    record Answer(
            long id,
            int attempt,
            Result result,
            int usage,
            int unitsFromOtherGateways,
            long incarnation,
            Map<String, Double> load,
            ByteBuffer data)
            implements NodeMessage {}

    /** The gateway no longer waits for an attempt; the node may drop it if it has not started it. */
    record Cancel(long id, int attempt) implements NodeMessage {}

    /**
     * Type of a {@link ControlCommand}: a step in the migration of an extent, sent to its old or its new holder, or a
     * query. Each may be repeated; a repeated TAKE gets the changed pages that remain. The ordinal is the code on the
     * wire.
     */
    enum Step {
        /** To the old holder: track changed pages from now on; all existing pages count as changed. */
        TRACK,
        /** To the old holder: send changed pages, up to the maximum size in the command. */
        TAKE,
        /** To the new holder: prepare to receive the extent and drop the data of an earlier attempt. */
        RECEIVE,
        /** To the new holder: store the pages in the command. */
        PUT,
        /** To the old holder: durably stop serving the extent; ok once no request for it is in progress. */
        FENCE,
        /** To the new holder: durably serve the extent under the command's version. */
        SERVE,
        /**
         * To the old holder: migration complete; drop the data and remember that the command's version is elsewhere.
         */
        RELEASE,
        /** To the old holder: migration rolled back; serve the extent again as before. */
        UNFENCE,
        /** To the new holder: migration rolled back; drop the received data. */
        FORGET,
        /**
         * Query of the node's load. The report has recent units per second f64, share of its capacity in use f64, bytes
         * used u64, total bytes u64, then volume u64, extent u64 and units per second f64 of each of the busiest
         * extents.
         */
        LOAD,
        /** To the holder: report the CRC32C of the extent, u32; rejected unless it serves the command's version. */
        CHECKSUM,
        /**
         * Query of the extents that the node has an entry for, starting after the command's volume and extent. The
         * report has volume u64, extent u64, extent bytes u32, state u8 (0 serving, 1 fenced, 2 receiving, 3 gone) and
         * version u64 of each, and tells whether there are more.
         */
        LIST_EXTENTS
    }

    /**
     * A command of the map service to a node.
     *
     * @param seq sequence number, repeated in the report
     * @param extentBytes size of the volume's extents
     * @param version version of the extent that the step concerns
     * @param maxBytes for TAKE and LIST_EXTENTS, maximum bytes of data in the report
     * @param data pages for PUT, each a u32 index within the extent and the bytes of the page; the top bit of the index
     *     marks a hole, which has no bytes
     */
    record ControlCommand(
            long seq, Step step, long volume, long extent, int extentBytes, long version, int maxBytes, ByteBuffer data)
            implements NodeMessage {}

    /**
     * The node's reply to a {@link ControlCommand}.
     *
     * @param ok whether the step was executed
     * @param hasMore for TAKE, changed pages remain; for LIST_EXTENTS, further extents remain; for FENCE, requests for
     *     the extent are still being executed
     * @param knownVersion version of the extent that the node knows
     * @param data for TAKE, pages as in the command of a PUT; for LOAD, CHECKSUM and LIST_EXTENTS, the report described
     *     there; else empty
     */
    record CommandReport(long seq, boolean ok, boolean hasMore, long incarnation, long knownVersion, ByteBuffer data)
            implements NodeMessage {}

    /** A health check, which the node answers without queueing it. */
    record Probe(long id) implements NodeMessage {}

    /** The answer to a health check. */
    record ProbeReply(long id, long incarnation, Map<String, Double> load) implements NodeMessage {}
}
