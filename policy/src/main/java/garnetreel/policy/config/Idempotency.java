package garnetreel.policy.config;

/** Determines whether a request may be retried once an attempt may have been executed. */
public enum Idempotency {
    /** May be executed more than once. */
    IDEMPOTENT,
    /** Has an idempotency key, by which endpoints recognize and drop duplicates for a limited time. */
    IDEMPOTENCY_KEY,
    /** Must not be executed more than once, and endpoints do not recognize duplicates. */
    NON_IDEMPOTENT
}
