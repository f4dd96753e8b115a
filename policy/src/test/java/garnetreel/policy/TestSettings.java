package garnetreel.policy;

import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import java.util.List;

/** Settings for tests, with round numbers that are not taken from any deployment. */
public final class TestSettings {
    /** Microseconds per millisecond. */
    public static final long MILLISECOND = 1_000;
    /** Microseconds per second. */
    public static final long SECOND = 1_000_000;

    private TestSettings() {}

    /** A class whose requests may be executed more than once. */
    public static RequestClass read() {
        return new RequestClass(
                "read",
                400 * MILLISECOND,
                0,
                2 * SECOND,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0.1,
                false,
                0,
                3,
                false,
                false);
    }

    /** A class whose requests must not be executed more than once. */
    public static RequestClass once() {
        return new RequestClass(
                "once",
                400 * MILLISECOND,
                0,
                2 * SECOND,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.SHARD,
                0.1,
                false,
                0,
                2,
                false,
                true);
    }

    /** A class whose requests carry idempotency keys and are executed in the order received. */
    public static RequestClass ordered() {
        return new RequestClass(
                "ordered",
                400 * MILLISECOND,
                0,
                2 * SECOND,
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.SHARD,
                0.1,
                false,
                1 * SECOND,
                2,
                true,
                true);
    }

    /** The safety rules used in tests. */
    public static SafetyRules rules() {
        return new SafetyRules(
                10 * MILLISECOND,
                10 * SECOND,
                2,
                0.1,
                5 * SECOND,
                0.2,
                10 * SECOND,
                500 * MILLISECOND,
                2,
                2 * SECOND,
                200 * MILLISECOND);
    }

    /** Settings for one of two gateways that subscribe to the endpoint list. */
    public static SchedulerSettings settings() {
        return settings(2, true, List.of(read(), once(), ordered()));
    }

    /** The same settings with the given number of gateways, subscription and classes. */
    public static SchedulerSettings settings(int gateways, boolean subscribe, List<RequestClass> classes) {
        return new SchedulerSettings(
                0,
                gateways,
                subscribe,
                classes,
                List.of(
                        new Plan("free", 0, 0, 0, 1, 20, 10, 1),
                        new Plan("heavy", 0, 0, 0, 1, 20, 10, 2),
                        new Plan("capped", 10, 40, 4, 1, 5, 2, 1)),
                rules(),
                20,
                2,
                8,
                0.4,
                0.1,
                false,
                0,
                3,
                false,
                true,
                false,
                false,
                1 * SECOND,
                250 * MILLISECOND,
                2 * MILLISECOND);
    }

    /** An entry of an endpoint list. */
    public static EndpointEntry entry(String address, int shard, EndpointState state, long startedAt) {
        return new EndpointEntry(address, "zone", shard, state, 1, startedAt);
    }
}
