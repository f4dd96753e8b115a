package garnetreel.policy.action;

/** Requests the complete endpoint list once, without a subscription. */
public record PollEndpoints() implements SchedulerAction {}
