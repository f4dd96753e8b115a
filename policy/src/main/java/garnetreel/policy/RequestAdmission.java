package garnetreel.policy;

import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.endpoint.Endpoint;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.fairqueue.VolumeFlow;
import garnetreel.policy.ratelimit.VolumeBuckets;
import garnetreel.policy.retry.IdempotencyGuard;

/** Charges received requests to token buckets and queues them; at once gives up those that are not admitted. */
final class RequestAdmission {
    /**
     * Result of the admission of a request. With all others than {@link #ADMITTED} the request is given up; the names
     * state the reason.
     */
    private enum Admission {
        ADMITTED,
        /** A client retry past its latest useful start: it has little value and would delay requests still in time. */
        LATE_RETRY,
        /** The volume's rate limit does not cover the request in time. */
        RATE_LIMITED,
        /**
         * The endpoint selected for the shard lacks capacity for the request, or the shard has endpoints and none of
         * them may be sent requests.
         */
        NO_CAPACITY
    }

    private final DecisionModules modules;
    private final RequestCloser closer;

    RequestAdmission(DecisionModules modules, RequestCloser closer) {
        this.modules = modules;
        this.closer = closer;
    }

    void requestReceived(RequestReceived event, long now) {
        modules.retryBudget.requestReceived(now);
        if (modules.requests.contains(event.id())) {
            return;
        }
        PendingRequest request = create(event, now);
        modules.requests.add(request);
        boolean lateRetry = isLateRetry(request, now);
        if (!lateRetry) {
            request.chargedBucket = request.flow.buckets().chargeRequest(request.units, now);
        }
        modules.fairQueue.requestReceived(request.flow, now);
        if (request.requestClass.ordered() && event.key() >= 0) {
            request.keyQueue = modules.keySequencer.enqueue(event.key(), request);
        }
        modules.requests.hold(request);
        Admission admission = lateRetry ? Admission.LATE_RETRY : admissionOf(request, now);
        if (admission != Admission.ADMITTED) {
            closer.rejectOrFail(request, now);
        }
    }

    private PendingRequest create(RequestReceived event, long now) {
        RequestClass requestClass = modules.settingsLookup.requestClass(event, now);
        VolumeFlow flow = flow(event, now);
        Shard shard = modules.shards.get(event.shard(), modules.startedAt, now);
        IdempotencyGuard guard = new IdempotencyGuard(requestClass, modules.loadShedder.responseMargin());
        return new PendingRequest(event, requestClass, flow, shard, guard, modules.requests.takeSequenceNumber());
    }

    private VolumeFlow flow(RequestReceived event, long now) {
        VolumeFlow existing = modules.fairQueue.flow(event.volume());
        if (existing != null) {
            return existing;
        }
        Plan plan = modules.settingsLookup.plan(event);
        VolumeBuckets buckets = new VolumeBuckets(plan, modules.settings, event.gateways(), modules.startedAt, now);
        return modules.fairQueue.addFlow(event.volume(), plan.weight(), buckets);
    }

    /** Sets the latest useful start of a request, and returns whether it is a client retry received after that time. */
    private boolean isLateRetry(PendingRequest request, long now) {
        RequestClass requestClass = request.requestClass;
        request.firstReceivedAt = modules.unservedRequests.firstReceivedAt(
                request.flow, requestClass.name(), request.units, request.deadline, now);
        request.latestUsefulStart = modules.loadShedder.latestUsefulStart(
                request.firstReceivedAt, requestClass.latencyObjective(), request.deadline);
        return request.firstReceivedAt < now && request.latestUsefulStart <= now;
    }

    private Admission admissionOf(PendingRequest request, long now) {
        if (isBeyondRateLimit(request, now)) {
            return Admission.RATE_LIMITED;
        }
        return isAdmitted(request, now) ? Admission.ADMITTED : Admission.NO_CAPACITY;
    }

    private boolean isBeyondRateLimit(PendingRequest request, long now) {
        VolumeBuckets buckets = request.flow.buckets();
        return buckets.isRateLimited()
                && !buckets.coversInTime(modules.requests.unchargedUnits(request.flow), request.latestUsefulStart, now);
    }

    /**
     * Whether the endpoint selected for the shard has capacity for a request. Each call counts the request's demand
     * and, if it is admitted, its units, so a request that {@link #readmit} checks again is counted twice.
     */
    private boolean isAdmitted(PendingRequest request, long now) {
        Shard shard = request.shard;
        Endpoint endpoint = modules.endpoints.select(shard.number, now);
        shard.demand.add(request.chargedBucket, request.units, now);
        if (endpoint == null) {
            // A shard without endpoints may get one in time, so its requests are held. If the list and all leases have
            // expired, they are rarely renewed in time.
            return !modules.endpoints.hasOnlyUnusableEndpoints(shard.number, now);
        }
        return modules.admissionController.admits(
                request.chargedBucket,
                request.units,
                shard.demand,
                endpoint.health().admittedFraction(now),
                modules.slowStart.warmUpRate(endpoint.startedAt(), shard.served, now),
                modules.startedAt,
                now);
    }

    /** Repeats admission, by present capacity, for requests held for a shard with an endpoint that has started. */
    void readmit(Shard shard, long now) {
        for (PendingRequest request : shard.queue.snapshot()) {
            if (!isAdmitted(request, now)) {
                closer.rejectOrFail(request, now);
            }
        }
    }
}
