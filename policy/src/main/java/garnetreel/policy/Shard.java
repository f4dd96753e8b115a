package garnetreel.policy;

import garnetreel.policy.admission.DemandEstimate;
import garnetreel.policy.fairqueue.ShardQueue;
import garnetreel.policy.slowstart.ServedRate;

/** Held requests, estimated demand and served rate of one shard at this gateway. */
final class Shard {
    final int number;
    final ShardQueue<PendingRequest> queue = new ShardQueue<>();
    final DemandEstimate demand = new DemandEstimate();
    /** Served rate; kept when an endpoint is replaced, as slow start of the new, cold endpoint is based on it. */
    final ServedRate served;

    Shard(int number, long startedAt) {
        this.number = number;
        this.served = new ServedRate(startedAt);
    }

    boolean isConsistent() {
        return queue.isConsistent() && demand.isConsistent() && served.isConsistent();
    }
}
