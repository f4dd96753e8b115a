package garnetreel.policy.config;

/** Set of endpoints that share the detection of duplicate requests by idempotency key. */
public enum DeduplicationScope {
    /** All endpoints. */
    ALL,
    /** All endpoints of a zone. */
    ZONE,
    /** All endpoints of a shard. */
    SHARD
}
