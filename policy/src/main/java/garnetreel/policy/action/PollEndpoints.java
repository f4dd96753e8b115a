package garnetreel.policy.action;

/**
 * Requests the complete endpoint list once, without a subscription. The fair-queue scheduler does not use this action.
 */
public record PollEndpoints() implements SchedulerAction {}
