package garnetreel.policy.endpoint;

import garnetreel.policy.config.SchedulerSettings;
import java.util.SplittableRandom;

/**
 * Schedules subscription calls for the endpoint list: one at the start, repeated with jittered exponential backoff
 * after a failure.
 */
public final class EndpointListSubscription {
    /**
     * Mean backoff after the first failed call, in microseconds. A gateway is considered notified of a change 6 s after
     * it, of which 2 s may pass in the queue of discovery; the backoff spreads the calls of gateways that lost their
     * subscriptions simultaneously over the rest.
     */
    private static final long INITIAL_BACKOFF_MICROS = 500_000;
    /** Maximum mean backoff, in microseconds: with jitter, a wait of up to 3.9 s, within the rest of the 6 s. */
    private static final long MAX_BACKOFF_MICROS = 2_600_000;
    /** Minimum wait as a fraction of the mean backoff; jitter adds up to one mean backoff. */
    private static final double MIN_BACKOFF_FRACTION = 0.5;
    /**
     * A gateway that starts with a cached list that can be trusted for a while subscribes within this time, in
     * microseconds. The delay spreads the calls of gateways that restart simultaneously: discovery handles calls
     * sequentially, and none succeeds once the queue is too long.
     */
    private static final long INITIAL_SPREAD_MICROS = 3_000_000;
    /**
     * A call that has received neither a response nor a failure is repeated after this time, in microseconds, or after
     * the poll interval of the rules if that is longer.
     */
    private static final long RESPONSE_TIMEOUT_MICROS = 4_000_000;

    private final boolean subscriptionNeeded;
    private final long pollInterval;
    private final SplittableRandom random;
    private boolean subscribed;
    private long nextCallAt;
    private long backoff = INITIAL_BACKOFF_MICROS;

    /** Creates a subscription that takes its jitter from the scheduler's random number generator. */
    public EndpointListSubscription(SchedulerSettings settings, SplittableRandom random) {
        subscriptionNeeded = settings.subscribe();
        pollInterval = settings.rules().pollInterval();
        this.random = random;
    }

    /** Records the start of the gateway: the first call is due immediately. */
    public void start(long now) {
        nextCallAt = now;
    }

    /** Whether a subscription is needed but not established. */
    public boolean isPending() {
        return subscriptionNeeded && !subscribed;
    }

    /** Time at which the next call is due, if one is pending. */
    public long nextCallAt() {
        return nextCallAt;
    }

    /** Returns whether a call is due now, and if so records it as made. */
    public boolean takeDueCall(long now) {
        if (!isPending() || now < nextCallAt) {
            return false;
        }
        nextCallAt = now + Math.max(RESPONSE_TIMEOUT_MICROS, pollInterval);
        return true;
    }

    /** Records that a call failed or the subscription was lost. */
    public void failed(long now) {
        subscribed = false;
        nextCallAt = now + (long) (backoff * (MIN_BACKOFF_FRACTION + random.nextDouble()));
        backoff = Math.min(MAX_BACKOFF_MICROS, 2 * backoff);
    }

    /**
     * Records that the cached list of an earlier run was read; a list that can be trusted for a while allows the first
     * call to be delayed.
     */
    public void cachedListRead(boolean trusted, long now) {
        nextCallAt = trusted ? now + random.nextLong(INITIAL_SPREAD_MICROS) : now;
    }

    /** Records that a list or a change of it was received: the subscription is established. */
    public void listReceived() {
        subscribed = true;
        backoff = INITIAL_BACKOFF_MICROS;
    }

    /** Invariant: the backoff is within its bounds. */
    public boolean isConsistent() {
        return backoff >= INITIAL_BACKOFF_MICROS && backoff <= MAX_BACKOFF_MICROS;
    }
}
