package garnetreel.policy.retry;

import garnetreel.policy.config.SafetyRules;
import java.util.ArrayDeque;

/** Limits retries to a fixed number plus a fraction of the requests received within the retry window. */
public final class RetryBudget {
    /**
     * Retries are counted in a window longer than the configured one by this factor, and received requests in one
     * shorter by it: attempts may be delayed by different times, so that more retries arrive at the endpoints within a
     * window than were sent within one.
     */
    private static final double WINDOW_MARGIN = 1.05;

    private final SafetyRules rules;
    private final ArrayDeque<Long> received = new ArrayDeque<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();

    /** Creates a budget for the given rules; without a retry window retries are not limited. */
    public RetryBudget(SafetyRules rules) {
        this.rules = rules;
    }

    private boolean isLimited() {
        return rules.retryWindow() > 0;
    }

    /** Counts a received request. */
    public void requestReceived(long now) {
        if (isLimited()) {
            received.add(now);
        }
    }

    /** Counts a retry that was sent. */
    public void retrySent(long now) {
        if (isLimited()) {
            retries.add(now);
        }
    }

    /** Whether the budget permits one more retry. */
    public boolean allowsRetry(long now) {
        if (!isLimited()) {
            return true;
        }
        while (!retries.isEmpty() && retries.peekFirst() < now - rules.retryWindow() * WINDOW_MARGIN) {
            retries.pollFirst();
        }
        evictOldRequests(now);
        return retries.size() + 1 <= rules.freeRetries() + rules.retryRatio() * received.size();
    }

    /** Evicts requests that are older than the window. */
    public void evictOldRequests(long now) {
        while (!received.isEmpty() && received.peekFirst() < now - rules.retryWindow() / WINDOW_MARGIN) {
            received.pollFirst();
        }
    }

    /** Number of recorded times. */
    public int size() {
        return received.size() + retries.size();
    }

    /** Invariant: without a limit nothing is recorded, and recorded times are in order. */
    public boolean isConsistent() {
        return (isLimited() || size() == 0) && isOrdered(received) && isOrdered(retries);
    }

    private static boolean isOrdered(ArrayDeque<Long> times) {
        long previous = Long.MIN_VALUE;
        for (long time : times) {
            if (time < previous) {
                return false;
            }
            previous = time;
        }
        return true;
    }
}
