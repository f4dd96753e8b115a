package garnetreel.policy.ratelimit;

/**
 * Token bucket to which a received request was charged, which determines its priority; in descending order of priority.
 */
public enum ChargedBucket {
    /** Within the volume's reserved rate. */
    RESERVED,
    /** Within the volume's provisioned rate. */
    PROVISIONED,
    /** Beyond both rates; no bucket was charged. */
    NONE;

    /** Number of ranks, for arrays indexed by rank. */
    public static final int RANKS = values().length;

    /** Priority rank; 0 is the highest priority. */
    public int rank() {
        return ordinal();
    }
}
