package garnetreel.map;

/**
 * A migration cannot begin: its extent does not exist, is at the target already or is migrating, or the service begins
 * no migrations at the moment.
 */
public final class MigrationRejectedException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** Creates it with the reason, which the service logs. */
    public MigrationRejectedException(String reason) {
        super(reason);
    }
}
