package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Op;
import garnetreel.core.GatewaySettings;
import garnetreel.core.Volume;
import garnetreel.core.connection.NodeAttempt;
import garnetreel.core.connection.NodeConnectionPool;
import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.SchedulerEvent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests of a gateway: splits operations along extents, reports each sub-request to the scheduler, carries out
 * what it decides, and gives one reply. It decides nothing of sending, waiting, rejecting, retrying or health; the only
 * replies of its own are those of a full table and of a scheduler that let a deadline pass.
 */
public final class RequestRegistry implements BlockBackend {
    /** Sub-requests of one operation that the scheduler knows at a time, so that a trim of 4 GiB does not flood it. */
    private static final int MAX_OPEN_SUB_REQUESTS = 32;
    /** Times a sub-request is routed again before its stale answer is left to the scheduler like any other. */
    private static final int MAX_REROUTES = 20;

    private final GatewaySettings settings;
    private final NodeConnectionPool nodes;
    private final ExtentRouter router;
    private final RequestSplitter splitter;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final PendingEvents events = new PendingEvents();
    private final SubRequestTable subRequests = new SubRequestTable(events);
    private final UnflushedWrites unflushed = new UnflushedWrites();
    private long now;
    private long receivedAt;
    private int operations;
    private long rejectedAtTable;
    private long overdue;

    /** A registry without requests, which sends by {@code nodes} what {@code router} locates. */
    public RequestRegistry(GatewaySettings settings, NodeConnectionPool nodes, ExtentRouter router) {
        this.settings = settings;
        this.nodes = nodes;
        this.router = router;
        GatewaySettings.Bounds bounds = settings.bounds();
        int maxSubRequestBytes = (int) Math.max(1, settings.scheduling().maxUnits()) * bounds.unitBytes();
        this.splitter = new RequestSplitter(router, bounds.unitBytes(), bounds.keyBytes(), maxSubRequestBytes);
        settings.scheduling().classes().forEach(c -> classes.put(c.name(), c));
    }

    /**
     * Begins a turn.
     *
     * @param time the time of this turn
     * @param earliestReceipt the earliest time at which what is read in this turn may have been received
     */
    public void beginTurn(long time, long earliestReceipt) {
        now = time;
        receivedAt = earliestReceipt;
    }

    /** Hands over the events that the scheduler has not seen; empty when nothing happened. */
    public List<SchedulerEvent> drainEvents() {
        return events.drain();
    }

    /** Adds an event that does not concern a request. */
    public void addEvent(SchedulerEvent event) {
        events.add(event);
    }

    /** Whether the scheduler has events to handle. */
    public boolean hasEvents() {
        return !events.isEmpty();
    }

    /** Operations in progress. */
    public int operations() {
        return operations;
    }

    /** Operations rejected because the table was full. */
    public long rejectedAtTable() {
        return rejectedAtTable;
    }

    /** Sub-requests that the scheduler left without a result past their deadline; always 0 unless it has a defect. */
    public long overdue() {
        return overdue;
    }

    /** Sub-requests routed again so far because their extent had moved. */
    public long rerouted() {
        return subRequests.rerouted();
    }

    // ---------------------------------------------------------------- from protocol servers

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
        long deadline = receivedAt + requestClass.deadline() - settings.margin();
        BlockOperation operation =
                new BlockOperation(volume, op, offset, length, data, sync, tag, callback, requestClass, deadline);
        if (operations >= settings.bounds().gatewayRequests()) {
            // The table's own bound: rejected before it is accepted, as nothing has been sent for it.
            rejectedAtTable++;
            reject(operation, "this head holds " + operations + " requests, its most");
            return operation;
        }
        if (now >= deadline) {
            // It was received while this process was paused, and its client's time is up: nothing was sent for it.
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
        return classes.get(op.changes() ? volume.writeClass() : volume.readClass());
    }

    private void reject(BlockOperation operation, String reason) {
        operation.ended = true;
        operation.callback.completed(
                BlockBackend.Reply.rejected(settings.scheduling().maxRetryAfter(), operation.offset, reason));
    }

    private void flush(BlockOperation operation) {
        long lastWrite = unflushed.lastWrite();
        for (int shard : unflushed.shards(operation.volume.id())) {
            subRequests.add(RequestSplitter.flush(operation, shard, lastWrite, subRequests.nextId()), now);
        }
    }

    private void createSubRequests(BlockOperation operation) {
        while (operation.hasRemaining() && operation.open.size() < MAX_OPEN_SUB_REQUESTS) {
            subRequests.add(splitter.next(operation, subRequests.nextId()), now);
        }
    }

