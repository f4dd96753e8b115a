package garnetreel.settings;

import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import java.util.ArrayList;
import java.util.List;

/** Reads the settings with which a scheduler starts from their JSON object. Times are in seconds there. */
public final class SettingsReader {
    private SettingsReader() {}

    /** Reads the settings. An absent field has the default that is given where the field is read. */
    public static SchedulerSettings read(Json json) throws JsonException {
        Json limits = json.child("limits");
        Json specifics = json.child("specifics");
        List<Boolean> writes = specifics.flags("class-writes");
        List<RequestClass> classes = new ArrayList<>();
        for (Json item : json.children("classes")) {
            int index = classes.size();
            classes.add(readRequestClass(item, index < writes.size() && writes.get(index)));
        }
        List<Plan> plans = new ArrayList<>();
        for (Json item : json.children("service-levels")) {
            plans.add(new Plan(
                    item.text("name", ""),
                    item.number("never-over", 0),
                    item.number("limit-burst", 0),
                    item.number("slack", 0),
                    item.number("worth-factor", 1),
                    item.number("usual-rate", 0),
                    item.number("floor-rate", 0),
                    item.number("proportion", 1)));
        }
        return new SchedulerSettings(
                (int) json.integer("me", 0),
                (int) json.integer("balancers", 1),
                json.text("discovery", "").equals("subscribe"),
                classes,
                plans,
                readSafetyRules(json.child("rules")),
                specifics.number("young-limit", 0),
                specifics.number("unit-mean", 1),
                specifics.number("most-units", 1),
                specifics.number("share-worth", 1),
                specifics.number("idle-worth", 1),
                specifics.flag("tells-elsewhere", false),
                specifics.micros("metering", 0),
                (int) limits.integer("try-limit", 1),
                limits.flag("second-copies", false),
                limits.flag("cancel", false),
                limits.flag("probes", false),
                json.child("clients").flag("marks-retry", false),
                limits.flag("retry-after", false) ? limits.micros("max-retry-after", 0) : 0,
                limits.micros("dial-timeout", 0),
                json.micros("tick", 0));
    }

    private static RequestClass readRequestClass(Json item, boolean writes) throws JsonException {
        Idempotency idempotency =
                switch (item.text("effect", "")) {
                    case "repeatable" -> Idempotency.IDEMPOTENT;
                    case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
                    default -> Idempotency.NON_IDEMPOTENT;
                };
        DeduplicationScope deduplicationScope =
                switch (item.text("group", "")) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    default -> DeduplicationScope.SHARD;
                };
        return new RequestClass(
                item.text("name", ""),
                item.micros("aim", 0),
                item.number("aim-stretch", 0),
                item.micros("hard-limit", 0),
                idempotency,
                deduplicationScope,
                item.number("late-share", 0),
                item.flag("streaming", false),
                item.micros("repeat-window", 0),
                item.number("importance", 1),
                item.flag("in-order", false),
                writes);
    }

    private static SafetyRules readSafetyRules(Json item) throws JsonException {
        return new SafetyRules(
                item.micros("answer-slack", 0),
                item.micros("ask-every", 0),
                item.number("free-resends", 0),
                item.number("further-ratio", 0),
                item.micros("extra-window", 0),
                item.number("cold-share", 1),
                item.micros("warm-within", 0),
                item.micros("stop-sending-within", 0),
                item.number("fall-multiple", 0),
                item.micros("fall", 0),
                item.micros("key-quiet", 0));
    }
}
