package garnetreel.policy.timing;

/** Retention of unused entries in tables. */
public final class Retention {
    /**
     * Default retention, in microseconds: most token buckets have refilled by then, so evicting a volume rarely has an
     * effect; an evicted shard loses its demand and its served rate.
     */
    private static final long DEFAULT_MICROS = 60_000_000;
    /**
     * Retention in large tables, in microseconds: limits the table size if clients send many different ids; state is
     * then lost sooner.
     */
    private static final long SHORT_MICROS = 5_000_000;
    /** A table with more entries than this is large. */
    private static final int LARGE_TABLE_ENTRIES = 1_024;

    private Retention() {}

    /** Retention of unused entries in a table with the given number of entries, in microseconds. */
    public static long of(int entries) {
        return entries > LARGE_TABLE_ENTRIES ? SHORT_MICROS : DEFAULT_MICROS;
    }
}
