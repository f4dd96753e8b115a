package garnetreel.mapservice;

import garnetreel.core.GatewaySettings;
import garnetreel.map.Rebalancer;

/**
 * Settings of the map service. Durations are in microseconds.
 *
 * @param listen address to listen at for gateways and operators
 * @param nodeListClient settings of the node list client, which is the same as a gateway's: its gateway number stands
 *     for this service at the node list, but not at nodes, to which the service says that it is no gateway
 * @param copyBytesPerSecond bytes per second that all migrations together may copy
 * @param subscribesPerSecond subscriptions of gateways accepted per second; a gateway above that is told to retry later
 * @param commandTimeout time after which a node command without a report is failed
 * @param rebalance whether the service starts migrations by itself to balance load
 * @param nodeCapacity units per second that a node can serve, unless its load reports imply fewer
 * @param warmUpDuration time after the start of a node during which no extent is migrated to it
 * @param limits limits on the rebalancer's proposals
 * @param snapshotInterval minimum number of transactions between two snapshots
 */
public record MapServiceSettings(
        String listen,
        GatewaySettings nodeListClient,
        long copyBytesPerSecond,
        int subscribesPerSecond,
        long commandTimeout,
        boolean rebalance,
        double nodeCapacity,
        long warmUpDuration,
        Rebalancer.Limits limits,
        int snapshotInterval) {}
