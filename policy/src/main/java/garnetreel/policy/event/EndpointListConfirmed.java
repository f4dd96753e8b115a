package garnetreel.policy.event;

/**
 * A message of a subscription or a response showed that the endpoint list was up to date at some time. Once the
 * embedding program sends these events, attempts are sent only while the list is valid, the endpoint has a lease or
 * discovery is presumed down; before, the list is always trusted.
 *
 * @param asOf time at which the list was up to date
 */
public record EndpointListConfirmed(long asOf) implements SchedulerEvent {}
