package garnetreel.map;

/**
 * A journal or snapshot of the map service cannot be decoded, or its records are not consecutive. Recovery fails
 * instead of continuing with a partial map, which would direct requests to shards that no longer hold the extents.
 */
public final class CorruptJournalException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    /** Damage found by a check. */
    public CorruptJournalException(String message) {
        super(message);
    }

    /** Damage that made decoding fail. */
    public CorruptJournalException(String message, Throwable cause) {
        super(message, cause);
    }
}
