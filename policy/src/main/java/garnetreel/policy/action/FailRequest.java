package garnetreel.policy.action;

/**
 * Sends the final response of a failed request, which may have been executed or not.
 *
 * @param id the request
 */
public record FailRequest(long id) implements SchedulerAction {}
