package garnetreel.policy.timing;

/** Retention of unused entries in tables. */
public final class Retention {
    /** Default retention, in microseconds: token buckets have refilled by then, so removing an entry has no effect. */
    private static final long DEFAULT = 60_000_000;
    /** Retention in large tables, in microseconds: limits the table size if clients invent names. */
    private static final long SHORT = 5_000_000;
    /** A table with more entries than this is large. */
    private static final int LARGE_TABLE_ENTRIES = 1_024;

    private Retention() {}

    /** Retention of unused entries in a table with the given number of entries, in microseconds. */
    public static long of(int entries) {
        return entries > LARGE_TABLE_ENTRIES ? SHORT : DEFAULT;
    }
}
