package garnetreel.policy;

import garnetreel.policy.action.SetTimer;
import garnetreel.policy.admission.LoadShedder;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.endpoint.EndpointListSubscription;

/** Sets the single timer that triggers a scheduler call when no other event arrives. */
final class DecisionTimer {
    /** Name of the timer. It is part of the actions that the embedding program and recorded traces contain. */
    private static final String TIMER_NAME = "look";
    /**
     * Maximum time between scheduler calls while a request is held, in microseconds: free slots, rate limits and quiet
     * periods change with time. The next subscription call is also at least this far away.
     */
    private static final long CHECK_INTERVAL_HELD_MICROS = 5_000;
    /**
     * Maximum time between scheduler calls while attempts are in flight, in microseconds: needed to detect unresponsive
     * endpoints.
     */
    private static final long CHECK_INTERVAL_IN_FLIGHT_MICROS = 50_000;
    /** Value of {@link #dueAt} while no timer is set. */
    private static final long NOT_SET = Long.MAX_VALUE;

    private final long timerResolution;
    private long dueAt = NOT_SET;

    DecisionTimer(SchedulerSettings settings) {
        timerResolution = settings.timerResolution();
    }

    /** Handles the expiry of a timer; a timer that is due later remains set. */
    void expired(long now) {
        if (now >= dueAt) {
            dueAt = NOT_SET;
        }
    }

    /** Sets the timer for the next time at which a decision may be needed, unless it is already due by then. */
    void set(
            PendingRequests requests,
            EndpointListSubscription subscription,
            LoadShedder shedder,
            ActionCollector actions,
            long now) {
        long next = subscription.isPending()
                ? Math.max(subscription.nextCallAt(), now + CHECK_INTERVAL_HELD_MICROS)
                : NOT_SET;
        for (PendingRequest request : requests.all()) {
            next = Math.min(next, now + (request.held ? CHECK_INTERVAL_HELD_MICROS : CHECK_INTERVAL_IN_FLIGHT_MICROS));
            if (request.awaitsResponse()) {
                next = Math.min(next, Math.max(now, shedder.responseDueAt(request.deadline)));
            }
        }
        if (next < dueAt) {
            dueAt = next;
            actions.add(new SetTimer(TIMER_NAME, Math.max(timerResolution, next - now)));
        }
    }
}
