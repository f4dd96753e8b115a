package garnetreel.policy.ratelimit;

/**
 * Token bucket to which a received request was charged, in descending order of priority. To book a request is to choose
 * that bucket and charge it.
 */
public enum BudgetBooking {
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
