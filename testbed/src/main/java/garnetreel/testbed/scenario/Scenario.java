package garnetreel.testbed.scenario;

import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.core.GatewaySettings;
import garnetreel.core.io.NetEvent;
import garnetreel.mapservice.MapServiceSettings;
import garnetreel.policy.Scheduler;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.testbed.client.NbdLoadSettings;
import garnetreel.testbed.client.RsyncLoadSettings;
import garnetreel.testbed.node.NodeSettings;
import garnetreel.testbed.rules.RuleSettings;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * A scenario: a deployment, the load on it, and the faults. Times are in microseconds.
 *
 * @param name name of the scenario
 * @param seed seed of all random choices
 * @param loadDuration time for which loads send requests
 * @param settleTime time after that for outstanding answers
 * @param gateways number of gateways
 * @param nodes the storage nodes
 * @param listLag delay before the node list shows a change
 * @param gatewaySettings creates the settings of a gateway
 * @param scheduler creates the scheduler of a gateway from its settings and a seed
 * @param nbdLoads creates the NBD loads, given the NBD addresses of the gateways
 * @param rsyncLoads creates the rsync loads, given the rsync addresses of the gateways
 * @param faults the faults to inject
 * @param rules settings of the rules that the run is checked against
 * @param map the map service; null for a scenario without one, in which no extent migrates
 */
public record Scenario(
        String name,
        long seed,
        long loadDuration,
        long settleTime,
        int gateways,
        List<NodeSettings> nodes,
        long listLag,
        Function<GatewayParameters, GatewaySettings> gatewaySettings,
        BiFunction<SchedulerSettings, Long, Scheduler> scheduler,
        Function<List<String>, List<NbdLoadSettings>> nbdLoads,
        Function<List<String>, List<RsyncLoadSettings>> rsyncLoads,
        List<ScheduledFault> faults,
        RuleSettings rules,
        MapScenario map) {

    /**
     * The map service of a scenario.
     *
     * @param settings creates the settings of the service from its listen address and the address of the node list
     * @param initialMaps the initial maps
     * @param migrations total number of migrations of randomly chosen extents
     * @param migrationsStart time of the first of them, relative to the scenario's start
     * @param migrationsDuration time over which they are spread evenly
     * @param script further commands at given times: migrations of given extents, and drains
     */
    public record MapScenario(
            BiFunction<String, String, MapServiceSettings> settings,
            Snapshot initialMaps,
            int migrations,
            long migrationsStart,
            long migrationsDuration,
            List<ScriptedCommand> script) {}

    /**
     * A command sent to the map service at a given time.
     *
     * @param time time relative to the scenario's start
     */
    public record ScriptedCommand(long time, NetEvent.Command command) {}

    /**
     * The identity and addresses of a gateway, from which its settings are created.
     *
     * @param gateway number of the gateway
     * @param incarnation differs between restarts of the gateway
     * @param listen address to listen on for NBD
     * @param list address of the node list
     * @param map address of the map service; empty for none
     */
    public record GatewayParameters(int gateway, long incarnation, String listen, String list, String map) {}

    /** A copy with another seed. */
    public Scenario withSeed(long newSeed) {
        return with(newSeed, gatewaySettings, scheduler, map);
    }

    /** A copy with another map service. */
    public Scenario withMap(MapScenario newMap) {
        return with(seed, gatewaySettings, scheduler, newMap);
    }

    /** A copy with other gateway settings and another scheduler. */
    public Scenario withGateways(
            Function<GatewayParameters, GatewaySettings> newGateway,
            BiFunction<SchedulerSettings, Long, Scheduler> newScheduler) {
        return with(seed, newGateway, newScheduler, map);
    }

    private Scenario with(
            long newSeed,
            Function<GatewayParameters, GatewaySettings> newGateway,
            BiFunction<SchedulerSettings, Long, Scheduler> newScheduler,
            MapScenario newMap) {
        return new Scenario(
                name,
                newSeed,
                loadDuration,
                settleTime,
                gateways,
                nodes,
                listLag,
                newGateway,
                newScheduler,
                nbdLoads,
                rsyncLoads,
                faults,
                rules,
                newMap);
    }
}