    /** Goes on with what remains of an operation, and replies if nothing of it is open. */
    private void advance(BlockOperation operation) {
        if (operation.ended) {
            return;
        }
        if (operation.hasRemaining()) {
            createSubRequests(operation);
        }
        if (operation.open.isEmpty()) {
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
        List.copyOf(operation.open).forEach(subRequests::cancel);
        operation.open.clear();
    }

    // ---------------------------------------------------------------- from the map service

    /** Routes again what waited for the extent map, which has changed. */
    public void mapChanged() {
        subRequests.reroute(router);
    }

    // ---------------------------------------------------------------- from the scheduler

    /** Starts an attempt; one that can't be started ends at once, which the scheduler learns in its next turn. */
    public void send(SendAttempt send) {
        SubRequest subRequest = subRequests.find(send.id());
        if (subRequest == null) {
            events.add(
                    new AttemptCompleted(send.id(), 0, send.endpoint(), Outcome.NOT_STARTED, 0, true, 0, 0, Map.of()));
            return;
        }
        int number = subRequest.beginAttempt();
        long until = send.timeout() == 0
                ? subRequest.deadline
                : Math.min(subRequest.deadline, now + Math.max(0, send.timeout()));
        NodeAttempt attempt = new NodeAttempt(subRequest.id, number, send.endpoint(), now, until);
        if (subRequest.completed || number >= settings.scheduling().maxAttempts() || now >= until) {
            attemptEnded(attempt, Outcome.NOT_STARTED, null);
        } else {
            nodes.send(attempt, subRequest.nodeRequest(number, until));
        }
    }

    /** Ends a sub-request that had no effect and is not to be sent. */
    public void reject(RejectRequest reject) {
        SubRequest subRequest = subRequests.find(reject.id());
        if (subRequest != null && !subRequest.completed) {
            reject(subRequest, reject.retryAfter());
        }
    }

    /** Ends a sub-request whose effect is not known. */
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

    // ---------------------------------------------------------------- from node connections

    /** An attempt ended; {@code answer} is the node's, or null where it gave none. */
    public void attemptEnded(NodeAttempt attempt, Outcome outcome, NodeMessage.Answer answer) {
        SubRequest subRequest = subRequests.find(attempt.id());
        if (subRequest == null) {
            reportCompleted(attempt, outcome, true, answer);
            return;
        }
        boolean awaited = outcome == Outcome.OK && !subRequest.completed;
        Outcome checkedOutcome = awaited ? acceptResult(subRequest, answer) : outcome;
        subRequest.endAttempt(checkedOutcome);
        boolean moved = metMovedExtent(subRequest, answer);
        reportCompleted(attempt, checkedOutcome, subRequest.completed || moved, answer);
        if (moved) {
            withdraw(subRequest);
            return;
        }
        subRequests.forgetIfDone(subRequest);
        if (awaited && checkedOutcome == Outcome.OK) {
            advance(subRequest.operation);
        }
    }

    private void reportCompleted(NodeAttempt attempt, Outcome outcome, boolean completed, NodeMessage.Answer answer) {
        events.add(new AttemptCompleted(
                attempt.id(),
                attempt.number(),
                attempt.node(),
                outcome,
                now - attempt.sentAt(),
                completed,
                answer == null ? 0 : answer.cost(),
                answer == null ? 0 : answer.used(),
                answer == null ? Map.of() : answer.load()));
    }

    /** Takes over what a node answered; an answer that can't be right counts as an error of the node. */
    private Outcome acceptResult(SubRequest subRequest, NodeMessage.Answer answer) {
        if (!NodeAnswerReader.read(subRequest, answer.data())) {
            return Outcome.ERROR;
        }
        BlockOperation operation = subRequest.operation;
        long volume = operation.volume.id();
        int shard = subRequest.shard;
        subRequests.complete(subRequest);
        if (operation.op == Op.FLUSH && !unflushed.flushed(volume, shard, answer.life(), subRequest.lastWriteCovered)) {
            operation.failed(
                    subRequest,
                    "the node of shard " + shard + " restarted and lost writes that were answered and not flushed");
            return Outcome.OK;
        }
        if (operation.op.changes() && !operation.sync) {
            unflushed.written(volume, shard, answer.life());
        }
        operation.served(subRequest, answer.data());
        return Outcome.OK;
    }

    private static boolean metMovedExtent(SubRequest subRequest, NodeMessage.Answer answer) {
        return answer != null
                && answer.result() == NodeMessage.Result.STALE
                && subRequest.safeToReroute()
                && subRequest.reroutes < MAX_REROUTES;
    }

    /**
     * Takes a sub-request that met a moved extent back from the scheduler, which has learned that the attempt did not
     * run; it comes back as a new request once the map says where the extent is.
     *
     * <p>It could hurt where the map service is silent while an extent moves: then the sub-request comes back after a
     * while, each time as a new request that counts against its volume's limit again.
     */
    private void withdraw(SubRequest subRequest) {
        subRequests.withdrawWithSuccessors(subRequest, now);
        router.reportStale();
    }

    // ---------------------------------------------------------------- time

    /** When a deadline must be looked at. */
    public long nextDeadline() {
        return Math.min(subRequests.nextReroute(), nextOverdue());
    }

    private long nextOverdue() {
        long deadline = subRequests.earliestDeadline();
        return deadline == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : deadline + settings.scheduling().rules().responseGrace();
    }

    /**
     * Ends what the scheduler left without a result past its deadline. It guards the first rule against a defect in the
     * scheduler or a late turn; it can't hurt, as the client has given up by then.
     */
    public void expire() {
        if (now >= subRequests.nextReroute()) {
            subRequests.reroute(router);
        }
        while (now >= nextOverdue()) {
            SubRequest subRequest = subRequests.earliest();
            events.add(new RequestCancelled(subRequest.id));
            if (subRequest.awaitingRoute) {
                reject(subRequest, settings.scheduling().maxRetryAfter());
            } else {
                overdue++;
                fail(subRequest, "no decision before the deadline");
            }
        }
    }
}
