package garnetreel.core.platform;

import garnetreel.policy.event.EndpointState;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** The endpoints of the current endpoint list, by name. */
final class UpstreamEndpoints {
    private final Map<String, UpstreamEndpoint> byName = new HashMap<>();

    int size() {
        return byName.size();
    }

    /** Returns the endpoint of this name; null if it is not listed. */
    UpstreamEndpoint get(String name) {
        return byName.get(name);
    }

    /** Whether an endpoint is listed at this address and accepts new requests. */
    boolean acceptsRequests(String name, String address) {
        UpstreamEndpoint endpoint = byName.get(name);
        return endpoint != null && endpoint.up() && endpoint.address().equals(address);
    }

    /**
     * Applies an update. Returns the names of the known endpoints that it removed or changed, in the update's order.
     */
    Set<String> apply(EndpointListUpdate update) {
        Set<String> changed = new LinkedHashSet<>();
        for (Map.Entry<String, UpstreamEndpoint> entry : stateAfter(update).entrySet()) {
            String name = entry.getKey();
            UpstreamEndpoint endpoint = entry.getValue();
            UpstreamEndpoint previous = endpoint == null ? byName.remove(name) : byName.put(name, endpoint);
            if (previous != null && !previous.equals(endpoint)) {
                changed.add(name);
            }
        }
        return changed;
    }

    /** The state after an update of each endpoint that the update concerns; null for one that is removed. */
    private Map<String, UpstreamEndpoint> stateAfter(EndpointListUpdate update) {
        Map<String, UpstreamEndpoint> stateAfter = new LinkedHashMap<>();
        for (EndpointListUpdate.Entry entry : update.entries()) {
            boolean removed = entry.endpoint().state() == EndpointState.REMOVED;
            stateAfter.put(entry.endpoint().name(), removed ? null : UpstreamEndpoint.of(entry));
        }
        if (update.complete()) {
            for (String name : byName.keySet()) {
                stateAfter.putIfAbsent(name, null);
            }
        }
        return stateAfter;
    }
}
