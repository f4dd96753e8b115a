package garnetreel.policy.admission;

import garnetreel.policy.config.SchedulerSettings;

/**
 * Sheds held requests that can no longer be served in time, as they would take capacity from requests that can, and
 * requests that may not be sent to any endpoint.
 */
public final class LoadShedder {
    /**
     * The final response is sent this many timer resolutions before the client's deadline, as a timer may fire one
     * resolution late.
     */
    private static final int RESPONSE_MARGIN_RESOLUTIONS = 2;

    private final long responseMargin;

    /** Creates a shedder whose response margin follows from the timer resolution. */
    public LoadShedder(SchedulerSettings settings) {
        responseMargin = RESPONSE_MARGIN_RESOLUTIONS * settings.timerResolution();
    }

    /** Time between the final response and the client's deadline, in microseconds. */
    public long responseMargin() {
        return responseMargin;
    }

    /** Time at which the final response to a request is due. */
    public long responseDueAt(long deadline) {
        return deadline - responseMargin;
    }

    /**
     * Time from which on sending a request is no longer useful: its latency objective has passed or its response is
     * due.
     */
    public long latestUsefulStart(long receivedAt, long latencyObjective, long deadline) {
        return Math.min(receivedAt + latencyObjective, responseDueAt(deadline));
    }

    /**
     * Decides whether a held request is shed.
     *
     * @param latestUsefulStart time from which on sending the request is no longer useful
     * @param onlyUnusableEndpoints whether the shard has endpoints that are up, but none of them may be sent requests
     */
    public boolean sheds(long latestUsefulStart, boolean onlyUnusableEndpoints, long now) {
        return now >= latestUsefulStart || onlyUnusableEndpoints;
    }
}
