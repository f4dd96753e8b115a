package garnetreel.testbed.node;

/**
 * The settings of a fake storage node. Times are in microseconds.
 *
 * @param name name in traces
 * @param listen address to listen on for clients
 * @param list address of the node list to register with; empty for none
 * @param zone zone given in the registration
 * @param shard shard that the node serves
 * @param cores number of requests executed concurrently
 * @param maxQueued maximum number of queued requests; further ones are answered FULL without being executed
 * @param maxConnections maximum number of client connections; further ones are closed
 * @param workPerRequest time to execute a request at full speed, plus {@code workPerUnit} for each of its units
 * @param workPerUnit time for each unit at full speed
 * @param unitsPerSecond capacity at full speed, from which the overload limit of a cold node is derived
 * @param startedLongAgo whether the node starts warm and registers with a start time of 0
 * @param initialFraction fraction of full speed that a cold node starts with
 * @param warmUpDuration time after which the node runs at full speed
 * @param overloadFactor a cold node collapses if it is sent more than this multiple of its current speed
 * @param overloadWindow time over which that load is measured; 0 for a node that never collapses
 * @param deferredFraction fraction of a write's work that is deferred to the next flush
 * @param flushInterval time between flushes
 * @param journal whether answered writes are durable at once; otherwise a crash loses those not flushed
 * @param meanPauseInterval mean time between pauses in which no request is started; 0 for no pauses
 * @param maxPause maximum length of a pause
 * @param deduplicationWindow time for which a request with an idempotency key is recorded
 * @param capacity capacity in bytes reported to the map service; writes beyond it are not rejected
 */
public record NodeSettings(
        String name,
        String listen,
        String list,
        String zone,
        int shard,
        int cores,
        int maxQueued,
        int maxConnections,
        long workPerRequest,
        long workPerUnit,
        double unitsPerSecond,
        boolean startedLongAgo,
        double initialFraction,
        long warmUpDuration,
        double overloadFactor,
        long overloadWindow,
        double deferredFraction,
        long flushInterval,
        boolean journal,
        long meanPauseInterval,
        long maxPause,
        long deduplicationWindow,
        long capacity) {

    /** A node whose work takes no time: it answers within the turn in which a request arrives. */
    public static NodeSettings instantaneous(String name, String listen, String list, int shard) {
        return new NodeSettings(
                name, listen, list, "zone-a", shard, 1, 4096, 256, 0, 0, 1e9, true, 1, 0, 0, 0, 0, 1_000_000, false, 0,
                0, 5_000_000, 1L << 40);
    }

    /** A copy with another listen address. */
    public NodeSettings withListen(String address) {
        return with(address, list, startedLongAgo);
    }

    /** A copy with another node list. */
    public NodeSettings withList(String address) {
        return with(listen, address, startedLongAgo);
    }

    /** A copy that starts warm or cold. */
    public NodeSettings withStartedLongAgo(boolean longAgo) {
        return with(listen, list, longAgo);
    }

    private NodeSettings with(String newListen, String newList, boolean newStartedLongAgo) {
        return new NodeSettings(
                name,
                newListen,
                newList,
                zone,
                shard,
                cores,
                maxQueued,
                maxConnections,
                workPerRequest,
                workPerUnit,
                unitsPerSecond,
                newStartedLongAgo,
                initialFraction,
                warmUpDuration,
                overloadFactor,
                overloadWindow,
                deferredFraction,
                flushInterval,
                journal,
                meanPauseInterval,
                maxPause,
                deduplicationWindow,
                capacity);
    }
}
