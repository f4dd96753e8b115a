package garnetreel.policy.event;

import java.util.List;

/**
 * An update of the endpoint list, or a failure to get one.
 *
 * @param kind how the entries relate to the current list
 * @param entries entries of the update
 */
public record EndpointUpdate(EndpointUpdateKind kind, List<EndpointEntry> entries) implements SchedulerEvent {}
