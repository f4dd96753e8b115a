package garnetreel.policy;

import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.ResponseStreamStarted;
import java.util.HashMap;
import java.util.Map;

/** Simulates the attempts of a golden scenario: passes each to its endpoint and delivers its outcome. */
final class GoldenAttempts {
    private static final double DUPLICATE_OUTCOME_PROBABILITY = 0.01;
    private static final double OK_NOT_COMPLETED_PROBABILITY = 0.03;
    private static final double ERROR_COMPLETED_PROBABILITY = 0.5;
    private static final double OTHER_COMPLETED_PROBABILITY = 0.05;
    private static final int OTHER_GATEWAYS_UNITS_BOUND = 12;

    /** A request that was sent, with its number of attempts and how many of them are in flight. */
    private static final class SentRequest {
        int attempts;
        int inFlight;
        boolean ended;
    }

    private final GoldenSimulation simulation;
    private final GoldenFleet fleet;
    private final Map<Long, SentRequest> sentRequests = new HashMap<>();

    GoldenAttempts(GoldenSimulation simulation, GoldenFleet fleet) {
        this.simulation = simulation;
        this.fleet = fleet;
    }

    void send(SendAttempt send, RequestReceived request) {
        SentRequest sent = sentRequests.computeIfAbsent(send.id(), absent -> new SentRequest());
        int attempt = sent.attempts++;
        sent.inFlight++;
        double units = request.units() > 0 ? request.units() : 1;
        GoldenEndpoint.Response response =
                fleet.endpoint(send.endpoint()).respond(simulation.now(), units, simulation.random());
        if (request.className().equals("stream") && response.outcome() == Outcome.OK) {
            simulation.schedule(
                    response.delay() / 2,
                    () -> simulation.deliver(new ResponseStreamStarted(send.id(), attempt, send.endpoint())));
        }
        long sentAt = simulation.now();
        simulation.schedule(
                response.delay(), () -> complete(send, attempt, response.outcome(), simulation.now() - sentAt));
    }

    private void complete(SendAttempt send, int attempt, Outcome outcome, long elapsed) {
        boolean completed = simulation.chance(
                switch (outcome) {
                    case OK -> 1 - OK_NOT_COMPLETED_PROBABILITY;
                    case ERROR -> ERROR_COMPLETED_PROBABILITY;
                    default -> OTHER_COMPLETED_PROBABILITY;
                });
        long unitsFromOtherGateways =
                simulation.chance(0.5) ? simulation.random().nextLong(OTHER_GATEWAYS_UNITS_BOUND) : 0;
        AttemptCompleted event = new AttemptCompleted(
                send.id(),
                attempt,
                send.endpoint(),
                outcome,
                elapsed,
                completed,
                unitsFromOtherGateways,
                0,
                Map.of("queue", 1.0));
        simulation.deliver(event);
        if (simulation.chance(DUPLICATE_OUTCOME_PROBABILITY)) {
            simulation.deliver(event);
        }
        SentRequest sent = sentRequests.get(send.id());
        sent.inFlight--;
        sent.ended |= completed;
        removeIfEnded(send.id(), sent);
    }

    /** Called when a request has got its final response or was cancelled by its client. */
    void requestEnded(long id) {
        SentRequest sent = sentRequests.get(id);
        if (sent != null) {
            sent.ended = true;
            removeIfEnded(id, sent);
        }
    }

    private void removeIfEnded(long id, SentRequest sent) {
        if (sent.ended && sent.inFlight == 0) {
            sentRequests.remove(id);
        }
    }
}
