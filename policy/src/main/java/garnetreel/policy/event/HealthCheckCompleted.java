package garnetreel.policy.event;

import java.util.Map;

/**
 * A health check of an endpoint completed. The fair-queue scheduler ignores this event.
 *
 * @param endpoint name of the endpoint
 * @param outcome result of the check
 * @param elapsed time since its request was written or else since connecting began; 0 without a connection
 * @param load metrics of the endpoint's load report by name; empty if it sent none
 */
public record HealthCheckCompleted(String endpoint, Outcome outcome, long elapsed, Map<String, Double> load)
        implements SchedulerEvent {}
