package garnetreel.policy.action;

/**
 * Sends the final response of a rejected request. The client can safely retry it: it was not executed, or a repeat is
 * harmless.
 *
 * @param id the request
 * @param retryAfter recommended delay before a retry
 */
public record RejectRequest(long id, long retryAfter) implements SchedulerAction {}
