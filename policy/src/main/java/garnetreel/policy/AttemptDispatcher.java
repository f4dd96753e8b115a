package garnetreel.policy;

import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.endpoint.Endpoint;
import java.util.function.BiPredicate;

/** Sends held requests to endpoints in fair-queue order while the endpoints' concurrency windows have free slots. */
final class AttemptDispatcher {
    private final DecisionModules modules;
    /** Created once, as the selection evaluates it for every held request. */
    private final BiPredicate<PendingRequest, Endpoint> maySend = this::maySend;

    /** Time of the dispatch in progress; {@link #maySend} reads it. */
    private long now;

    AttemptDispatcher(DecisionModules modules) {
        this.modules = modules;
    }

    /** Sends held requests of a shard until the selected endpoint has no free slot or no request may be sent. */
    void dispatch(Shard shard, long time) {
        now = time;
        while (!shard.queue.isEmpty()) {
            Endpoint endpoint = modules.endpoints.select(shard.number, now);
            if (endpoint == null || endpoint.limiter().freeSlots(now) < 1) {
                return;
            }
            PendingRequest next = modules.fairQueue.select(shard.queue, endpoint, maySend, now);
            if (next == null) {
                return;
            }
            send(next, endpoint);
        }
    }

    /**
     * Whether a request may be sent to an endpoint now. A first attempt must respect key order and rate limit; a retry
     * must respect key order, the maximum number of attempts, idempotency, deduplication scope and retry budget.
     */
    private boolean maySend(PendingRequest request, Endpoint endpoint) {
        if (request.closed || request.attemptsInFlight > 0) {
            return false;
        }
        if (request.keyQueue != null && !request.keyQueue.mayStart(request, now)) {
            return false;
        }
        if (request.attempts.isEmpty()) {
            return request.flow.buckets().allowsAttempt(request.units, now);
        }
        return modules.retryPolicy.allows(request.attempts.size(), request.guard, now)
                && request.guard.allowsEndpoint(endpoint);
    }

    private void send(PendingRequest request, Endpoint endpoint) {
        modules.requests.release(request, now);
        if (!request.attempts.isEmpty()) {
            modules.retryBudget.retrySent(now);
        }
        if (!request.chargedToRateLimit) {
            request.flow.buckets().chargeAttempt(request.units);
            request.chargedToRateLimit = true;
        }
        long startBefore =
                Math.min(modules.listValidity.sendBefore(endpoint.leaseRenewedAt()), request.guard.mustStartBefore());
        request.guard.attemptSent(endpoint, now);
        request.flow.attemptSent(request.units);
        Attempt attempt = new Attempt(endpoint, now, request.requestClass.latencyObjective());
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        modules.endpoints.attemptSent(endpoint, attempt);
        long startWithin = startBefore == Long.MAX_VALUE ? 0 : startBefore - now;
        modules.actions.add(new SendAttempt(request.id, endpoint.name(), 0, startWithin));
    }
}
