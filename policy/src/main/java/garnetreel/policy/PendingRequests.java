package garnetreel.policy;

import garnetreel.policy.fairqueue.VolumeFlow;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All pending requests by id, in the order received, and their transitions between held, in flight and closed. */
final class PendingRequests {
    private final Map<Long, PendingRequest> requests = new LinkedHashMap<>();
    private final ShardTable shards;
    private long nextSequence;

    PendingRequests(ShardTable shards) {
        this.shards = shards;
    }

    boolean contains(long id) {
        return requests.containsKey(id);
    }

    /** The pending request with this id, or null. */
    PendingRequest get(long id) {
        return requests.get(id);
    }

    /** Returns the next sequence number, which orders requests by arrival, and advances it. */
    long takeSequenceNumber() {
        return nextSequence++;
    }

    void add(PendingRequest request) {
        requests.put(request.id, request);
    }

    Collection<PendingRequest> all() {
        return requests.values();
    }

    /** A copy that can be iterated over while requests are closed. */
    List<PendingRequest> snapshot() {
        return List.copyOf(requests.values());
    }

    /** Inserts a request into the queue of its shard. */
    void hold(PendingRequest request) {
        request.shard.queue.insert(request);
        shards.requestHeld(request.shard);
        request.held = true;
        request.flow.requestHeld();
    }

    /** Removes a request from the queue of its shard if it is held. */
    void release(PendingRequest request, long now) {
        if (!request.held) {
            return;
        }
        request.held = false;
        request.shard.queue.remove(request);
        shards.requestReleased(request.shard);
        request.flow.requestReleased(now);
    }

    /** Marks a request as closed, and removes it if no attempt is in flight. */
    void close(PendingRequest request, long now) {
        request.closed = true;
        release(request, now);
        if (request.attemptsInFlight == 0) {
            requests.remove(request.id);
            if (request.keyQueue != null) {
                request.keyQueue.remove(request);
            }
        }
    }

    /** Units of a flow's held requests that have not yet been charged to its rate limit. */
    double unchargedUnits(VolumeFlow flow) {
        double units = 0;
        for (PendingRequest request : requests.values()) {
            boolean uncharged = request.held && request.flow == flow && !request.chargedToRateLimit;
            units += uncharged ? request.units : 0;
        }
        return units;
    }

    /** Invariant: each request is consistent, and is held or has an attempt in flight. */
    boolean isConsistent() {
        for (PendingRequest request : requests.values()) {
            if (!request.isConsistent() || !request.held && request.attemptsInFlight == 0) {
                return false;
            }
        }
        return true;
    }
}
