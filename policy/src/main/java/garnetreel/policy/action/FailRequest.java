package garnetreel.policy.action;

/**
 * Sends the final response of a failed request, which a retry by the client might execute a second time.
 *
 * @param id the request
 */
public record FailRequest(long id) implements SchedulerAction {}
