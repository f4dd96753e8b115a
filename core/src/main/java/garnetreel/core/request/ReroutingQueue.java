package garnetreel.core.request;

import java.util.List;
import java.util.TreeMap;

/**
 * Sub-requests that wait for a newer extent map because their extent has moved, or because they must follow one that
 * waits, in the order of creation.
 */
final class ReroutingQueue {
    /** Microseconds after which waiting sub-requests are rerouted even without a newer map. */
    static final long REROUTE_AFTER_MICROS = 50_000;

    private final TreeMap<Long, SubRequest> waiting = new TreeMap<>();
    private long rerouteAt = Long.MAX_VALUE;

    void add(SubRequest subRequest, long now) {
        subRequest.awaitingRoute = true;
        waiting.put(subRequest.sequence, subRequest);
        rerouteAt = Math.min(rerouteAt, now + REROUTE_AFTER_MICROS);
    }

    void remove(SubRequest subRequest) {
        waiting.remove(subRequest.sequence);
    }

    /** Whether a sub-request must wait here because it is ordered and another one with its key is waiting. */
    boolean blocks(SubRequest subRequest) {
        return subRequest.ordered() && waiting.values().stream().anyMatch(other -> other.key == subRequest.key);
    }

    /** Removes and returns all sub-requests, oldest first. */
    List<SubRequest> takeAll() {
        rerouteAt = Long.MAX_VALUE;
        List<SubRequest> taken = List.copyOf(waiting.values());
        waiting.clear();
        return taken;
    }

    /** When the waiting sub-requests are to be rerouted at the latest; {@link Long#MAX_VALUE} for never. */
    long nextDeadline() {
        return rerouteAt;
    }
}
