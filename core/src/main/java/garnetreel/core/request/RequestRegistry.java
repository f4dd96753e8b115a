package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.connection.NodeAttempt;
import garnetreel.core.connection.NodeConnectionPool;
import garnetreel.core.io.NetAction;
import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The block requests of a gateway. It splits operations into sub-requests at extent boundaries, reports each
 * sub-request to the scheduler, executes the scheduler's decisions, and gives one reply per operation.
 *
 * <p>The scheduler alone decides on sending, waiting, rejecting, retrying and node health. Without it, this class
 * <ul>
 * <li>rejects an operation if the limit of concurrent operations is reached, or if its deadline passed before it was
 *     read;
 * <li>rejects a flush while the shards that an earlier process may have written to are not known;
 * <li>rejects a sub-request that still waits for a newer extent map at its deadline;
 * <li>fails a sub-request without a decision at its deadline, and a flush whose node has lost writes in a restart.
 * </ul>
 */
public final class RequestRegistry implements BlockBackend {
    /** Name of the state that tells which nodes hold unflushed writes. */
    public static final String UNFLUSHED_WRITES_NAME = "unflushed";

    /**
     * Maximum number of open sub-requests of one operation, so that a trim of 4 GiB does not flood the scheduler. A
     * flush is exempt: it has one for each shard with unflushed writes.
     */
    private static final int MAX_OPEN_SUB_REQUESTS = 32;
    /** Maximum number of reroutes of a sub-request; after that a stale answer counts as any other failed attempt. */
    private static final int MAX_REROUTES = 20;

    private final GatewaySettings settings;
    private final NodeConnectionPool nodes;
    private final ExtentRouter router;
    private final RequestSplitter splitter;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final PendingEvents events = new PendingEvents();
    private final SubRequestTable subRequests = new SubRequestTable(events);
    private final FlushCoordinator flushes;
    private final UnsettledWrites unsettledWrites;
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private long earliestReceivedAt;
    private int operations;
    private long rejectedAtLimit;
    private long missedDeadlines;

    /**
     * A registry that locates extents through {@code router} and sends to the nodes through {@code nodes}.
     *
     * @param storedUnflushedWrites the last {@link NetAction.Persist} under {@link #UNFLUSHED_WRITES_NAME}; null for
     *     none
     */
    public RequestRegistry(
            GatewaySettings settings, NodeConnectionPool nodes, ExtentRouter router, byte[] storedUnflushedWrites) {
        this.settings = settings;
        this.nodes = nodes;
        this.router = router;
        GatewaySettings.Bounds bounds = settings.bounds();
        int maxSubRequestBytes = (int) Math.max(1, settings.scheduling().maxUnits()) * bounds.unitBytes();
        this.splitter = new RequestSplitter(router, bounds.unitBytes(), bounds.keyBytes(), maxSubRequestBytes);
        settings.scheduling().classes().forEach(c -> classes.put(c.name(), c));
        flushes = new FlushCoordinator(settings, router, storedUnflushedWrites);
        unsettledWrites = new UnsettledWrites(settings);
    }

    /** Tells which writes that were sent may still take effect. */
    public WriteSettlement writeSettlement() {
        return unsettledWrites;
    }

    /**
     * Begins a turn.
     *
     * @param time the time of this turn
     * @param earliestReceived the earliest time at which the data read in this turn may have been received
     * @param turnActions the actions of this turn are added to it
     */
    public void beginTurn(long time, long earliestReceived, List<NetAction> turnActions) {
        now = time;
        actions = turnActions;
        unsettledWrites.beginTurn(time);
        earliestReceivedAt = earliestReceived;
    }

    /** The events not yet passed to the scheduler. */
    public PendingEvents events() {
        return events;
    }

    /** Operations in progress. */
    public int operations() {
        return operations;
    }

    /** Operations rejected because the limit of concurrent operations was reached. */
    public long rejectedAtLimit() {
        return rejectedAtLimit;
    }

    /**
     * Sub-requests for which the scheduler gave no result by their deadline; above 0 only after a late turn or if the
     * scheduler has a defect.
     */
    public long missedDeadlines() {
        return missedDeadlines;
    }

    /** Number of times a sub-request has been rerouted because its extent had moved. */
    public long reroutes() {
        return subRequests.reroutes();
    }

    // ---------------------------------------------------------------- protocol servers

