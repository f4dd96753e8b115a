package garnetreel.policy;

import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;

/**
 * Sends final responses and closes requests. The scheduler gives up a request that it can't serve in time: it is
 * rejected if the client can safely retry it, and failed otherwise. To shed requests is to give up held ones.
 */
final class RequestCloser {
    private final DecisionModules modules;

    RequestCloser(DecisionModules modules) {
        this.modules = modules;
    }

    /**
     * Gives up a request: rejects it if the client can safely retry, fails it otherwise. A rejection asks for the
     * longest delay that clients honour, as a retry during the same overload would probably miss the latency objective
     * of the request.
     */
    void rejectOrFail(PendingRequest request, long now) {
        if (request.closed) {
            return;
        }
        modules.actions.add(
                request.guard.clientMayRetry()
                        ? new RejectRequest(request.id, modules.settings.maxRetryAfter())
                        : new FailRequest(request.id));
        request.flow.buckets().refund(request.chargedBucket, request.units);
        modules.unservedRequests.add(
                request.flow, request.requestClass.name(), request.units, request.deadline, request.firstReceivedAt);
        modules.requests.close(request, now);
    }

    void requestCancelled(long id, long now) {
        PendingRequest request = modules.requests.get(id);
        if (request != null) {
            modules.requests.close(request, now);
        }
    }

    /** Gives up requests that are about to miss their deadline. */
    void expireRequests(long now) {
        for (PendingRequest request : modules.requests.snapshot()) {
            if (request.awaitsResponse() && now >= modules.loadShedder.responseDueAt(request.deadline)) {
                rejectOrFail(request, now);
            }
        }
    }

    /**
     * Sheds requests held past their latest useful start, or all of a shard if it has endpoints that are up, but none
     * of them may be sent requests.
     */
    void shed(Shard shard, long now) {
        boolean onlyUnusableEndpoints =
                !shard.queue.isEmpty() && modules.endpoints.hasOnlyUnusableEndpoints(shard.number, now);
        for (PendingRequest request : shard.queue.snapshot()) {
            if (modules.loadShedder.sheds(request.latestUsefulStart, onlyUnusableEndpoints, now)) {
                rejectOrFail(request, now);
            }
        }
    }
}
