package garnetreel.policy.config;

/**
 * A service plan. Its limits and rates apply to each volume, summed over all gateways. The fair-queue scheduler does
 * not read {@code slack} or {@code priorityFactor}.
 *
 * @param name name of the plan
 * @param rateLimit refill rate of the rate limit's token bucket, units per second; 0 for no limit
 * @param burst capacity of the rate limit's token bucket, units
 * @param slack units by which a volume may exceed its rate limit
 * @param priorityFactor factor applied to the priority weight of a request class
 * @param provisionedRate units per second that a volume is sized for
 * @param reservedRate units per second up to which requests have the highest priority
 * @param weight weight of the volume in fair queueing
 */
public record Plan(
        String name,
        double rateLimit,
        double burst,
        double slack,
        double priorityFactor,
        double provisionedRate,
        double reservedRate,
        double weight) {}
