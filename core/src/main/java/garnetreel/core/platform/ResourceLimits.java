package garnetreel.core.platform;

/**
 * Divides the descriptors and the memory of a gateway's process among connections from clients, connections to
 * endpoints (upstream connections) and requests. When a limit is reached:
 *
 * <ul>
 * <li>Client connections: one is closed, preferably one on which nothing was received, else an idle one, else one with
 * a partial request.
 * <li>Upstream connections: an idle one is closed; if there is none, the attempt is not started.
 * <li>Requests: the new request is rejected.
 * <li>Requests received in part: the one that has been coming for longest is rejected.
 * </ul>
 *
 * @param maxClients connections from clients
 * @param maxUpstreamConnections connections to endpoints, established or being established
 * @param maxRequests active requests, including those whose client has disconnected while an attempt is in flight
 * @param maxBufferedBytes bytes that may be buffered of each of five kinds: requests received in part
 *     (the oldest is rejected), client input that waits to be parsed (above
 *     the limit, further requests on the connection are counted and rejected), request bodies (the request is
 *     rejected), responses being received (the response counts as malformed), and unread responses (the client whose
 *     response has waited longest is disconnected)
 * @param maxResponseBytes bytes of one response; a larger one counts as malformed. The platform's documentation states
 *     64 KiB, but endpoints have been observed to send 400 KB
 */
record ResourceLimits(
        int maxClients, int maxUpstreamConnections, int maxRequests, int maxBufferedBytes, int maxResponseBytes) {
    /**
     * Descriptors reserved for everything else: about 20 files of the JVM, the selector, the listener, discovery,
     * connections that are being closed, and connections accepted before maxClients is enforced.
     */
    private static final int RESERVED_DESCRIPTORS = 72;
    /** Part of the reserve that covers client connections above maxClients and those that are being closed. */
    private static final int MAX_CLIENTS_OVER_LIMIT = 36;
    /**
     * Connections to endpoints get 1/3 of the remaining descriptors and clients the rest, because an idle client, and a
     * request that the scheduler holds back, have no attempt in flight.
     */
    private static final int UPSTREAM_DIVISOR = 3;
    /**
     * Active requests per allowed client connection: the one in progress, and one left by a former connection whose
     * client has disconnected.
     */
    private static final int REQUESTS_PER_CLIENT = 2;
    /** Minimum number of connections for clients and for endpoints. */
    private static final int MIN_CONNECTIONS = 8;
    /** Minimum number of descriptors that allows the minimum number of connections on both sides. */
    static final int MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + 2 * MIN_CONNECTIONS;
    /** Memory, in MiB, above which the limits no longer grow. */
    private static final int MAX_MEMORY_MB = 1024;

    private static final int MB_SHIFT = 20;
    /** Each of the five kinds of buffered bytes may use 1/16 of the memory. */
    private static final int BUFFER_DIVISOR = 16;
    /** One response may use 1/64 of the memory. */
    private static final int RESPONSE_DIVISOR = 64;
    /** The heap may be smaller than the memory of the process allows: no kind of buffered bytes may use more of it. */
    private static final int HEAP_BUFFER_DIVISOR = 8;

    private static final int HEAP_RESPONSE_DIVISOR = 32;

    /**
     * Maximum number of client sockets open at once, including those that the gateway has not been notified of yet and
     * those that it is closing. Otherwise a burst of connections could take the descriptors of connections to endpoints
     * and discovery before the gateway gets a turn in which to evict connections.
     */
    int maxAccepted() {
        return maxClients + MAX_CLIENTS_OVER_LIMIT;
    }

    /**
     * Computes the division from the limits of the process.
     *
     * @param heapBytes size of the heap, which holds all that is buffered
     */
    static ResourceLimits of(PlatformSettings.Limits limits, long heapBytes) {
        int availableDescriptors = limits.fileDescriptors() - RESERVED_DESCRIPTORS;
        int maxUpstreamConnections = Math.max(MIN_CONNECTIONS, availableDescriptors / UPSTREAM_DIVISOR);
        int maxClients = Math.max(MIN_CONNECTIONS, availableDescriptors - maxUpstreamConnections);
        int memoryBytes = Math.min(limits.memoryMb(), MAX_MEMORY_MB) << MB_SHIFT;
        return new ResourceLimits(
                maxClients,
                maxUpstreamConnections,
                REQUESTS_PER_CLIENT * maxClients,
                (int) Math.min(memoryBytes / BUFFER_DIVISOR, heapBytes / HEAP_BUFFER_DIVISOR),
                (int) Math.min(memoryBytes / RESPONSE_DIVISOR, heapBytes / HEAP_RESPONSE_DIVISOR));
    }
}
