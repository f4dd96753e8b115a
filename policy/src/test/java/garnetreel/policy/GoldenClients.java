package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;

import garnetreel.policy.config.RequestClass;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulates the clients of a golden scenario: new requests, retries of failed requests, and cancellations. */
final class GoldenClients {
    private static final double ANOMALY_PROBABILITY = 0.01;
    /** Maximum difference between the deadlines of a request and its retry by the client. */
    private static final long DEADLINE_JITTER = 6 * MILLISECOND;

    private static final long UNKNOWN_CLASS_TIME_LIMIT = 1 * SECOND;
    private static final List<String> PLANS = List.of("free", "heavy", "capped", "low-rate", "no-such-plan");

    private final GoldenSimulation simulation;
    private final GoldenScenario scenario;
    private final Map<Long, RequestReceived> requests = new HashMap<>();
    private final List<String> classNames = new ArrayList<>();
    private final Map<String, RequestClass> classes = new HashMap<>();
    private long nextId = 1;
    private final GoldenAttempts attempts;

    GoldenClients(GoldenSimulation simulation, GoldenScenario scenario, GoldenAttempts attempts) {
        this.simulation = simulation;
        this.scenario = scenario;
        this.attempts = attempts;
        for (RequestClass requestClass : scenario.classes) {
            classNames.add(requestClass.name());
            classes.put(requestClass.name(), requestClass);
        }
    }

    RequestReceived request(long id) {
        return requests.get(id);
    }

    /** The id of a random one of the latest requests. */
    long recentId() {
        return nextId - simulation.randomUpTo(Math.min(nextId, 20));
    }

    /** Called when a request was rejected or failed; the client may retry it. */
    void requestFailed(long id) {
        attempts.requestEnded(id);
        RequestReceived first = requests.get(id);
        long delay = simulation.randomUpTo(scenario.maxRetryDelay);
        if (simulation.chance(scenario.retryProbability) && simulation.now() + delay < first.deadline()) {
            long jitter = simulation.random().nextLong(2 * DEADLINE_JITTER) - DEADLINE_JITTER;
            simulation.schedule(delay, () -> send(retry(first, nextId++, first.deadline() + jitter)));
        }
    }

    private static RequestReceived retry(RequestReceived first, long id, long deadline) {
        return new RequestReceived(
                id,
                first.className(),
                first.plan(),
                first.key(),
                deadline,
                first.volume(),
                first.units(),
                first.shard(),
                first.gateways(),
                true,
                first.write());
    }

    void generateRequests() {
        long elapsed = simulation.now() - GoldenSimulation.START;
        boolean burst = elapsed % scenario.burstInterval < scenario.burstDuration;
        double rate = scenario.requestsPerSecond * (burst ? scenario.burstFactor : 1);
        if (elapsed >= scenario.idleFrom && elapsed < scenario.idleUntil) {
            simulation.schedule(scenario.idleUntil - elapsed, this::generateRequests);
            return;
        }
        simulation.schedule(simulation.randomUpTo((long) (2 * SECOND / rate)), this::generateRequests);
        send(newRequest());
    }

    private RequestReceived newRequest() {
        long volume = simulation.chance(scenario.busiestVolumeProbability)
                ? 0
                : simulation.random().nextInt(scenario.volumes);
        String className = classNames.isEmpty() || simulation.chance(ANOMALY_PROBABILITY)
                ? "no-such-class"
                : classNames.get(simulation.random().nextInt(classNames.size()));
        long timeLimit = classes.containsKey(className) ? classes.get(className).timeLimit() : UNKNOWN_CLASS_TIME_LIMIT;
        double units = simulation.chance(ANOMALY_PROBABILITY)
                ? (simulation.chance(0.5) ? Double.NaN : -1)
                : 0.25 * (1 + simulation.random().nextInt(16));
        return new RequestReceived(
                nextId++,
                className,
                PLANS.get((int) (volume % PLANS.size())),
                simulation.random().nextInt(scenario.keysInUse + 1) - 1,
                simulation.now() + timeLimit,
                volume,
                units,
                shard(),
                simulation.random().nextInt(4),
                false,
                simulation.chance(0.5));
    }

    private int shard() {
        if (simulation.chance(scenario.newObjectProbability)) {
            return -1;
        }
        return simulation.chance(ANOMALY_PROBABILITY) || scenario.unknownShards > scenario.shards
                ? simulation.random().nextInt(scenario.shards + scenario.unknownShards)
                : simulation.random().nextInt(scenario.shards);
    }

    private void send(RequestReceived request) {
        requests.put(request.id(), request);
        simulation.deliver(request);
        if (simulation.chance(ANOMALY_PROBABILITY)) {
            simulation.schedule(simulation.randomUpTo(100 * MILLISECOND), () -> simulation.deliver(request));
        }
        if (simulation.chance(scenario.cancelProbability)) {
            simulation.schedule(simulation.randomUpTo(SECOND), () -> cancel(request.id()));
        }
    }

    private void cancel(long id) {
        simulation.deliver(new RequestCancelled(id));
        attempts.requestEnded(id);
    }
}
