package garnetreel.policy.fairqueue;

import garnetreel.policy.ratelimit.VolumeBuckets;
import garnetreel.policy.timing.Retention;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * All flows, the system virtual time, and the selection of the next request to send. Implements MQFQ-Sticky, the
 * scheduler of "Opportunistic GPU Acceleration for Serverless Functions" (see docs/design.md): volumes are flows,
 * endpoints are devices, and a flow is charged a request's units divided by the weight of its plan.
 */
public final class FairQueue {
    /**
     * Throttle threshold T of MQFQ-Sticky: units over weight by which a flow may be ahead of the system virtual time.
     * The threshold corresponds to a few requests, so that consecutive requests of a flow are sent together.
     */
    private static final double THROTTLE_THRESHOLD = 10;
    /** Weight of a plan that does not define one. */
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<Long, VolumeFlow> flows = new LinkedHashMap<>();
    private double systemVirtualTime;

    /** Flow of a volume, or null if there is none. */
    public VolumeFlow flow(long volume) {
        return flows.get(volume);
    }

    /** Creates the flow of a volume. */
    public VolumeFlow addFlow(long volume, double weight, VolumeBuckets buckets) {
        VolumeFlow flow = new VolumeFlow(weight > 0 ? weight : DEFAULT_WEIGHT, buckets);
        flows.put(volume, flow);
        return flow;
    }

    /** Records that a request of a flow was received; must be called before the request is held. */
    public void requestReceived(VolumeFlow flow, long now) {
        flow.requestReceived(now);
        if (!flow.isActive(now)) {
            flow.raiseVirtualTime(advanceVirtualTime(now));
        }
    }

    /** Advances the system virtual time to the lowest virtual time of the active flows; it never decreases. */
    private double advanceVirtualTime(long now) {
        double lowest = Double.POSITIVE_INFINITY;
        for (VolumeFlow flow : flows.values()) {
            if (flow.isActive(now)) {
                lowest = Math.min(lowest, flow.virtualTime());
            }
        }
        systemVirtualTime =
                lowest == Double.POSITIVE_INFINITY ? systemVirtualTime : Math.max(systemVirtualTime, lowest);
        return systemVirtualTime;
    }

    /**
     * Selects the next request. First selects a flow among those with a request that may be sent: of the unthrottled
     * ones, the flow with the longest queue and, in a tie, the fewest attempts in flight; if all are throttled, the
     * flow with the lowest virtual time. Then selects the oldest request of this flow that may be sent.
     *
     * @param queue requests held for the shard
     * @param endpoint endpoint with a free slot
     * @param maySend whether a request may be sent to the endpoint now
     * @return the request, or null if none may be sent
     */
    public <R extends QueuedRequest, E> R select(ShardQueue<R> queue, E endpoint, BiPredicate<R, E> maySend, long now) {
        List<VolumeFlow> eligible = eligibleFlows(queue, endpoint, maySend);
        double throttleLimit = advanceVirtualTime(now) + THROTTLE_THRESHOLD;
        VolumeFlow best = null;
        VolumeFlow lowest = null;
        for (VolumeFlow flow : eligible) {
            if (lowest == null || flow.virtualTime() < lowest.virtualTime()) {
                lowest = flow;
            }
            if (flow.virtualTime() <= throttleLimit && (best == null || flow.isPreferredTo(best))) {
                best = flow;
            }
        }
        VolumeFlow selected = best != null ? best : lowest;
        return selected == null ? null : queue.requests().get(selected.eligiblePosition());
    }

    private static <R extends QueuedRequest, E> List<VolumeFlow> eligibleFlows(
            ShardQueue<R> queue, E endpoint, BiPredicate<R, E> maySend) {
        List<R> requests = queue.requests();
        for (R request : requests) {
            request.flow().beginSelection();
        }
        List<VolumeFlow> eligible = new ArrayList<>();
        for (int position = 0; position < requests.size(); position++) {
            R request = requests.get(position);
            VolumeFlow flow = request.flow();
            flow.countQueued();
            if (!flow.hasEligible() && maySend.test(request, endpoint)) {
                flow.setEligible(position);
                eligible.add(flow);
            }
        }
        return eligible;
    }

    /** Evicts flows that have been unused for the retention period. */
    public void evictUnused(long now) {
        long retention = Retention.of(flows.size());
        flows.values().removeIf(flow -> flow.isUnused(now, retention));
    }

    /** Number of flows. */
    public int size() {
        return flows.size();
    }

    /** Invariant: each flow is consistent, and the system virtual time is finite. */
    public boolean isConsistent() {
        for (VolumeFlow flow : flows.values()) {
            if (!flow.isConsistent()) {
                return false;
            }
        }
        return Double.isFinite(systemVirtualTime);
    }
}
