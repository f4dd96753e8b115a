package garnetreel.cli.config;

import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the scheduler's settings: the {@code class}, {@code plan}, {@code rules} and {@code module} blocks. */
final class SchedulingReader {
    private final SettingsValues values;
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final Map<String, Plan> plans = new LinkedHashMap<>();
    private final SafetyRules rules;
    private final long margin;

    SchedulingReader(SettingsValues values) {
        this.values = values;
        margin = values.micros("/service/margin", "10ms");
        rules = new SafetyRules(
                values.micros("/rules/answer_slack", "8ms"),
                values.micros("/rules/ask_every", "10s"),
                values.number("/rules/free_extras", 0),
                values.number("/rules/extra_ratio", 0),
                values.micros("/rules/extra_window", "0s"),
                values.number("/rules/cold_share", 1),
                values.micros("/rules/warm_within", "0s"),
                values.micros("/rules/stop_sending_within", "1s"),
                values.number("/rules/fall_multiple", 0),
                values.micros("/rules/fall", "0s"),
                values.micros("/rules/key_quiet", "0s"));
        values.forEach("class", (name, path) -> classes.put(name, requestClass(name, path)));
        values.forEach("plan", (name, path) -> plans.put(name, plan(name, path)));
    }

    Map<String, RequestClass> classes() {
        return classes;
    }

    Map<String, Plan> plans() {
        return plans;
    }

    SafetyRules rules() {
        return rules;
    }

    /** Time before each deadline, in microseconds, reserved for returning the response to the client. */
    long margin() {
        return margin;
    }

    /** The largest number of units of a sub-request. */
    int maxUnits() {
        return values.integer("/module/most_units", 8);
    }

    long longestTimeLimit() {
        return classes.values().stream()
                .mapToLong(RequestClass::timeLimit)
                .max()
                .orElse(0);
    }

    /** Converts the key {@code effect}; the schema allows no other values. */
    private static Idempotency idempotency(String effect) {
        return switch (effect) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "keyed" -> Idempotency.IDEMPOTENCY_KEY;
            case "once" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new IllegalArgumentException("unknown effect: " + effect);
        };
    }

    /** Converts the key {@code group}; the schema allows no other values. */
    private static DeduplicationScope deduplicationScope(String group) {
        return switch (group) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.SHARD;
            default -> throw new IllegalArgumentException("unknown group: " + group);
        };
    }

    private RequestClass requestClass(String name, String path) {
        long latencyObjective = values.micros(path + "/aim", "1s");
        long deadline = values.micros(path + "/deadline", "1s");
        Idempotency idempotency = idempotency(values.text(path + "/effect", "once"));
        DeduplicationScope deduplicationScope = deduplicationScope(values.text(path + "/group", "cell"));
        values.check(
                latencyObjective > 0 && latencyObjective <= deadline,
                path + "/aim",
                "is " + latencyObjective + " us; more than 0 and at most the deadline of " + deadline
                        + " us are expected");
        values.check(
                deadline > 2 * margin,
                path + "/deadline",
                "is " + deadline + " us; more than twice the margin of " + margin + " us is expected");
        values.check(
                idempotency != Idempotency.IDEMPOTENCY_KEY || values.has(path + "/window"),
                path,
                "has the effect \"keyed\" and lacks \"window\"");
        return new RequestClass(
                name,
                latencyObjective,
                values.number(path + "/aim_stretch", 0),
                deadline,
                idempotency,
                deduplicationScope,
                values.number(path + "/late_share", 0),
                false, // streaming
                values.micros(path + "/window", "0s"),
                values.number(path + "/worth", 1),
                values.flag(path + "/in_order", false),
                values.flag(path + "/writes", false));
    }

    private Plan plan(String name, String path) {
        double limit = values.number(path + "/limit", 0);
        double burst = values.number(path + "/burst", 0);
        double reserve = values.number(path + "/reserve", 0);
        values.check(
                limit == 0 || burst >= maxUnits(),
                path + "/burst",
                "is " + burst + " units; with a limit at least the largest request, " + maxUnits()
                        + " units, is expected");
        values.check(
                limit == 0 || reserve <= limit,
                path + "/reserve",
                "is " + reserve + "; at most the limit of " + limit + " is expected");
        return new Plan(
                name,
                limit,
                burst,
                values.number(path + "/slack", 0),
                values.number(path + "/worth_factor", 1),
                values.number(path + "/rate", 1),
                reserve,
                values.number(path + "/weight", 1));
    }

    /** The settings of one gateway instance's scheduler. */
    SchedulerSettings settings(int gateway, int gateways, long connectTimeout) {
        return new SchedulerSettings(
                gateway,
                gateways,
                values.flag("/service/subscribe", true),
                List.copyOf(classes.values()),
                List.copyOf(plans.values()),
                rules,
                values.number("/module/young_limit", 0),
                values.number("/module/mean_units", 1),
                maxUnits(),
                values.number("/module/share_worth", 1),
                values.number("/module/idle_worth", 1),
                values.flag("/module/tells_others", true),
                0, // meteringPeriod
                values.integer("/module/try_limit", 3),
                false, // hedging
                values.flag("/module/cancels", true),
                values.flag("/module/checks", true),
                false, // marksRetries
                values.micros("/module/stay_away", "2s"),
                connectTimeout,
                values.micros("/module/tick", "1ms"));
    }
}
