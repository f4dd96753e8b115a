package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.ExtentLayout;
import garnetreel.core.Volume;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One request to the scheduler: a part of an operation that one shard executes. It lies within one extent; only a flush
 * concerns the whole shard.
 */
final class SubRequest {
    /** Key of a flush, which does not concern a single block. */
    static final long NO_KEY = -1;

    /** Id at the scheduler; a new one is assigned each time the sub-request is rerouted. */
    long id;
    /** The initial id, which gives the order in which sub-requests were created. */
    final long sequence;

    final BlockOperation operation;
    final long offset;
    final int length;
    int shard;
    /** Version of the extent, according to the map by which the sub-request was routed. */
    long version;

    final int units;
    final long key;
    final long deadline;
    /** For a flush: number of the last write that it covers, see {@link UnflushedWrites}. */
    long lastWriteCovered;
    /** Number of times it was rerouted because its extent had moved. */
    int reroutes;
    /** It waits for a newer extent map and is not known to the scheduler. */
    boolean awaitingRoute;
    /** Its result is known; attempts of it may still be in flight. */
    boolean completed;
    /** The result of a block status. */
    List<BlockBackend.BlockStatusRange> extents = List.of();

    private int attemptsStarted;
    private int attemptsInFlight;
    private int attemptsPossiblyExecuted;

    SubRequest(
            long id,
            BlockOperation operation,
            long offset,
            int length,
            int shard,
            long version,
            int units,
            long key,
            long deadline) {
        this.id = id;
        this.sequence = id;
        this.operation = operation;
        this.offset = offset;
        this.length = length;
        this.shard = shard;
        this.version = version;
        this.units = units;
        this.key = key;
        this.deadline = deadline;
    }

    /** Starts an attempt and returns its index. */
    int beginAttempt() {
        attemptsInFlight++;
        return attemptsStarted++;
    }

    void endAttempt(Outcome outcome) {
        attemptsInFlight--;
        if (!outcome.provesNotExecuted()) {
            attemptsPossiblyExecuted++;
        }
    }

    boolean attempted() {
        return attemptsStarted > 0;
    }

    boolean hasAttemptInFlight() {
        return attemptsInFlight > 0;
    }

    /** Whether it can be sent as a new request without the risk of repeating an effect of an earlier attempt. */
    boolean safeToReroute() {
        return !completed
                && attemptsInFlight == 0
                && (attemptsPossiblyExecuted == 0 || operation.requestClass.idempotency() == Idempotency.IDEMPOTENT);
    }

    /** Whether it must be executed in order with other sub-requests of the same key. */
    boolean ordered() {
        return operation.requestClass.ordered() && key >= 0;
    }

    /** Turns it into a new request to the scheduler, for the shard that now holds its extent. */
    void reroute(long newId, ExtentLayout.ExtentLocation location) {
        id = newId;
        awaitingRoute = false;
        attemptsStarted = 0;
        reroutes++;
        shard = location.shard();
        version = location.version();
    }

    /** The event that submits it to the scheduler. */
    RequestReceived receivedEvent() {
        Volume volume = operation.volume;
        return new RequestReceived(
                id,
                operation.requestClass.name(),
                volume.plan(),
                key,
                deadline,
                volume.id(),
                units,
                shard,
                volume.gateways(),
                false,
                operation.op.changesData());
    }

    /** The message that sends an attempt to a node. */
    NodeMessage.Request nodeRequest(int attempt, long attemptDeadline) {
        return new NodeMessage.Request(
                id,
                attempt,
                operation.tag,
                operation.op,
                operation.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY,
                operation.sync,
                attemptDeadline,
                operation.volume.id(),
                shard,
                units,
                version,
                key,
                operation.op == Op.FLUSH ? 0 : offset,
                length,
                payload());
    }

    /** A view of the bytes to write; empty for other operations. */
    private ByteBuffer payload() {
        if (operation.op != Op.WRITE) {
            return ByteBuffer.allocate(0);
        }
        return ByteBuffer.wrap(operation.data, (int) (offset - operation.offset), length)
                .slice();
    }
}
