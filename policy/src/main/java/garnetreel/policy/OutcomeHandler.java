package garnetreel.policy;

import garnetreel.policy.concurrency.InFlightAttempt;
import garnetreel.policy.endpoint.Endpoint;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.health.Recovery;
import garnetreel.policy.retry.RetryDecision;

/** Updates endpoint health and limits from the outcomes of attempts, and retries or gives up their requests. */
final class OutcomeHandler {
    private final DecisionModules modules;
    private final RequestCloser closer;

    OutcomeHandler(DecisionModules modules, RequestCloser closer) {
        this.modules = modules;
        this.closer = closer;
    }

    void attemptCompleted(AttemptCompleted event, long now) {
        PendingRequest request = modules.requests.get(event.id());
        if (request == null || event.attempt() < 0 || event.attempt() >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(event.attempt());
        if (!attempt.inFlight) {
            return;
        }
        endAttempt(request, attempt);
        updateExecutionState(request, event.outcome(), now);
        if (modules.settings.reportsOtherGateways() && event.unitsFromOtherGateways() > 0) {
            request.flow.buckets().chargeForOtherGateways(event.unitsFromOtherGateways(), now);
        }
        updateLease(attempt, event.outcome());
        updateHealth(request, attempt, event, now);
        if (event.requestCompleted() || request.closed) {
            modules.requests.close(request, now);
        } else if (isRetried(request, event.outcome(), now)) {
            modules.requests.hold(request);
        } else {
            closer.rejectOrFail(request, now);
        }
    }

    private void endAttempt(PendingRequest request, Attempt attempt) {
        attempt.inFlight = false;
        request.attemptsInFlight--;
        request.flow.attemptEnded();
        modules.endpoints.attemptEnded(attempt.endpoint, attempt);
    }

    /**
     * Records an outcome that proves that nothing was executed; starts the quiet period of the request's key if work
     * may still be running.
     */
    private void updateExecutionState(PendingRequest request, Outcome outcome, long now) {
        if (outcome.provesNotExecuted()) {
            request.guard.provenNotExecuted();
        } else if (request.keyQueue != null && outcome != Outcome.OK && outcome != Outcome.ERROR) {
            modules.keySequencer.startQuietPeriod(request.keyQueue, request, now);
        }
    }

    private static void updateLease(Attempt attempt, Outcome outcome) {
        if (outcome == Outcome.OK) {
            attempt.endpoint.renewLease(attempt.sentAt());
        } else if (outcome == Outcome.OVERLOADED) {
            attempt.endpoint.revokeLease();
        }
    }

    /**
     * Updates the health of the endpoint. The latency of a response with an error is not recorded; an
     * {@link Outcome#OVERLOADED} response and a failed connection are recorded as late responses, and a timeout by
     * {@link #recordTimeout}.
     */
    private void updateHealth(PendingRequest request, Attempt attempt, AttemptCompleted event, long now) {
        Endpoint endpoint = attempt.endpoint;
        switch (event.outcome()) {
            case OK -> {
                recordResponse(endpoint, modules.latencyScale.isQuick(event.elapsed()), now);
                recordSuccess(request, attempt, Math.max(1, event.elapsed()), now);
            }
            case ERROR -> recordResponse(endpoint, modules.latencyScale.isQuick(event.elapsed()), now);
            case OVERLOADED -> {
                recordResponse(endpoint, false, now);
                endpoint.limiter().resetWindow();
                endpoint.health().recordFailure(attempt.sentAt(), now);
            }
            case CONNECT_FAILED -> recordConnectFailure(attempt, now);
            case TIMEOUT -> recordTimeout(attempt, event.elapsed(), now);
            default -> {}
        }
    }

    private void recordResponse(Endpoint endpoint, boolean quick, long now) {
        if (endpoint.responded(quick, now) != Recovery.NONE) {
            modules.actions.log("endpoint " + endpoint.name() + ": reachable again");
        }
    }

    private void recordConnectFailure(Attempt attempt, long now) {
        Endpoint endpoint = attempt.endpoint;
        if (endpoint.health().connectFailed(now)) {
            modules.actions.log("endpoint " + endpoint.name() + ": unreachable");
        }
        endpoint.health().recordFailure(attempt.sentAt(), now);
    }

    /**
     * Records the latency, unless an attempt sent later was answered (see {@code ConcurrencyLimiter.isOvertaken}): the
     * missing response is then taken as lost, since one delayed by the endpoint's queue would delay later responses
     * too.
     */
    private static void recordTimeout(Attempt attempt, long elapsed, long now) {
        if (!attempt.endpoint.limiter().isOvertaken(attempt.sentAt())) {
            attempt.endpoint.health().recordLatency(attempt.sentAt(), attempt.toObjectiveMultiple(elapsed), now);
        }
    }

    private void recordSuccess(PendingRequest request, Attempt attempt, long elapsed, long now) {
        Endpoint endpoint = attempt.endpoint;
        boolean wasNearlyFull = endpoint.limiter().isNearlyFull(now);
        request.shard.served.add(request.units, now);
        endpoint.limiter().answered(attempt.sentAt());
        double relativeLatency = modules.latencyScale.relative(elapsed, request.units);
        endpoint.health().recordLatency(attempt.sentAt(), attempt.toObjectiveMultiple(elapsed), now);
        endpoint.health().recover(relativeLatency, now);
        endpoint.limiter().adapt(attempt.sentAt(), relativeLatency, wasNearlyFull, now);
    }

    private boolean isRetried(PendingRequest request, Outcome outcome, long now) {
        RetryDecision decision = modules.retryPolicy.afterOutcome(
                outcome, request.attempts.size(), request.latestUsefulStart, request.guard, now);
        return switch (decision) {
            case RETRY -> true;
            case RETRY_ELSEWHERE -> modules.endpoints.select(request.shard.number, now)
                    != request.lastAttempt().endpoint;
            case GIVE_UP -> false;
        };
    }

    /**
     * Detects a slow endpoint before its attempts end, by the age of the oldest attempt in flight that was not
     * overtaken.
     */
    void detectSlowEndpoints(long now) {
        for (Endpoint endpoint : modules.endpoints.withAttemptsInFlight()) {
            for (InFlightAttempt attempt : endpoint.limiter().inFlight()) {
                if (!endpoint.limiter().isOvertaken(attempt.sentAt())) {
                    double latency = attempt.toObjectiveMultiple(now - attempt.sentAt());
                    endpoint.health().observeInFlight(attempt.sentAt(), latency, now);
                    break;
                }
            }
        }
    }
}