    @Override
    public BlockBackend.OperationHandle submit(
            Volume volume,
            Op op,
            long offset,
            long length,
            byte[] data,
            boolean sync,
            long tag,
            BlockBackend.Callback callback) {
        RequestClass requestClass = requestClass(volume, op);
        long deadline = earliestReceivedAt + requestClass.timeLimit() - settings.replyMargin();
        BlockOperation operation =
                new BlockOperation(volume, op, offset, length, data, sync, tag, callback, requestClass, deadline);
        if (operations >= settings.bounds().gatewayRequests()) {
            // Rejected before it reaches the scheduler; nothing has been sent, so a retry is safe.
            rejectedAtLimit++;
            reject(operation, "this head holds " + operations + " requests, its most");
            return operation;
        }
        if (op == Op.FLUSH && !flushes.isReady(volume)) {
            reject(operation, "the extent map is not known yet, so neither are the shards to flush");
            return operation;
        }
        if (now >= deadline) {
            // Received while this process was paused, and its deadline has passed; nothing has been sent.
            reject(operation, "this head was stopped past the request's deadline");
            return operation;
        }
        operations++;
        if (op == Op.FLUSH) {
            flush(operation);
        } else {
            createSubRequests(operation);
        }
        advance(operation);
        return operation;
    }

    private RequestClass requestClass(Volume volume, Op op) {
        if (op == Op.FLUSH) {
            return classes.get(volume.flushClass());
        }
        return classes.get(op.changesData() ? volume.writeClass() : volume.readClass());
    }

    private void reject(BlockOperation operation, String reason) {
        operation.ended = true;
        operation.callback.completed(
                BlockBackend.Reply.rejected(settings.scheduling().maxRetryAfter(), operation.offset, reason));
    }

    private void flush(BlockOperation operation) {
        long lastWriteNumber = flushes.lastWriteNumber();
        for (int shard : flushes.shards(operation.volume)) {
            subRequests.add(RequestSplitter.flush(operation, shard, lastWriteNumber, subRequests.nextId()), now);
        }
    }

    private void createSubRequests(BlockOperation operation) {
        while (operation.hasRemaining() && operation.openSubRequests.size() < MAX_OPEN_SUB_REQUESTS) {
            subRequests.add(splitter.next(operation, subRequests.nextId()), now);
        }
    }

    /** Creates further sub-requests of an operation, and replies if none is open. */
    private void advance(BlockOperation operation) {
        if (operation.ended) {
            return;
        }
        if (operation.hasRemaining()) {
            createSubRequests(operation);
        }
        if (operation.openSubRequests.isEmpty()) {
            operation.ended = true;
            operations--;
            BlockBackend.Reply reply = operation.reply();
            operation.data = null;
            operation.callback.completed(reply);
        }
    }

    @Override
    public void abandon(BlockBackend.OperationHandle handle) {
        BlockOperation operation = (BlockOperation) handle;
        if (operation.ended) {
            return;
        }
        operation.ended = true;
        operation.stopped = true;
        operations--;
        List.copyOf(operation.openSubRequests).forEach(subRequests::cancel);
        operation.openSubRequests.clear();
    }

    // ---------------------------------------------------------------- extent map

    /** The extent map has changed: reroutes the sub-requests that waited for it. */
    public void mapChanged() {
        subRequests.reroute(router);
    }

    // ---------------------------------------------------------------- scheduler actions

    /**
     * Starts an attempt. If it can't be started it ends at once, which is reported to the scheduler in its next turn.
     */
    public void send(SendAttempt send) {
        SubRequest subRequest = subRequests.find(send.id());
        if (subRequest == null) {
            events.add(
                    new AttemptCompleted(send.id(), 0, send.endpoint(), Outcome.NOT_STARTED, 0, true, 0, 0, Map.of()));
            return;
        }
        int attemptIndex = subRequest.beginAttempt();
        long timeoutAt = send.timeout() == 0
                ? subRequest.deadline
                : Math.min(subRequest.deadline, now + Math.max(0, send.timeout()));
        NodeAttempt attempt = new NodeAttempt(subRequest.id, attemptIndex, send.endpoint(), now, timeoutAt);
        if (subRequest.completed || attemptIndex >= settings.scheduling().maxAttempts() || now >= timeoutAt) {
            attemptEnded(attempt, Outcome.NOT_STARTED, null);
        } else {
            unsettledWrites.begin(subRequest, attempt);
            nodes.send(attempt, subRequest.nodeRequest(attemptIndex, timeoutAt));
        }
    }

    /** Ends a sub-request that had no effect and will not be sent. */
    public void reject(RejectRequest reject) {
        SubRequest subRequest = subRequests.find(reject.id());
        if (subRequest != null && !subRequest.completed) {
            reject(subRequest, reject.retryAfter());
        }
    }

    /** Ends a sub-request whose effect is unknown. */
    public void fail(FailRequest fail) {
        SubRequest subRequest = subRequests.find(fail.id());
        if (subRequest != null && !subRequest.completed) {
            fail(subRequest, "failed: not done in time, or only in part; its effect is not known");
        }
    }

