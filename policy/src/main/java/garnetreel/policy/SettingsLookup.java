package garnetreel.policy;

import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.event.RequestReceived;
import java.util.HashMap;
import java.util.Map;

/**
 * Looks up the request class and plan of a request. A class missing from the settings never allows a second execution,
 * and a missing plan has weight 1 and no reserved rate, provisioned rate or rate limit.
 */
final class SettingsLookup {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Plan> plans = new HashMap<>();

    SettingsLookup(SchedulerSettings settings) {
        settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
        settings.plans().forEach(plan -> plans.put(plan.name(), plan));
    }

    RequestClass requestClass(RequestReceived event, long now) {
        RequestClass configured = classes.get(event.className());
        return configured != null ? configured : unknownClass(event, now);
    }

    /** A class missing from the settings: never executed twice, and the latency objective is the client's deadline. */
    private static RequestClass unknownClass(RequestReceived event, long now) {
        long timeLeft = event.deadline() - now;
        return new RequestClass(
                event.className(),
                timeLeft,
                0,
                timeLeft,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.SHARD,
                0,
                false,
                0,
                1,
                false,
                event.write());
    }

    Plan plan(RequestReceived event) {
        Plan configured = plans.get(event.plan());
        return configured != null ? configured : new Plan(event.plan(), 0, 0, 0, 1, 0, 0, 1);
    }
}
