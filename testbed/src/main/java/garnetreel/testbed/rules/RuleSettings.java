package garnetreel.testbed.rules;

import garnetreel.core.Volume;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SafetyRules;
import java.util.Map;

/**
 * The settings that the rules check a run against.
 *
 * @param rules the safety rules of the scheduler
 * @param volumes volumes by number
 * @param classes request classes by name
 * @param plans plans by name
 * @param transit maximum time between the sending of a message and its arrival, clock differences included, in
 *     microseconds
 */
public record RuleSettings(
        SafetyRules rules,
        Map<Long, Volume> volumes,
        Map<String, RequestClass> classes,
        Map<String, Plan> plans,
        long transit) {

    /** The request class of an operation, named as in traces; null if the volume is unknown. */
    RequestClass requestClass(long number, String operation) {
        Volume volume = volumes.get(number);
        if (volume == null) {
            return null;
        }
        if (operation.equals("flush")) {
            return classes.get(volume.flushClass());
        }
        return classes.get(changesData(operation) ? volume.writeClass() : volume.readClass());
    }

    /** Whether an operation, named as in traces, may change data. */
    static boolean changesData(String operation) {
        return operation.equals("write") || operation.equals("zero") || operation.equals("trim");
    }

    /** The plan of a volume; null if the volume is unknown. */
    Plan plan(long number) {
        Volume volume = volumes.get(number);
        return volume == null ? null : plans.get(volume.plan());
    }
}
