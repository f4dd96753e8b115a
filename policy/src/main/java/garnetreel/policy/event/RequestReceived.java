package garnetreel.policy.event;

/**
 * This gateway received a request, which must get exactly one final response before its deadline. The fair-queue
 * scheduler does not read {@code retry}.
 *
 * @param id number of the request, unique among those of this gateway
 * @param className name of its request class
 * @param plan name of its service plan
 * @param key identifies the data that it accesses; negative if it has no key
 * @param deadline when the client stops waiting
 * @param volume the volume that it belongs to
 * @param units size of the request
 * @param shard the shard that holds the data; negative for new data, which has no shard yet
 * @param gateways number of gateways that receive requests for the volume; 0 if unknown
 * @param retry whether the client marked it as a retry
 * @param write whether it changes data
 */
public record RequestReceived(
        long id,
        String className,
        String plan,
        long key,
        long deadline,
        long volume,
        double units,
        int shard,
        int gateways,
        boolean retry,
        boolean write)
        implements SchedulerEvent {}
