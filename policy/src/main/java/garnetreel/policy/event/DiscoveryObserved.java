package garnetreel.policy.event;

/**
 * Indicates whether discovery is running although no list was received. Discovery ends subscriptions when it goes down;
 * only while it runs does it reject a call at once or leave it without a response.
 *
 * @param available false if it ended a subscription, or a call on which it had sent the list, true if it rejected a
 *     call or left it without a response
 */
public record DiscoveryObserved(boolean available) implements SchedulerEvent {}
