package garnetreel.policy.ordering;

import java.util.ArrayDeque;
import java.util.HashSet;

/**
 * Unfinished requests of one key in the order of arrival, and the quiet period of the key.
 *
 * @param <R> type of the requests
 */
public final class KeyQueue<R> {
    private final ArrayDeque<R> requests = new ArrayDeque<>();
    /** Request whose outcome started the quiet period. */
    private R quietPeriodCause;

    private long quietUntil;

    KeyQueue() {}

    void add(R request) {
        requests.add(request);
    }

    void startQuietPeriod(long until, R request) {
        quietPeriodCause = request;
        quietUntil = until;
    }

    boolean isIdle(long now) {
        return requests.isEmpty() && now >= quietUntil;
    }

    /**
     * Whether a request may be sent: it is the first of its key, and the key is not in a quiet period started by
     * another request.
     */
    public boolean mayStart(R request, long now) {
        return requests.peekFirst() == request && (now >= quietUntil || quietPeriodCause == request);
    }

    /** Removes a finished request. */
    public void remove(R request) {
        requests.remove(request);
    }

    boolean isConsistent() {
        return new HashSet<>(requests).size() == requests.size();
    }
}
