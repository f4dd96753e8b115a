package garnetreel.policy.event;

/**
 * A message from another gateway. The fair-queue scheduler ignores this event.
 *
 * @param from index of the sending gateway
 * @param data content of the message
 */
public record GossipReceived(int from, byte[] data) implements SchedulerEvent {}
