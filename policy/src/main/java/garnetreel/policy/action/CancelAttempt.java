package garnetreel.policy.action;

/**
 * Cancels an attempt; the endpoint may still execute it. The fair-queue scheduler does not use this action.
 *
 * @param id the request
 * @param attempt index of the attempt among those of the request
 */
public record CancelAttempt(long id, int attempt) implements SchedulerAction {}
