package garnetreel.policy.event;

import java.util.Map;

/**
 * An attempt ended. Each {@link garnetreel.policy.action.SendAttempt} is followed by exactly one of these. The
 * fair-queue scheduler does not read {@code endpoint}, {@code usage} or {@code load}.
 *
 * @param id the request
 * @param attempt index of the attempt among those of the request
 * @param endpoint name of the endpoint
 * @param outcome result of the attempt
 * @param elapsed time since it was sent
 * @param requestCompleted true if the client already got its final response or has disconnected; false if the scheduler
 *     has to retry or send one
 * @param unitsFromOtherGateways units that the endpoint served for the volume through other gateways since its last
 *     response to this gateway
 * @param usage 0 if unknown, else the volume's total usage in a completed metering period, in percent of the plan's
 *     provisioned rate, plus 1, so that a usage of 0 can be told from an unknown one
 * @param load metrics of the endpoint's load report by name; empty if it sent none
 */
public record AttemptCompleted(
        long id,
        int attempt,
        String endpoint,
        Outcome outcome,
        long elapsed,
        boolean requestCompleted,
        long unitsFromOtherGateways,
        long usage,
        Map<String, Double> load)
        implements SchedulerEvent {}
