package garnetreel.policy.event;

/**
 * A new configuration was applied, by which the address of the discovery service, which provides the endpoint list, may
 * have changed.
 */
public record DiscoveryAddressChanged() implements SchedulerEvent {}
