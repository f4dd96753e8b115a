package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;

import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.action.SetTimer;
import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointListConfirmed;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.GossipReceived;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.policy.event.TimerExpired;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs one scenario of the golden streams in simulated time. Clients, endpoints and discovery produce events, the
 * scheduler under test returns actions, and each action becomes one line of text.
 */
final class GoldenDriver {
    private static final long SCHEDULER_SEED = 1_000;
    private static final long STRAY_EVENT_INTERVAL = 700 * MILLISECOND;

    private final GoldenScenario scenario;
    private final GoldenSimulation simulation;
    private final GoldenFleet fleet;
    private final GoldenAttempts attempts;
    private final GoldenClients clients;
    private final FairQueueScheduler scheduler;
    private final List<String> lines = new ArrayList<>();

    private GoldenDriver(GoldenScenario scenario, List<DecisionStep> steps) {
        this.scenario = scenario;
        simulation = new GoldenSimulation(scenario.seed);
        fleet = new GoldenFleet(simulation, scenario);
        attempts = new GoldenAttempts(simulation, fleet);
        clients = new GoldenClients(simulation, scenario, attempts);
        scheduler = new FairQueueScheduler(scenario.settings(), SCHEDULER_SEED + scenario.seed, steps);
    }

    /** The actions of a scenario, one per line, with times relative to its start. */
    static List<String> lines(GoldenScenario scenario) {
        return lines(scenario, DecisionStep.ORDER);
    }

    /** The same, with the given order of the steps of a scheduler call. */
    static List<String> lines(GoldenScenario scenario, List<DecisionStep> steps) {
        GoldenDriver driver = new GoldenDriver(scenario, steps);
        driver.run();
        return driver.lines;
    }

    private void run() {
        deliverInitialList();
        simulation.schedule(10 * MILLISECOND, clients::generateRequests);
        simulation.schedule(scenario.incidentInterval, fleet::startIncident);
        simulation.schedule(STRAY_EVENT_INTERVAL, this::deliverStrayEvent);
        if (scenario.confirmsList) {
            simulation.schedule(0, fleet::confirmList);
        }
        if (scenario.discoveryOutageInterval != Long.MAX_VALUE) {
            simulation.schedule(scenario.discoveryOutageInterval, fleet::startDiscoveryOutage);
        }
        while (simulation.runNextTasks(GoldenSimulation.START + scenario.duration)) {
            decide();
        }
    }

    private void deliverInitialList() {
        if (scenario.confirmsList) {
            simulation.deliver(new EndpointListConfirmed(simulation.now()));
            decide();
        }
        simulation.deliver(
                new EndpointUpdate(EndpointUpdateKind.CACHED, scenario.hasCachedList ? fleet.entries() : List.of()));
        if (!scenario.subscribe) {
            simulation.deliver(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, fleet.entries()));
        }
        decide();
    }

    private void decide() {
        List<SchedulerEvent> events = simulation.takeBatch();
        if (events.isEmpty()) {
            return;
        }
        for (SchedulerAction action : scheduler.decide(simulation.now(), events)) {
            lines.add(GoldenActionLine.of(simulation.now() - GoldenSimulation.START, action));
            perform(action);
        }
    }

    private void perform(SchedulerAction action) {
        if (action instanceof SendAttempt send) {
            attempts.send(send, clients.request(send.id()));
        } else if (action instanceof SetTimer timer) {
            simulation.schedule(timer.after(), () -> simulation.deliver(new TimerExpired(timer.name())));
        } else if (action instanceof RejectRequest reject) {
            clients.requestFailed(reject.id());
        } else if (action instanceof FailRequest fail) {
            clients.requestFailed(fail.id());
        } else if (action instanceof SubscribeEndpoints) {
            fleet.subscribe();
        }
    }

    /** Delivers an event that refers to nothing known or that must change nothing. */
    private void deliverStrayEvent() {
        simulation.schedule(simulation.randomUpTo(2 * STRAY_EVENT_INTERVAL), this::deliverStrayEvent);
        long id = clients.recentId();
        String endpoint = fleet.firstAddress();
        switch (simulation.random().nextInt(6)) {
            case 0 -> simulation.deliver(new AttemptCompleted(id, -1, endpoint, Outcome.OK, 1, true, 0, 0, Map.of()));
            case 1 -> simulation.deliver(new AttemptCompleted(id, 99, endpoint, Outcome.OK, 1, true, 0, 0, Map.of()));
            case 2 -> simulation.deliver(new TimerExpired("look"));
            case 3 -> simulation.deliver(new HealthCheckCompleted(endpoint, Outcome.OK, 1, Map.of()));
            case 4 -> simulation.deliver(new GossipReceived(1, new byte[] {1}));
            default -> simulation.deliver(new RequestCancelled(-id));
        }
    }
}
