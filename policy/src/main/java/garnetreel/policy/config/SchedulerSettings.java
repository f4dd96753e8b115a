package garnetreel.policy.config;

import java.util.List;

/**
 * Settings of a scheduler. The fair-queue scheduler does not read {@code gatewayIndex}, {@code provisionedWeight},
 * {@code excessWeight}, {@code meteringPeriod}, {@code hedging}, {@code cancellation}, {@code healthChecks},
 * {@code marksRetries} or {@code connectTimeout}.
 *
 * @param gatewayIndex index of this gateway
 * @param gateways number of gateways of the service, including this one
 * @param subscribe whether updates of the endpoint list arrive only after
 *     {@link garnetreel.policy.action.SubscribeEndpoints} or {@link garnetreel.policy.action.PollEndpoints}
 * @param classes the request classes
 * @param plans the service plans
 * @param rules limits that must never be violated
 * @param coldEndpointCapacity units that a cold endpoint can always take from all gateways together within
 *     {@code rules.overloadWindow}
 * @param meanUnits mean request size
 * @param maxUnits maximum request size
 * @param provisionedWeight value of requests within the provisioned rate, relative to those within the reserved rate
 * @param excessWeight value of requests above the provisioned rate, relative to those within the reserved rate
 * @param reportsOtherGateways whether endpoints report {@code unitsFromOtherGateways} in their responses
 * @param meteringPeriod period over which usage is metered; 0 if it is not metered
 * @param maxAttempts maximum number of attempts per request
 * @param hedging whether hedged requests are allowed
 * @param cancellation whether attempts can be cancelled
 * @param healthChecks whether health checks are available
 * @param marksRetries whether clients mark their retries
 * @param maxRetryAfter longest Retry-After that clients honour
 * @param connectTimeout time after which a connection attempt counts as failed
 * @param timerResolution granularity of timers: a timer may expire this much late, and the scheduler sets none for a
 *     shorter time
 */
public record SchedulerSettings(
        int gatewayIndex,
        int gateways,
        boolean subscribe,
        List<RequestClass> classes,
        List<Plan> plans,
        SafetyRules rules,
        double coldEndpointCapacity,
        double meanUnits,
        double maxUnits,
        double provisionedWeight,
        double excessWeight,
        boolean reportsOtherGateways,
        long meteringPeriod,
        int maxAttempts,
        boolean hedging,
        boolean cancellation,
        boolean healthChecks,
        boolean marksRetries,
        long maxRetryAfter,
        long connectTimeout,
        long timerResolution) {}
