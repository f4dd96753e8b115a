package garnetreel.policy.action;

/**
 * Subscribes to changes of the endpoint list, or ends the subscription.
 *
 * @param active true to subscribe, false to end the subscription
 */
public record SubscribeEndpoints(boolean active) implements SchedulerAction {}
