package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;

import garnetreel.policy.GoldenEndpoint.Condition;
import garnetreel.policy.GoldenScenario.Incident;
import garnetreel.policy.event.DiscoveryAddressChanged;
import garnetreel.policy.event.DiscoveryObserved;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointListConfirmed;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulates the endpoints of a golden scenario, their incidents, and the discovery that lists them. */
final class GoldenFleet {
    private static final long CONFIRMATION_INTERVAL = 1 * SECOND;
    private static final double REJECTION_OBSERVED_PROBABILITY = 0.3;

    private final GoldenSimulation simulation;
    private final GoldenScenario scenario;
    private final List<GoldenEndpoint> endpoints = new ArrayList<>();
    private final Map<String, GoldenEndpoint> byAddress = new HashMap<>();
    private int nextEndpoint;
    private boolean subscribed;
    private boolean discoveryUp = true;

    GoldenFleet(GoldenSimulation simulation, GoldenScenario scenario) {
        this.simulation = simulation;
        this.scenario = scenario;
        subscribed = !scenario.subscribe;
        for (int shard = scenario.shards - 1; shard >= 0; shard--) {
            for (int i = 0; i < scenario.endpointsPerShard; i++) {
                add(shard, "zone-" + i % 2);
            }
        }
    }

    private GoldenEndpoint add(int shard, String zone) {
        GoldenEndpoint endpoint =
                new GoldenEndpoint("n" + nextEndpoint++, zone, shard, scenario.servers, scenario.unitTime);
        endpoints.add(endpoint);
        byAddress.put(endpoint.address, endpoint);
        return endpoint;
    }

    GoldenEndpoint endpoint(String address) {
        return byAddress.get(address);
    }

    String firstAddress() {
        return endpoints.get(0).address;
    }

    List<EndpointEntry> entries() {
        return endpoints.stream().map(GoldenEndpoint::entry).toList();
    }

    // ---------------------------------------------------------------- incidents

    void startIncident() {
        simulation.schedule(
                scenario.incidentInterval / 2 + simulation.randomUpTo(scenario.incidentInterval), this::startIncident);
        int index = simulation.random().nextInt(endpoints.size());
        GoldenEndpoint endpoint = endpoints.get(index);
        long duration = simulation.randomUpTo(scenario.maxIncidentDuration);
        Incident incident = scenario.incidents.get(simulation.random().nextInt(scenario.incidents.size()));
        switch (incident) {
            case RESTART -> restart(endpoint, duration, true);
            case UNLISTED_RESTART -> restart(endpoint, SECOND + duration, false);
            case DRAIN -> drain(endpoint, duration);
            case REPLACE -> replace(index, endpoint);
            case MOVE -> move(endpoint);
            default -> endpoint.setCondition(Condition.valueOf(incident.name()), simulation.now() + duration);
        }
    }

    private void restart(GoldenEndpoint endpoint, long startTime, boolean listed) {
        endpoint.restart(simulation.now(), startTime);
        if (listed) {
            simulation.schedule(startTime, () -> {
                endpoint.startedAt = simulation.now();
                deliverDelta(endpoint.entry());
            });
        }
    }

    private void drain(GoldenEndpoint endpoint, long duration) {
        endpoint.state = EndpointState.DRAINING;
        deliverDelta(endpoint.entry());
        simulation.schedule(duration, () -> {
            if (endpoint.state == EndpointState.DRAINING) {
                endpoint.state = EndpointState.UP;
                deliverDelta(endpoint.entry());
            }
        });
    }

    private void replace(int index, GoldenEndpoint replaced) {
        replaced.state = EndpointState.REMOVED;
        deliverDelta(replaced.entry());
        endpoints.remove(index);
        GoldenEndpoint replacement = add(replaced.shard, replaced.zone);
        replacement.startedAt = simulation.now();
        deliverDelta(replacement.entry());
    }

    private void move(GoldenEndpoint endpoint) {
        endpoint.shard = simulation.random().nextInt(scenario.shards);
        deliverDelta(endpoint.entry());
    }

    // ---------------------------------------------------------------- discovery

    private void deliverDelta(EndpointEntry entry) {
        if (subscribed && discoveryUp) {
            simulation.deliver(new EndpointUpdate(EndpointUpdateKind.DELTA, List.of(entry)));
        }
    }

    void subscribe() {
        simulation.schedule(simulation.randomUpTo(40 * MILLISECOND), this::answerSubscription);
    }

    /** Accepts or rejects a subscription call, or leaves it without a response. */
    private void answerSubscription() {
        if (simulation.chance(scenario.subscriptionUnansweredProbability)) {
            return;
        }
        if (!discoveryUp || simulation.chance(scenario.subscriptionRejectedProbability)) {
            simulation.deliver(new EndpointUpdate(EndpointUpdateKind.UNAVAILABLE, List.of()));
            if (simulation.chance(REJECTION_OBSERVED_PROBABILITY)) {
                simulation.deliver(new DiscoveryObserved(true));
            }
            return;
        }
        subscribed = true;
        simulation.deliver(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, entries()));
        if (scenario.confirmsList) {
            simulation.deliver(new EndpointListConfirmed(simulation.now()));
        }
    }

    void confirmList() {
        simulation.schedule(CONFIRMATION_INTERVAL, this::confirmList);
        if (subscribed && discoveryUp) {
            simulation.deliver(new EndpointListConfirmed(simulation.now() - simulation.randomUpTo(20 * MILLISECOND)));
        }
    }

    void startDiscoveryOutage() {
        simulation.schedule(
                scenario.discoveryOutageInterval / 2 + simulation.randomUpTo(scenario.discoveryOutageInterval),
                this::startDiscoveryOutage);
        discoveryUp = false;
        subscribed = !scenario.subscribe;
        simulation.schedule(simulation.randomUpTo(scenario.maxDiscoveryOutageDuration), () -> discoveryUp = true);
        switch (simulation.random().nextInt(3)) {
            case 0 -> simulation.deliver(new DiscoveryObserved(false));
            case 1 -> simulation.deliver(new DiscoveryAddressChanged());
            default -> {}
        }
        simulation.deliver(new EndpointUpdate(EndpointUpdateKind.UNAVAILABLE, List.of()));
    }
}
