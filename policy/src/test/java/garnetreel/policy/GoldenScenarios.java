package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;

import garnetreel.policy.GoldenScenario.Incident;
import java.util.ArrayList;
import java.util.List;

/** The scenarios whose decisions are recorded in golden-streams.txt, under the names used there. */
final class GoldenScenarios {
    private GoldenScenarios() {}

    /** All scenarios, in the order of the recording. */
    static List<GoldenScenario> all() {
        List<GoldenScenario> all = new ArrayList<>();
        all.addAll(loadScenarios());
        all.addAll(faultScenarios());
        all.addAll(settingsScenarios());
        all.addAll(evictionScenarios());
        all.addAll(changeScenarios());
        return all;
    }

    /** Normal load, overload and fair queueing. */
    private static List<GoldenScenario> loadScenarios() {
        return List.of(
                new GoldenScenario("everything", 1, scenario -> {}),
                new GoldenScenario("zones", 2, scenario -> {
                    scenario.endpointsPerShard = 3;
                    scenario.requestsPerSecond = 250;
                    scenario.incidentInterval = SECOND;
                }),
                new GoldenScenario("overload", 3, scenario -> {
                    scenario.shards = 2;
                    scenario.requestsPerSecond = 500;
                    scenario.volumes = 30;
                    scenario.retryProbability = 0.8;
                    scenario.maxRetryDelay = 8 * SECOND;
                    scenario.duration = 20 * SECOND;
                    scenario.incidentInterval = 6 * SECOND;
                }),
                new GoldenScenario("fair-queues", 4, scenario -> {
                    scenario.shards = 1;
                    scenario.requestsPerSecond = 110;
                    scenario.volumes = 6;
                    scenario.busiestVolumeProbability = 0.4;
                    scenario.unitTime = 6 * MILLISECOND;
                    scenario.newObjectProbability = 0;
                    scenario.duration = 40 * SECOND;
                    scenario.burstInterval = 3 * SECOND;
                    scenario.burstDuration = 500 * MILLISECOND;
                    scenario.incidents = List.of(Incident.LOSSY, Incident.SLOW);
                    scenario.incidentInterval = 8 * SECOND;
                }),
                new GoldenScenario("deep-windows", 5, scenario -> {
                    scenario.servers = 12;
                    scenario.requestsPerSecond = 400;
                    scenario.unitTime = 20 * MILLISECOND;
                    scenario.incidents = List.of(Incident.LOSSY, Incident.UNRESPONSIVE);
                    scenario.incidentInterval = 1500 * MILLISECOND;
                }));
    }

    /** Failures of endpoints and discovery. */
    private static List<GoldenScenario> faultScenarios() {
        return List.of(
                new GoldenScenario("restarts-in-bursts", 6, scenario -> {
                    scenario.requestsPerSecond = 60;
                    scenario.duration = 60 * SECOND;
                    scenario.burstInterval = 7 * SECOND;
                    scenario.burstDuration = 2 * SECOND;
                    scenario.burstFactor = 6;
                    scenario.unitTime = 4 * MILLISECOND;
                    scenario.gateways = 4;
                    scenario.incidents = List.of(Incident.RESTART, Incident.UNLISTED_RESTART, Incident.UNREACHABLE);
                    scenario.maxIncidentDuration = 3 * SECOND;
                }),
                new GoldenScenario("jam", 7, scenario -> {
                    scenario.shards = 2;
                    scenario.requestsPerSecond = 300;
                    scenario.duration = 40 * SECOND;
                    scenario.incidents = List.of(Incident.SLOW, Incident.UNRESPONSIVE, Incident.OVERLOADED_QUEUE);
                    scenario.maxIncidentDuration = 12 * SECOND;
                    scenario.incidentInterval = 4 * SECOND;
                    scenario.retryProbability = 0.1;
                }),
                new GoldenScenario("discovery-outages", 8, scenario -> {
                    scenario.confirmsList = true;
                    scenario.endpointsPerShard = 2;
                    scenario.duration = 60 * SECOND;
                    scenario.requestsPerSecond = 120;
                    scenario.discoveryOutageInterval = 9 * SECOND;
                    scenario.maxDiscoveryOutageDuration = 7 * SECOND;
                    scenario.subscriptionRejectedProbability = 0.5;
                    scenario.subscriptionUnansweredProbability = 0.1;
                    scenario.rules = GoldenScenario.safetyRules(5 * SECOND, 2 * SECOND, 1 * SECOND);
                    scenario.incidents = List.of(
                            Incident.DRAIN,
                            Incident.REPLACE,
                            Incident.OVERLOADED_QUEUE,
                            Incident.MOVE,
                            Incident.UNREACHABLE);
                }),
                new GoldenScenario("discovery-unheard", 9, scenario -> {
                    scenario.confirmsList = true;
                    scenario.hasCachedList = false;
                    scenario.subscriptionRejectedProbability = 0.3;
                    scenario.subscriptionUnansweredProbability = 0.4;
                    scenario.discoveryOutageInterval = 6 * SECOND;
                    scenario.duration = 60 * SECOND;
                    scenario.requestsPerSecond = 100;
                    scenario.rules = GoldenScenario.safetyRules(2 * SECOND, 2 * SECOND, 0);
                }));
    }

