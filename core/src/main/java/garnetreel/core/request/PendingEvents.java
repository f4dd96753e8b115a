package garnetreel.core.request;

import garnetreel.codec.node.NodeMessage;
import garnetreel.core.connection.NodeAttempt;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.SchedulerEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Events not yet passed to the scheduler, in the order in which they occurred. */
public final class PendingEvents {
    private List<SchedulerEvent> events = new ArrayList<>();

    PendingEvents() {}

    /** Adds an event. */
    public void add(SchedulerEvent event) {
        events.add(event);
    }

    /** Adds the end of an attempt; {@code answer} is null if the node gave none. */
    void addCompleted(NodeAttempt attempt, Outcome outcome, boolean completed, NodeMessage.Answer answer, long now) {
        add(new AttemptCompleted(
                attempt.subRequestId(),
                attempt.index(),
                attempt.node(),
                outcome,
                now - attempt.startedAt(),
                completed,
                answer == null ? 0 : answer.unitsFromOtherGateways(),
                answer == null ? 0 : answer.usage(),
                answer == null ? Map.of() : answer.load()));
    }

    /** Whether there are no events. */
    public boolean isEmpty() {
        return events.isEmpty();
    }

    /** Removes and returns all events. Events added while these are handled go to a new list. */
    public List<SchedulerEvent> takeAll() {
        List<SchedulerEvent> taken = events;
        events = new ArrayList<>();
        return taken;
    }
}
