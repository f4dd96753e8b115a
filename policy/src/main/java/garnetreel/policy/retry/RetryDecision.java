package garnetreel.policy.retry;

/** Decision after an attempt that did not complete its request. */
public enum RetryDecision {
    /** Retry at any endpoint of the shard. */
    RETRY,
    /** Retry only if another endpoint of the shard would be selected now. */
    RETRY_ELSEWHERE,
    /** Give up the request. */
    GIVE_UP
}
