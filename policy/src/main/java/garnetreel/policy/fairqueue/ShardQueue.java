package garnetreel.policy.fairqueue;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests held for one shard, in the order of arrival.
 *
 * @param <R> type of the requests
 */
public final class ShardQueue<R extends QueuedRequest> {
    private final List<R> requests = new ArrayList<>();

    /** Inserts a request in the order of arrival; a request held again for a retry precedes later ones. */
    public void insert(R request) {
        int position = requests.size();
        while (position > 0 && requests.get(position - 1).sequence() > request.sequence()) {
            position--;
        }
        requests.add(position, request);
    }

    /** Removes a request. */
    public void remove(R request) {
        requests.remove(request);
    }

    /** Whether the queue is empty. */
    public boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Number of requests held. */
    public int size() {
        return requests.size();
    }

    /** Copy of the queue, for iteration while requests are removed. */
    public List<R> snapshot() {
        return List.copyOf(requests);
    }

    List<R> requests() {
        return requests;
    }

    /** Invariant: requests are in the order of arrival, without duplicates. */
    public boolean isConsistent() {
        for (int i = 1; i < requests.size(); i++) {
            if (requests.get(i - 1).sequence() >= requests.get(i).sequence()) {
                return false;
            }
        }
        return true;
    }
}
