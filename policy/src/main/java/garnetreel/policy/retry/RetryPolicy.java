package garnetreel.policy.retry;

import garnetreel.policy.event.Outcome;

/** Decides whether a request is retried after an attempt that did not complete it. */
public final class RetryPolicy {
    private final int maxAttempts;
    private final RetryBudget budget;

    /** Creates a policy that limits retries by a number of attempts and a budget. */
    public RetryPolicy(int maxAttempts, RetryBudget budget) {
        this.maxAttempts = maxAttempts;
        this.budget = budget;
    }

    /**
     * Decides whether and where a request is retried after an outcome.
     *
     * @param attempts number of attempts sent so far
     * @param latestUsefulStart time from which on a retry is no longer useful
     */
    public RetryDecision afterOutcome(
            Outcome outcome, int attempts, long latestUsefulStart, IdempotencyGuard guard, long now) {
        if (now >= latestUsefulStart || !isRetryable(outcome) || !allows(attempts, guard, now)) {
            return RetryDecision.GIVE_UP;
        }
        // An endpoint with a full queue cannot meet the latency objective; another endpoint of the shard may.
        return outcome == Outcome.OVERLOADED ? RetryDecision.RETRY_ELSEWHERE : RetryDecision.RETRY;
    }

    /**
     * Whether an outcome leaves a retry worthwhile. Attempts are sent with the client's deadline as their timeout, so
     * no time is left after a timeout. A request whose attempt this gateway cancelled is not retried either; the
     * fair-queue scheduler itself cancels none.
     */
    private static boolean isRetryable(Outcome outcome) {
        return outcome != Outcome.TIMEOUT && outcome != Outcome.CANCELLED;
    }

    /** Whether the maximum number of attempts, idempotency and the retry budget permit one more attempt. */
    public boolean allows(int attempts, IdempotencyGuard guard, long now) {
        return attempts < maxAttempts && guard.allowsRetry(now) && budget.allowsRetry(now);
    }
}
