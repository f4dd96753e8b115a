package garnetreel.policy;

import garnetreel.policy.action.LogMessage;
import garnetreel.policy.action.SchedulerAction;
import java.util.ArrayList;
import java.util.List;

/** Collects the actions returned by one scheduler call, in order. */
final class ActionCollector {
    /**
     * Maximum number of messages over the lifetime of a scheduler: enough to follow an incident, too few to fill a
     * disk. Later messages are dropped without notice.
     */
    private static final int MAX_LOG_MESSAGES = 60;

    private List<SchedulerAction> actions = new ArrayList<>();
    private int logMessages;

    /** Starts and returns a new list; the previous one was handed to the caller of the scheduler. */
    List<SchedulerAction> begin() {
        actions = new ArrayList<>();
        return actions;
    }

    void add(SchedulerAction action) {
        actions.add(action);
    }

    void log(String text) {
        if (logMessages < MAX_LOG_MESSAGES) {
            logMessages++;
            actions.add(new LogMessage(text));
        }
    }

    /** Invariant: no more messages were logged than {@link #MAX_LOG_MESSAGES}. */
    boolean isConsistent() {
        return logMessages <= MAX_LOG_MESSAGES;
    }
}
