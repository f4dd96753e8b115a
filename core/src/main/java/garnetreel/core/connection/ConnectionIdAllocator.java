package garnetreel.core.connection;

/**
 * Allocates ids of the connections that a state machine opens. They are negative, to differ from those of accepted
 * connections, and are never reused.
 */
public final class ConnectionIdAllocator {
    private long last;

    /** Allocates an id. */
    public long next() {
        return --last;
    }
}
