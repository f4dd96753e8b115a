package garnetreel.policy.config;

/**
 * Limits that the scheduler must never violate. A value of 0 or less of {@code pollInterval}, {@code retryWindow},
 * {@code overloadWindow} or {@code keyQuietPeriod} disables its rule. The fair-queue scheduler does not read
 * {@code responseGrace} or {@code drainGrace}.
 *
 * @param responseGrace time past the deadline within which a final response still counts as sent in time
 * @param pollInterval time between polls of the endpoint list by a gateway without subscription, and minimum wait
 *     before an unanswered subscription call is repeated
 * @param freeRetries number of retries always allowed within the retry window
 * @param retryRatio additional retries allowed per request received within the retry window
 * @param retryWindow sliding window over which received requests and retries are counted
 * @param initialCapacityFraction fraction of its full capacity that an endpoint has when it starts
 * @param warmUpDuration time from the start of an endpoint until it has its full capacity
 * @param drainGrace time after the notification of a drain during which attempts may still be sent to the endpoint
 * @param overloadMultiple multiple of its current capacity that a warming-up endpoint can take within the overload
 *     window
 * @param overloadWindow sliding window over which the units sent to a warming-up endpoint are counted
 * @param keyQuietPeriod time during which no other request with the same key is sent after an outcome that may leave
 *     work on it running
 */
public record SafetyRules(
        long responseGrace,
        long pollInterval,
        double freeRetries,
        double retryRatio,
        long retryWindow,
        double initialCapacityFraction,
        long warmUpDuration,
        long drainGrace,
        double overloadMultiple,
        long overloadWindow,
        long keyQuietPeriod) {}
