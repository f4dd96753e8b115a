package garnetreel.policy.action;

/**
 * Closes idle connections to an endpoint.
 *
 * @param endpoint address of the endpoint
 */
public record CloseIdleConnections(String endpoint) implements SchedulerAction {}
