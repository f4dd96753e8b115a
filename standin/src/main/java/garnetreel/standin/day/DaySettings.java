package garnetreel.standin.day;

import garnetreel.core.HeadSettings;
import garnetreel.policy.Scheduler;
import garnetreel.standin.client.LoadSettings;
import garnetreel.standin.node.NodeSettings;
import garnetreel.standin.rules.RuleSettings;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * A day: a deployment, what is asked of it, and what goes wrong.
 *
 * @param length while loads ask; {@code settle} is left for the last answers
 * @param head settings of a head from its place
 * @param scheduler the decision module of a head, from its settings and a seed
 * @param loads by the head addresses of the day
 * @param startsAt time of the epoch at which an emulated day begins
 */
public record DaySettings(String name, long seed, long length, long settle, int heads, List<NodeSettings> nodes,
        long listLag, Function<Place, HeadSettings> head, BiFunction<Scheduler.Settings, Long, Scheduler> scheduler,
        Function<List<String>, List<LoadSettings>> loads, List<Trouble> troubles, RuleSettings rules) {

    /** Where a head of the day is. */
    public record Place(int head, long incarnation, String listen, String list) { }

    /** The same day with another seed. */
    public DaySettings withSeed(long other) {
        return new DaySettings(name, other, length, settle, heads, nodes, listLag, head, scheduler, loads, troubles,
                rules);
    }

    /** The same day with heads of another kind. */
    public DaySettings withHeads(Function<Place, HeadSettings> otherHead,
            BiFunction<Scheduler.Settings, Long, Scheduler> otherScheduler) {
        return new DaySettings(name, seed, length, settle, heads, nodes, listLag, otherHead, otherScheduler, loads,
                troubles, rules);
    }
}