    private void reject(SubRequest subRequest, long retryAfter) {
        subRequests.complete(subRequest);
        subRequest.operation.rejected(subRequest, retryAfter);
        advance(subRequest.operation);
    }

    private void fail(SubRequest subRequest, String reason) {
        subRequests.complete(subRequest);
        subRequest.operation.failed(subRequest, reason);
        advance(subRequest.operation);
    }

    // ---------------------------------------------------------------- node connections

    /** An attempt ended; {@code answer} is null if the node gave none. */
    public void attemptEnded(NodeAttempt attempt, Outcome outcome, NodeMessage.Answer answer) {
        if (answer != null || outcome.provesNotExecuted()) {
            answeredLate(attempt.subRequestId(), attempt.index());
        }
        SubRequest subRequest = subRequests.find(attempt.subRequestId());
        if (subRequest == null) {
            events.addCompleted(attempt, outcome, true, answer, now);
            return;
        }
        boolean resultPending = outcome == Outcome.OK && !subRequest.completed;
        Outcome checkedOutcome = resultPending ? acceptResult(subRequest, answer) : outcome;
        subRequest.endAttempt(checkedOutcome);
        boolean reroute = shouldReroute(subRequest, answer);
        events.addCompleted(attempt, checkedOutcome, subRequest.completed || reroute, answer, now);
        if (reroute) {
            withdraw(subRequest);
            return;
        }
        subRequests.removeIfDone(subRequest);
        if (resultPending && checkedOutcome == Outcome.OK) {
            advance(subRequest.operation);
        }
    }

    /**
     * Accepts the result of a sub-request; an answer that does not match the request counts as an error of the node.
     */
    private Outcome acceptResult(SubRequest subRequest, NodeMessage.Answer answer) {
        if (!NodeAnswerReader.read(subRequest, answer.data())) {
            return Outcome.ERROR;
        }
        BlockOperation operation = subRequest.operation;
        subRequests.complete(subRequest);
        if (!flushes.executed(subRequest, answer, now, actions)) {
            operation.failed(
                    subRequest,
                    "the node of shard " + subRequest.shard
                            + " restarted and lost writes that were answered and not flushed");
            return Outcome.OK;
        }
        operation.served(subRequest, answer.data());
        return Outcome.OK;
    }

    /** A node has answered an attempt, possibly long after it ended: the attempt is over. */
    public void answeredLate(long subRequestId, int attemptIndex) {
        unsettledWrites.settle(subRequestId, attemptIndex);
    }

    private static boolean shouldReroute(SubRequest subRequest, NodeMessage.Answer answer) {
        return answer != null
                && answer.result() == NodeMessage.Result.STALE
                && subRequest.safeToReroute()
                && subRequest.reroutes < MAX_REROUTES;
    }

    /**
     * Withdraws a sub-request whose extent has moved. The scheduler has been notified that its attempt was not
     * executed; it is submitted again as a new request once the extent map has been updated.
     *
     * <p>If the map service sends no update while an extent moves, the sub-request is resubmitted after
     * {@link ReroutingQueue#REROUTE_AFTER_MICROS}, each time as a new request that counts against its volume's limit
     * again.
     */
    private void withdraw(SubRequest subRequest) {
        subRequests.withdrawWithSuccessors(subRequest, now);
        router.reportStale();
    }

    // ---------------------------------------------------------------- deadlines

    /** When {@link #expire()} must be called next; {@link Long#MAX_VALUE} for never. */
    public long nextDeadline() {
        return Math.min(
                Math.min(subRequests.nextReroute(), nextMissedDeadline()),
                Math.min(flushes.nextDeadline(), unsettledWrites.nextDeadline()));
    }

    private long nextMissedDeadline() {
        long deadline = subRequests.earliestDeadline();
        return deadline == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : deadline + settings.scheduling().rules().responseGrace();
    }

    /**
     * Reroutes all waiting sub-requests once the oldest has waited for {@link ReroutingQueue#REROUTE_AFTER_MICROS}, and
     * ends those for which the scheduler gave no result by their deadline. The latter ensures that every request is
     * answered despite a defect in the scheduler or a late turn; it is harmless, as the client has given up by then.
     */
    public void expire() {
        unsettledWrites.expire();
        flushes.expire(now, actions);
        if (now >= subRequests.nextReroute()) {
            subRequests.reroute(router);
        }
        while (now >= nextMissedDeadline()) {
            SubRequest subRequest = subRequests.firstByDeadline();
            events.add(new RequestCancelled(subRequest.id));
            if (subRequest.awaitingRoute) {
                reject(subRequest, settings.scheduling().maxRetryAfter());
            } else {
                missedDeadlines++;
                fail(subRequest, "no decision before the deadline");
            }
        }
    }
}
