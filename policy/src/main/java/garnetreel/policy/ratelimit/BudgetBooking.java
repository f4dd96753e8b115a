package garnetreel.policy.ratelimit;

/** Budget that a request is booked on, in descending order of priority: the reserve is served before the quota. */
public enum BudgetBooking {
    /** Within the volume's reserved rate. */
    RESERVE,
    /** Within the volume's provisioned rate. */
    QUOTA,
    /** Beyond both rates; no bucket was charged. */
    NONE;

    /** Number of ranks, for arrays indexed by rank. */
    public static final int RANKS = values().length;

    /** Priority rank; 0 is the highest priority. */
    public int rank() {
        return ordinal();
    }
}
