package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;

import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One scenario of the golden streams: the settings of the scheduler under test, and the parameters of the simulated
 * clients, endpoints and discovery. All randomness is derived from its seed. The parameters are not taken from any
 * deployment; changing any of them changes the recorded stream.
 */
final class GoldenScenario {
    /** Events and temporary conditions that affect an endpoint. */
    enum Incident {
        SLOW,
        UNRESPONSIVE,
        LOSSY,
        UNREACHABLE,
        OVERLOADED_QUEUE,
        RESETTING,
        FAILING,
        NOT_STARTING,
        CANCELLING,
        UNKNOWN_OUTCOME,
        /** Restarts, and the endpoint list reports the restart. */
        RESTART,
        /** Restarts, but the endpoint list does not report it; it shows only in the outcomes of attempts. */
        UNLISTED_RESTART,
        DRAIN,
        REPLACE,
        /** Is assigned to a randomly chosen shard. */
        MOVE
    }

    final String name;
    final long seed;

    long duration = 30 * SECOND;
    int shards = 3;
    int endpointsPerShard = 1;
    int servers = 2;
    long unitTime = 8 * MILLISECOND;

    double requestsPerSecond = 150;
    int volumes = 12;
    double busiestVolumeProbability = 0.2;
    double newObjectProbability = 0.1;
    double retryProbability = 0.4;
    long maxRetryDelay = 500 * MILLISECOND;
    double cancelProbability = 0.02;
    int keysInUse = 6;
    /** Number of shards that do not exist but may be named by requests. */
    int unknownShards = 1;

    long burstInterval = 10 * SECOND;
    long burstDuration = 0;
    double burstFactor = 5;
    long idleFrom = Long.MAX_VALUE;
    long idleUntil = Long.MAX_VALUE;

    long incidentInterval = 2 * SECOND;
    long maxIncidentDuration = 2 * SECOND;
    List<Incident> incidents = List.of(Incident.values());

    boolean confirmsList = false;
    boolean hasCachedList = true;
    double subscriptionRejectedProbability = 0;
    double subscriptionUnansweredProbability = 0;
    long discoveryOutageInterval = Long.MAX_VALUE;
    long maxDiscoveryOutageDuration = 2 * SECOND;

    List<RequestClass> classes = defaultClasses();
    SafetyRules rules = safetyRules(5 * SECOND, 2 * SECOND, 10 * SECOND);
    int gateways = 2;
    boolean subscribe = true;
    double coldEndpointCapacity = 20;
    boolean reportsOtherGateways = false;
    int maxAttempts = 3;
    long timerResolution = 2 * MILLISECOND;

    GoldenScenario(String name, long seed, Consumer<GoldenScenario> customizer) {
        this.name = name;
        this.seed = seed;
        customizer.accept(this);
    }

    @Override
    public String toString() {
        return name;
    }

    SchedulerSettings settings() {
        return new SchedulerSettings(
                0,
                gateways,
                subscribe,
                classes,
                plans(),
                rules,
                coldEndpointCapacity,
                2,
                8,
                0.4,
                0.1,
                reportsOtherGateways,
                0,
                maxAttempts,
                false,
                true,
                false,
                false,
                SECOND,
                250 * MILLISECOND,
                timerResolution);
    }

    static List<RequestClass> defaultClasses() {
        return List.of(
                requestClass("read", 2 * SECOND, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false, false),
                requestClass("once", 2 * SECOND, Idempotency.NON_IDEMPOTENT, DeduplicationScope.SHARD, 0, false, false),
                requestClass(
                        "ordered",
                        2 * SECOND,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.SHARD,
                        1 * SECOND,
                        true,
                        false),
                requestClass(
                        "zonal",
                        2 * SECOND,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.ZONE,
                        600 * MILLISECOND,
                        false,
                        false),
                requestClass(
                        "marked",
                        2 * SECOND,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.ALL,
                        250 * MILLISECOND,
                        true,
                        false),
                requestClass("stream", 1 * SECOND, Idempotency.IDEMPOTENT, DeduplicationScope.ZONE, 0, false, true),
                requestClass(
                        "long-time-limit",
                        20 * SECOND,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false,
                        false));
    }

    static List<RequestClass> classesWithOneWithoutObjective() {
        List<RequestClass> classes = new ArrayList<>(defaultClasses());
        classes.add(new RequestClass(
                "no-objective",
                0,
                0,
                2 * SECOND,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0.1,
                false,
                0,
                1,
                false,
                false));
        return classes;
    }

    private static RequestClass requestClass(
            String name,
            long timeLimit,
            Idempotency idempotency,
            DeduplicationScope scope,
            long deduplicationWindow,
            boolean ordered,
            boolean streaming) {
        return new RequestClass(
                name,
                400 * MILLISECOND,
                0,
                timeLimit,
                idempotency,
                scope,
                0.1,
                streaming,
                deduplicationWindow,
                2,
                ordered,
                ordered);
    }

    private static List<Plan> plans() {
        return List.of(
                new Plan("free", 0, 0, 0, 1, 20, 10, 1),
                new Plan("heavy", 0, 0, 0, 1, 20, 10, 2),
                new Plan("capped", 10, 40, 4, 1, 5, 2, 1),
                new Plan("low-rate", 0.5, 60, 4, 1, 0.5, 0.1, 0));
    }

    static SafetyRules safetyRules(long retryWindow, long overloadWindow, long pollInterval) {
        return new SafetyRules(
                10 * MILLISECOND,
                pollInterval,
                2,
                0.1,
                retryWindow,
                0.2,
                10 * SECOND,
                500 * MILLISECOND,
                2,
                overloadWindow,
                200 * MILLISECOND);
    }
}
