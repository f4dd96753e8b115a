package garnetreel.policy.event;

/**
 * A message of a subscription or a response showed that the endpoint list was up to date at some time. The list is
 * trusted without limit until the first such event; from then on, attempts are sent only while the list is valid, the
 * endpoint has a lease or discovery is presumed down (see {@link garnetreel.policy.endpoint.EndpointListValidity}).
 *
 * @param asOf time at which the list was up to date
 */
public record EndpointListConfirmed(long asOf) implements SchedulerEvent {}
