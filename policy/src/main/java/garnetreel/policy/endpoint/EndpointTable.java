package garnetreel.policy.endpoint;

import garnetreel.policy.concurrency.InFlightAttempt;
import garnetreel.policy.event.EndpointEntry;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Indexes all endpoints by name and by shard, and those with attempts in flight, so that the work per event does not
 * grow with the number of endpoints. The maps are ordered by name or by shard number, as decisions must not depend on
 * hash codes.
 */
public final class EndpointTable {
    private final Map<String, Endpoint> endpoints = new TreeMap<>();
    private final Map<Integer, Map<String, Endpoint>> byShard = new TreeMap<>();
    private final Map<String, Endpoint> withInFlight = new TreeMap<>();
    private final EndpointListValidity listValidity;

    /**
     * Creates an empty table that selects only endpoints that may be used according to the given validity of the list
     * and the leases.
     */
    public EndpointTable(EndpointListValidity listValidity) {
        this.listValidity = listValidity;
    }

    /** Marks all endpoints as down before a complete list is applied; endpoints that it does not contain stay down. */
    public void markAllDown() {
        endpoints.values().forEach(Endpoint::markDown);
    }

    /** Applies a list entry and returns its endpoint. */
    public Endpoint apply(EndpointEntry entry) {
        Endpoint endpoint = endpoints.computeIfAbsent(entry.name(), Endpoint::new);
        if (endpoint.shard() != entry.shard()) {
            removeFromShard(endpoint);
        }
        endpoint.apply(entry);
        byShard.computeIfAbsent(entry.shard(), absent -> new TreeMap<>()).put(entry.name(), endpoint);
        return endpoint;
    }

    private void removeFromShard(Endpoint endpoint) {
        Map<String, Endpoint> shardEndpoints = byShard.get(endpoint.shard());
        if (shardEndpoints != null && shardEndpoints.remove(endpoint.name(), endpoint) && shardEndpoints.isEmpty()) {
            byShard.remove(endpoint.shard());
        }
    }

    /** All endpoints, by name. */
    public Collection<Endpoint> all() {
        return endpoints.values();
    }

    /** Endpoints with attempts in flight, by name. */
    public Collection<Endpoint> withAttemptsInFlight() {
        return withInFlight.values();
    }

    /** Whether any endpoint is known for a shard, up or not. */
    public boolean hasShard(int shard) {
        return byShard.containsKey(shard);
    }

    private Collection<Endpoint> shardEndpoints(int shard) {
        return byShard.getOrDefault(shard, Map.of()).values();
    }

    /** Whether an endpoint may be sent requests: it is listed as up, and the list or its lease is still valid. */
    public boolean maySendTo(Endpoint endpoint, long now) {
        return endpoint.isUp() && now < listValidity.sendBefore(endpoint.leaseRenewedAt());
    }

    /**
     * Selects the endpoint for a shard: a reachable one if possible, then the one with the most free slots; null if
     * there is none.
     */
    public Endpoint select(int shard, long now) {
        Endpoint best = null;
        for (Endpoint endpoint : shardEndpoints(shard)) {
            if (maySendTo(endpoint, now) && (best == null || isBetter(endpoint, best, now))) {
                best = endpoint;
            }
        }
        return best;
    }

    private static boolean isBetter(Endpoint endpoint, Endpoint best, long now) {
        boolean unreachable = endpoint.health().isUnreachable();
        if (unreachable != best.health().isUnreachable()) {
            return !unreachable;
        }
        return endpoint.limiter().freeSlots(now) > best.limiter().freeSlots(now);
    }

    /** Whether a shard has endpoints that are up, but none of them may be sent requests. */
    public boolean hasOnlyUnusableEndpoints(int shard, long now) {
        boolean anyUp = false;
        for (Endpoint endpoint : shardEndpoints(shard)) {
            anyUp |= endpoint.isUp();
        }
        return anyUp && select(shard, now) == null;
    }

    /** Records that an attempt was sent. */
    public void attemptSent(Endpoint endpoint, InFlightAttempt attempt) {
        endpoint.limiter().attemptSent(attempt);
        withInFlight.put(endpoint.name(), endpoint);
    }

    /** Records that an attempt is no longer in flight. */
    public void attemptEnded(Endpoint endpoint, InFlightAttempt attempt) {
        endpoint.limiter().ended(attempt);
        if (endpoint.limiter().isIdle()) {
            withInFlight.remove(endpoint.name());
        }
    }

    /**
     * Evicts endpoints that are down and have no attempt in flight: some deployments continually replace endpoints
     * under new names.
     */
    public void evictUnused() {
        endpoints.values().removeIf(endpoint -> {
            boolean unused = !endpoint.isUp() && endpoint.limiter().isIdle();
            if (unused) {
                removeFromShard(endpoint);
            }
            return unused;
        });
    }

    /**
     * Invariant: each endpoint is consistent and indexed by its shard, and by in-flight attempts if and only if it has
     * any.
     */
    public boolean isConsistent() {
        int indexed = 0;
        for (Map<String, Endpoint> shardEndpoints : byShard.values()) {
            indexed += shardEndpoints.size();
        }
        return indexed == endpoints.size() && endpoints.values().stream().allMatch(this::isConsistent);
    }

    private boolean isConsistent(Endpoint endpoint) {
        Map<String, Endpoint> shardEndpoints = byShard.get(endpoint.shard());
        return endpoint.isConsistent()
                && shardEndpoints != null
                && shardEndpoints.get(endpoint.name()) == endpoint
                && endpoint.limiter().isIdle() != withInFlight.containsKey(endpoint.name());
    }
}
