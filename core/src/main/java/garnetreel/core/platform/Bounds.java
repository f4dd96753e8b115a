package garnetreel.core.platform;

/**
 * How the platform's limits are shared out. Past a bound: a client's connection that says nothing goes first, then an
 * idle one, then the new one; an idle connection to a shelf goes, then the attempt could not connect; a request is refused.
 *
 * @param clients connections from clients
 * @param shelves connections to shelves, standing or coming up
 * @param requests requests held, those included whose client has left and whose attempt is out
 * @param bytes bytes of bodies held for clients
 */
record Bounds(int clients, int shelves, int requests, long bytes) {
    /**
     * Descriptors for all else: about 20 files of the JVM, the selector, the listener, discovery, and what is accepted
     * or closed in one selection before the bound is applied.
     */
    private static final int RESERVE = 72;
    /** One part in so many of the rest is for shelves: attempts are fewer than requests. */
    private static final int SHELF_PART = 3;
    private static final int LEAST = 8;
    /** One part in so many of the memory may hold bodies. */
    private static final int BYTES_PART = 12;

    static Bounds of(PlatformSettings.Limits limits) {
        int rest = Math.max(2 * LEAST, limits.sockets() - RESERVE);
        int shelves = Math.max(LEAST, rest / SHELF_PART);
        int clients = Math.max(LEAST, rest - shelves);
        return new Bounds(clients, shelves, 2 * clients, ((long) limits.memoryMb() << 20) / BYTES_PART);
    }
}
