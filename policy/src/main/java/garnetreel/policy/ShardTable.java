package garnetreel.policy;

import garnetreel.policy.endpoint.Endpoint;
import garnetreel.policy.endpoint.EndpointTable;
import garnetreel.policy.timing.Retention;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All shards by number. Shards with held requests are tracked separately, so that work per event does not grow with the
 * fleet.
 */
final class ShardTable {
    private final Map<Integer, Shard> shards = new TreeMap<>();
    private final Map<Integer, Shard> withHeldRequests = new TreeMap<>();
    private final EndpointTable endpoints;

    ShardTable(EndpointTable endpoints) {
        this.endpoints = endpoints;
    }

    /**
     * Returns the shard with this number, and creates it if needed. A request that stores new data, which has no shard
     * yet, goes to the shard of the reachable endpoint with the most free slots, less the requests held for the shard,
     * that may be sent requests.
     *
     * @param number shard number; negative for new data, and then kept if there is no such endpoint
     * @param startedAt when this gateway started
     */
    Shard get(int number, long startedAt, long now) {
        int chosen = number < 0 ? selectForNewObject(number, now) : number;
        Shard shard = shards.get(chosen);
        if (shard == null) {
            shard = new Shard(chosen, startedAt);
            shards.put(chosen, shard);
        }
        return shard;
    }

    private int selectForNewObject(int number, long now) {
        double mostFree = Double.NEGATIVE_INFINITY;
        int chosen = number;
        for (Endpoint endpoint : endpoints.all()) {
            Shard shard = shards.get(endpoint.shard());
            double free = endpoint.limiter().freeSlots(now) - (shard == null ? 0 : shard.queue.size());
            if (endpoints.maySendTo(endpoint, now) && !endpoint.health().isUnreachable() && free > mostFree) {
                mostFree = free;
                chosen = endpoint.shard();
            }
        }
        return chosen;
    }

    void requestHeld(Shard shard) {
        withHeldRequests.put(shard.number, shard);
    }

    void requestReleased(Shard shard) {
        if (shard.queue.isEmpty()) {
            withHeldRequests.remove(shard.number);
        }
    }

    /**
     * Returns the shards with held requests, by number, as a copy that can be iterated over while requests are
     * released.
     */
    List<Shard> withHeldRequests() {
        return List.copyOf(withHeldRequests.values());
    }

    /**
     * Evicts shards without endpoint and without recent requests, as clients may send numbers of shards that do not
     * exist.
     */
    void evictUnused(long now) {
        long retention = Retention.of(shards.size());
        shards.values()
                .removeIf(shard -> shard.queue.isEmpty()
                        && now - shard.demand.lastRequestAt() > retention
                        && !endpoints.hasShard(shard.number));
    }

    /**
     * Invariant: each shard is consistent, and {@link #withHeldRequests} has exactly the shards with a non-empty queue.
     */
    boolean isConsistent() {
        for (Shard shard : shards.values()) {
            if (!shard.isConsistent() || shard.queue.isEmpty() == withHeldRequests.containsKey(shard.number)) {
                return false;
            }
        }
        return true;
    }
}
