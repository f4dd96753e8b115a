package garnetreel.policy;

import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.event.SchedulerEvent;
import java.util.List;

/**
 * Makes the scheduling decisions of one gateway.
 *
 * <p>The embedding program passes in all events of one moment and executes the returned actions in order. All times are
 * microseconds of one monotonic clock, with positive readings, as 0 may mean that there is no time; sizes are in units.
 * A scheduler reads no clock, does no I/O and starts no threads. It is not thread-safe. It is deterministic: the same
 * events give the same actions.
 */
public interface Scheduler {

    /**
     * Handles all events of one moment.
     *
     * @param now the current time; never decreases
     * @param events the events since the last call, in order
     * @return the actions to execute, in order
     */
    List<SchedulerAction> decide(long now, List<? extends SchedulerEvent> events);
}