    /** Settings that disable or change a mechanism. */
    private static List<GoldenScenario> settingsScenarios() {
        return List.of(
                new GoldenScenario("told-of-other-hosts", 10, scenario -> {
                    scenario.reportsOtherGateways = true;
                    scenario.gateways = 5;
                    scenario.endpointsPerShard = 2;
                    scenario.timerResolution = 10 * MILLISECOND;
                }),
                new GoldenScenario("unsubscribed", 11, scenario -> {
                    scenario.subscribe = false;
                    scenario.gateways = 1;
                    scenario.requestsPerSecond = 200;
                    scenario.maxAttempts = 5;
                    scenario.classes = GoldenScenario.classesWithOneWithoutObjective();
                    scenario.incidentInterval = 700 * MILLISECOND;
                }),
                new GoldenScenario("no-aims-no-rules", 12, scenario -> {
                    scenario.classes = List.of();
                    scenario.rules = GoldenScenario.safetyRules(0, 0, 10 * SECOND);
                    scenario.coldEndpointCapacity = 0;
                    scenario.incidentInterval = 500 * MILLISECOND;
                    scenario.requestsPerSecond = 150;
                }),
                new GoldenScenario("mean-sized-cold-rate", 13, scenario -> {
                    scenario.coldEndpointCapacity = 0;
                    scenario.gateways = 1;
                    scenario.requestsPerSecond = 80;
                    scenario.unitTime = 4 * MILLISECOND;
                    scenario.duration = 40 * SECOND;
                    scenario.incidents = List.of(
                            Incident.RESTART, Incident.UNLISTED_RESTART, Incident.RESETTING, Incident.NOT_STARTING);
                    scenario.rules = GoldenScenario.safetyRules(5 * SECOND, 4 * SECOND, 10 * SECOND);
                }));
    }

    /** Long runs in which table entries expire and are evicted. */
    private static List<GoldenScenario> evictionScenarios() {
        return List.of(
                new GoldenScenario("idle-gap", 14, scenario -> {
                    scenario.duration = 150 * SECOND;
                    scenario.requestsPerSecond = 60;
                    scenario.idleFrom = 30 * SECOND;
                    scenario.idleUntil = 85 * SECOND;
                    scenario.volumes = 60;
                    scenario.busiestVolumeProbability = 0;
                }),
                new GoldenScenario("many-volumes-and-shards", 15, scenario -> {
                    scenario.volumes = 3000;
                    scenario.requestsPerSecond = 250;
                    scenario.duration = 40 * SECOND;
                    scenario.unknownShards = 2500;
                    scenario.shards = 300;
                    scenario.incidentInterval = 100 * MILLISECOND;
                }),
                new GoldenScenario("long-memory", 16, scenario -> {
                    scenario.duration = 180 * SECOND;
                    scenario.requestsPerSecond = 40;
                    scenario.shards = 2;
                    scenario.volumes = 200;
                    scenario.busiestVolumeProbability = 0.1;
                    scenario.burstInterval = 20 * SECOND;
                    scenario.burstDuration = 4 * SECOND;
                    scenario.unitTime = 4 * MILLISECOND;
                    scenario.incidents = List.of(Incident.RESTART, Incident.UNREACHABLE, Incident.SLOW);
                    scenario.incidentInterval = 12 * SECOND;
                }));
    }

    /** Endpoints and endpoint lists that change quickly, and volumes that become active again. */
    private static List<GoldenScenario> changeScenarios() {
        return List.of(
                new GoldenScenario("flapping", 17, scenario -> {
                    scenario.shards = 6;
                    scenario.duration = 50 * SECOND;
                    scenario.incidents =
                            List.of(Incident.UNREACHABLE, Incident.OVERLOADED_QUEUE, Incident.NOT_STARTING);
                    scenario.incidentInterval = 200 * MILLISECOND;
                    scenario.maxIncidentDuration = 300 * MILLISECOND;
                    scenario.maxAttempts = 2;
                    scenario.rules = GoldenScenario.safetyRules(SECOND, 2 * SECOND, 10 * SECOND);
                }),
                new GoldenScenario("moving", 18, scenario -> {
                    scenario.endpointsPerShard = 2;
                    scenario.requestsPerSecond = 300;
                    scenario.keysInUse = 60;
                    scenario.unitTime = 12 * MILLISECOND;
                    scenario.incidents =
                            List.of(Incident.MOVE, Incident.RESETTING, Incident.UNKNOWN_OUTCOME, Incident.CANCELLING);
                    scenario.incidentInterval = 50 * MILLISECOND;
                    scenario.maxIncidentDuration = SECOND;
                }),
                new GoldenScenario("stale-lists", 20, scenario -> {
                    scenario.confirmsList = true;
                    scenario.requestsPerSecond = 200;
                    scenario.duration = 60 * SECOND;
                    scenario.discoveryOutageInterval = 6 * SECOND;
                    scenario.maxDiscoveryOutageDuration = 20 * SECOND;
                    scenario.incidents =
                            List.of(Incident.OVERLOADED_QUEUE, Incident.UNRESPONSIVE, Incident.UNREACHABLE);
                    scenario.incidentInterval = SECOND;
                    scenario.maxIncidentDuration = 4 * SECOND;
                }),
                new GoldenScenario("returning-volumes", 19, scenario -> {
                    scenario.duration = 160 * SECOND;
                    scenario.requestsPerSecond = 60;
                    scenario.volumes = 2500;
                    scenario.busiestVolumeProbability = 0;
                    scenario.incidents = List.of(Incident.RESTART, Incident.SLOW);
                    scenario.incidentInterval = 10 * SECOND;
                }));
    }
}
