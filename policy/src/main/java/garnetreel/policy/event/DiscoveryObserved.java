package garnetreel.policy.event;

/**
 * Whether discovery is running, inferred without a list from it: it ends subscriptions when it goes down, and accepts
 * connections only while it runs.
 *
 * @param available false if it ended a subscription, or a call on which it had sent the list, true if it rejected a
 *     call at once or did not respond after connecting
 */
public record DiscoveryObserved(boolean available) implements SchedulerEvent {}
