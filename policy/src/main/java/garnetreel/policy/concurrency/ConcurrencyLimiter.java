package garnetreel.policy.concurrency;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits the attempts in flight at one endpoint: additive increase on short latencies while the window is nearly full,
 * multiplicative decrease on long ones. A gateway cannot observe an endpoint's utilization, so it uses the latency of
 * the responses to its own attempts.
 */
public final class ConcurrencyLimiter {
    /** Maximum window, in attempts: deeper queues at an endpoint add latency without throughput. */
    private static final double MAX_WINDOW = 6;
    /** Initial window, in attempts. */
    private static final double INITIAL_WINDOW = 2;
    /** Minimum window, in attempts; also the window of an endpoint that has just started or rejected an attempt. */
    private static final double MIN_WINDOW = 1;
    /** Maximum number of attempts in flight, including lost ones, as each still holds a connection. */
    private static final int MAX_IN_FLIGHT = 8;
    /** A response that takes longer than this fraction of the tightest latency objective shrinks the window. */
    private static final double SLOW_LATENCY_FRACTION = 0.5;
    /** A response that takes less than this fraction of the tightest latency objective may grow the window. */
    private static final double GROWTH_LATENCY_FRACTION = 0.3;
    /** Factor of a decrease: a slow response shrinks the window by a fifth. */
    private static final double DECREASE_FACTOR = 0.8;
    /**
     * Increment, in attempts: four responses with a latency below {@link #GROWTH_LATENCY_FRACTION} grow the window by
     * one.
     */
    private static final double INCREASE_STEP = 0.25;
    /** The window is nearly full if fewer slots than this are free. */
    private static final double NEARLY_FULL_BELOW = 2;

    private final List<InFlightAttempt> inFlight = new ArrayList<>();
    private double window = INITIAL_WINDOW;
    private long decreasedAt;
    /** Send time of the most recently sent attempt that has been answered. */
    private long answeredSentAt;

    /** Live list of the attempts in flight, oldest first. */
    public List<InFlightAttempt> inFlight() {
        return inFlight;
    }

    /** Adds an attempt to those in flight. */
    public void attemptSent(InFlightAttempt attempt) {
        inFlight.add(attempt);
    }

    /** Removes an attempt from those in flight. */
    public void ended(InFlightAttempt attempt) {
        inFlight.remove(attempt);
    }

    /** Whether no attempt is in flight. */
    public boolean isIdle() {
        return inFlight.isEmpty();
    }

    /**
     * Number of free slots. An attempt is lost if it is past its latency objective and a later attempt has been
     * answered: it occupies no worker of the endpoint, so it holds no slot.
     */
    public double freeSlots(long now) {
        int occupied = 0;
        for (InFlightAttempt attempt : inFlight) {
            occupied +=
                    !isOvertaken(attempt.sentAt()) || attempt.toObjectiveMultiple(now - attempt.sentAt()) < 1 ? 1 : 0;
        }
        return Math.min(window - occupied, MAX_IN_FLIGHT - inFlight.size());
    }

    /**
     * Whether an attempt sent later has been answered; if so, a missing response to this one does not indicate a queue
     * at the endpoint.
     */
    public boolean isOvertaken(long sentAt) {
        return sentAt < answeredSentAt;
    }

    /** Whether the window is full or nearly full. */
    public boolean isNearlyFull(long now) {
        return freeSlots(now) < NEARLY_FULL_BELOW;
    }

    /** Records that an attempt sent at the given time was answered. */
    public void answered(long sentAt) {
        answeredSentAt = Math.max(answeredSentAt, sentAt);
    }

    /**
     * Adjusts the window to the latency of a response.
     *
     * @param sentAt send time of the attempt; one sent before the last decrease does not decrease the window again
     * @param relativeLatency latency scaled to a request of typical size, as a fraction of the tightest latency
     *     objective
     * @param wasNearlyFull whether the window was nearly full when the response arrived; the answered attempt no longer
     *     counts
     * @param now current time
     */
    public void adapt(long sentAt, double relativeLatency, boolean wasNearlyFull, long now) {
        if (relativeLatency > SLOW_LATENCY_FRACTION && sentAt >= decreasedAt) {
            window = Math.max(MIN_WINDOW, window * DECREASE_FACTOR);
            decreasedAt = now;
        } else if (relativeLatency < GROWTH_LATENCY_FRACTION && wasNearlyFull) {
            window = Math.min(MAX_WINDOW, window + INCREASE_STEP);
        }
    }

    /** Reduces the window to its minimum, after a start or an overload of the endpoint. */
    public void resetWindow() {
        window = MIN_WINDOW;
    }

    /** Invariant: the window and the number of attempts in flight are within their bounds. */
    public boolean isConsistent() {
        return window >= MIN_WINDOW && window <= MAX_WINDOW && inFlight.size() <= MAX_IN_FLIGHT;
    }
}
