package garnetreel.map;

/**
 * The compare-and-set of a migration's switch failed: the extent's shard or version has changed since the migration
 * began.
 */
public final class ExtentChangedException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    /** Creates it with the expected and the actual version, which the service logs. */
    public ExtentChangedException(String message) {
        super(message);
    }
}
