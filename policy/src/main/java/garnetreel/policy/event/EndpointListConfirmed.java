package garnetreel.policy.event;

/**
 * A message of a subscription or a response showed that the endpoint list was up to date at some time. If the embedding
 * program sends these events, no attempt is sent to an endpoint whose listed state may be outdated; otherwise the list
 * is always trusted.
 *
 * @param asOf time at which the list was up to date
 */
public record EndpointListConfirmed(long asOf) implements SchedulerEvent {}
