package garnetreel.policy;

import garnetreel.policy.action.SetTimer;
import garnetreel.policy.admission.LoadShedder;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.endpoint.EndpointListSubscription;

/** Sets the single timer that triggers a scheduler call when no other event arrives. */
final class DecisionTimer {
    /** Name of the timer, as seen by the embedding program. */
    private static final String TIMER_NAME = "look";
    /**
     * Poll interval while a request is held, microseconds: free tokens, rate limits and quiet periods change with time.
     */
    private static final long POLL_INTERVAL_HELD = 5_000;
    /** Poll interval while attempts are in flight, microseconds: needed to detect unresponsive endpoints. */
    private static final long POLL_INTERVAL_IN_FLIGHT = 50_000;
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
        long next = subscription.isPending() ? Math.max(subscription.nextCallAt(), now + POLL_INTERVAL_HELD) : NOT_SET;
        for (PendingRequest request : requests.all()) {
            next = Math.min(next, now + (request.held ? POLL_INTERVAL_HELD : POLL_INTERVAL_IN_FLIGHT));
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
