package garnetreel.policy.endpoint;

import garnetreel.policy.event.EndpointListConfirmed;
import garnetreel.policy.timing.ProcessPause;

/**
 * Determines how long the endpoint list remains valid, and which endpoints may be used after that.
 *
 * <p>A gateway is considered notified of a change of the list at most {@link #MAX_NOTIFICATION_DELAY} after discovery
 * received the change, whether or not the gateway received it. A list is therefore valid for that long after the time
 * at which it was known to be current. After that, an endpoint needs a lease: if it accepted a request sent at time t,
 * it had been draining for at most {@link #MAX_DRAIN_DELAY} at t, so it may be used until t + {@link
 * #MAX_NOTIFICATION_DELAY} - {@link #MAX_DRAIN_DELAY}.
 *
 * <p>While discovery is down, no gateway is considered notified of any change, so the list stays valid. Discovery is
 * presumed down from the end of a subscription, which ends when discovery goes down, until there is any sign that it is
 * up.
 *
 * <p>Until the first {@link EndpointListConfirmed} event it is unknown how current the list is, and every list is
 * treated as valid.
 */
public final class EndpointLease {
    /**
     * Time after which a gateway is considered notified of a change that discovery has received, while discovery is
     * reachable, in microseconds. Fixed by the project's requirements.
     */
    static final long MAX_NOTIFICATION_DELAY = 6_000_000;
    /**
     * Time after which a gateway is considered notified of earlier changes once discovery's address has changed, in
     * microseconds. Fixed by the rules for scenarios.
     */
    static final long MAX_DELAY_AFTER_ADDRESS_CHANGE = 4_000_000;
    /**
     * Time from the listing of a drain until the endpoint rejects new requests, at most, in microseconds. The protocol
     * does not bound it; one endpoint was observed to accept a request 1.6 s after the listing and to reject requests
     * 2.7 s after it.
     */
    static final long MAX_DRAIN_DELAY = MAX_NOTIFICATION_DELAY / 2;

    /** Represents a time before all others; half of the range, so that adding a duration does not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private boolean tracked;
    private boolean outage;
    private long confirmedAt = NEVER;
    private long addressChangedAt = NEVER;

    /** Whether the time at which the list was last known to be current is available. */
    public boolean isTracked() {
        return tracked;
    }

    /** Records that the list was current at the given time. */
    public void confirmed(long asOf) {
        tracked = true;
        outage = false;
        confirmedAt = Math.max(confirmedAt, asOf);
    }

    /**
     * Records whether discovery is available: it ended a subscription, or showed that it is up without sending the
     * list.
     */
    public void discoveryObserved(boolean available) {
        outage = !available;
    }

    /**
     * Records that discovery may have a new address from the given time on. Only the first of several changes since the
     * last confirmation counts, as later ones do not extend the period that the first one started.
     */
    public void discoveryAddressChanged(long now) {
        if (addressChangedAt <= confirmedAt) {
            addressChangedAt = now;
        }
        outage = false;
    }

    /**
     * End of the period in which requests may be sent to an endpoint whose lease was renewed by a request sent at the
     * given time.
     */
    public long sendBefore(long renewedAt) {
        return tracked && !outage
                ? Math.max(trustedUntil(confirmedAt), trustedUntil(renewedAt - MAX_DRAIN_DELAY))
                : Long.MAX_VALUE;
    }

    private long trustedUntil(long currentAt) {
        long end = currentAt + MAX_NOTIFICATION_DELAY;
        if (currentAt < addressChangedAt) {
            end = Math.min(end, addressChangedAt + MAX_DELAY_AFTER_ADDRESS_CHANGE);
        }
        return end - ProcessPause.MARGIN;
    }

    /** Lease renewal time of an endpoint that has no lease. */
    public static long neverRenewed() {
        return NEVER;
    }

    /** Invariant: after a confirmation, {@link #isTracked()} holds. */
    public boolean isConsistent() {
        return tracked || confirmedAt == NEVER;
    }
}
