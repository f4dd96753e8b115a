package garnetreel.policy.event;

/**
 * One entry of an endpoint list. The fair-queue scheduler does not read {@code weight}.
 *
 * @param name name of the endpoint; actions refer to the endpoint by it
 * @param zone failure domain of the endpoint
 * @param shard number of the shard that it serves
 * @param state whether it accepts requests
 * @param weight relative capacity
 * @param startedAt when its process last started; 0 or negative if long ago
 */
public record EndpointEntry(String name, String zone, int shard, EndpointState state, double weight, long startedAt) {}
