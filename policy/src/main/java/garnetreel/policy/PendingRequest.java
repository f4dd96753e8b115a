package garnetreel.policy;

import garnetreel.policy.config.RequestClass;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.fairqueue.QueuedRequest;
import garnetreel.policy.fairqueue.VolumeFlow;
import garnetreel.policy.ordering.KeyQueue;
import garnetreel.policy.ratelimit.ChargedBucket;
import garnetreel.policy.retry.IdempotencyGuard;
import java.util.ArrayList;
import java.util.List;

/** State of a request that has no final response yet, or still has an attempt in flight. */
final class PendingRequest implements QueuedRequest {
    final long id;
    final RequestClass requestClass;
    final double units;
    /** When the client stops waiting. */
    final long deadline;

    final VolumeFlow flow;
    final Shard shard;
    final IdempotencyGuard guard;
    final List<Attempt> attempts = new ArrayList<>(1);
    private final long sequence;

    /** When it was first received; for a recognized client retry, when the original request was received. */
    long firstReceivedAt;

    /** From this time on, sending it is no longer useful. */
    long latestUsefulStart;

    /** Bucket to which its units were charged when it was received. */
    ChargedBucket chargedBucket = ChargedBucket.NONE;
    /** Whether its units were already charged to the volume's rate limit, as a retry is not charged again. */
    boolean chargedToRateLimit;
    /** Queue of the requests with the same key; null unless the request class is ordered and the request has a key. */
    KeyQueue<PendingRequest> keyQueue;

    /** Whether it is in the queue of its shard. */
    boolean held;
    /** Whether it got its final response or was cancelled by the client. */
    boolean closed;
    /** Whether a streamed response to the client has started; its deadline then no longer ends the request. */
    boolean streaming;

    int attemptsInFlight;

    PendingRequest(
            RequestReceived event,
            RequestClass requestClass,
            VolumeFlow flow,
            Shard shard,
            IdempotencyGuard guard,
            long sequence) {
        this.id = event.id();
        this.requestClass = requestClass;
        this.units = Double.isFinite(event.units()) && event.units() > 0 ? event.units() : 1;
        this.deadline = event.deadline();
        this.flow = flow;
        this.shard = shard;
        this.guard = guard;
        this.sequence = sequence;
    }

    @Override
    public VolumeFlow flow() {
        return flow;
    }

    @Override
    public long sequence() {
        return sequence;
    }

    /** The most recent attempt; at least one must have been sent. */
    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Whether the scheduler still has to send the client a final response. */
    boolean awaitsResponse() {
        return !closed && !streaming;
    }

    /** Invariant: no more attempts are in flight than were sent, and a closed request is not held. */
    boolean isConsistent() {
        return attemptsInFlight >= 0
                && attemptsInFlight <= attempts.size()
                && !(closed && held)
                && guard.isConsistent();
    }
}
