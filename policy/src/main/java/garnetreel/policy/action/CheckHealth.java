package garnetreel.policy.action;

/**
 * Sends a health check.
 *
 * @param endpoint address of the endpoint to check
 */
public record CheckHealth(String endpoint) implements SchedulerAction {}
