package garnetreel.policy.retry;

import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.endpoint.Endpoint;
import garnetreel.policy.timing.ProcessPause;

/** Tracks which attempts of a request may have been executed, and which further attempts this permits. */
public final class IdempotencyGuard {
    private final RequestClass requestClass;
    /**
     * Time before the end of a deduplication window at which the last retry is decided, in microseconds: the margin for
     * late timers that also applies to client deadlines.
     */
    private final long decisionMargin;

    private int possiblyExecuted;
    /**
     * Send time of the first attempt that may have been executed. It is kept as a cautious estimate while another
     * attempt may have been executed, even if that first one is proven not to have been.
     */
    private long firstPossibleExecutionAt;

    private Endpoint firstPossibleExecutor;

    /** Creates the guard of a request that has not been sent yet. */
    public IdempotencyGuard(RequestClass requestClass, long decisionMargin) {
        this.requestClass = requestClass;
        this.decisionMargin = decisionMargin;
    }

    /** Records that an attempt is sent; from now on it may be executed. */
    public void attemptSent(Endpoint endpoint, long now) {
        if (possiblyExecuted == 0) {
            firstPossibleExecutionAt = now;
            firstPossibleExecutor = endpoint;
        }
        possiblyExecuted++;
    }

    /** Records that the outcome of an attempt proves that it was not executed. */
    public void provenNotExecuted() {
        possiblyExecuted--;
    }

    private boolean mayHaveExecuted() {
        return possiblyExecuted > 0;
    }

    /** Whether another attempt may be sent to any endpoint. */
    public boolean allowsRetry(long now) {
        if (!mayHaveExecuted()) {
            return true;
        }
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENCY_KEY -> now < deduplicatedUntil();
            case NON_IDEMPOTENT -> false;
        };
    }

    /**
     * Whether an endpoint may be sent the request: no attempt may have been executed, repeated execution is harmless,
     * or the endpoint deduplicates it.
     */
    public boolean allowsEndpoint(Endpoint endpoint) {
        if (!mayHaveExecuted()
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || firstPossibleExecutor == endpoint) {
            return true;
        }
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> firstPossibleExecutor.zone().equals(endpoint.zone());
            case SHARD -> firstPossibleExecutor.shard() == endpoint.shard();
        };
    }

    /** Time before which the next attempt must start; {@link Long#MAX_VALUE} if no deduplication window applies. */
    public long mustStartBefore() {
        return mayHaveExecuted() && requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                ? deduplicatedUntil()
                : Long.MAX_VALUE;
    }

    /** End of the deduplication window, less the margins for the decision and for a process pause. */
    private long deduplicatedUntil() {
        return firstPossibleExecutionAt
                + requestClass.deduplicationWindow()
                - decisionMargin
                - ProcessPause.MARGIN_MICROS;
    }

    /**
     * Whether the client may safely retry, so that the request can be rejected rather than failed. The deduplication
     * window is not taken into account, unlike in {@link #allowsRetry}.
     */
    public boolean clientMayRetry() {
        return !mayHaveExecuted()
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /**
     * Invariant: no more attempts were proven not executed than were sent, and the endpoint of the first one is known.
     */
    public boolean isConsistent() {
        return possiblyExecuted >= 0 && (possiblyExecuted == 0 || firstPossibleExecutor != null);
    }
}
