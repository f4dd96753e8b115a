package garnetreel.policy.event;

/** The address of the discovery service, which provides the endpoint list, changed. */
public record DiscoveryAddressChanged() implements SchedulerEvent {}
