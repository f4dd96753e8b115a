package garnetreel.policy.action;

/**
 * Closes idle connections to an endpoint. The fair-queue scheduler does not use this action.
 *
 * @param endpoint name of the endpoint
 */
public record CloseIdleConnections(String endpoint) implements SchedulerAction {}
