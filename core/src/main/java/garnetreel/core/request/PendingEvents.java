package garnetreel.core.request;

import garnetreel.policy.event.SchedulerEvent;
import java.util.ArrayList;
import java.util.List;

/** Events not yet passed to the scheduler, in the order in which they occurred. */
final class PendingEvents {
    private List<SchedulerEvent> events = new ArrayList<>();

    void add(SchedulerEvent event) {
        events.add(event);
    }

    boolean isEmpty() {
        return events.isEmpty();
    }

    /** Removes and returns all events. Events added while these are handled go to a new list. */
    List<SchedulerEvent> takeAll() {
        List<SchedulerEvent> taken = events;
        events = new ArrayList<>();
        return taken;
    }
}
