package garnetreel.policy.action;

/**
 * Sends a health check. The fair-queue scheduler does not use this action.
 *
 * @param endpoint name of the endpoint to check
 */
public record CheckHealth(String endpoint) implements SchedulerAction {}
