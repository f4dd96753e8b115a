package garnetreel.policy.endpoint;

import garnetreel.policy.event.EndpointListConfirmed;
import garnetreel.policy.timing.ProcessPause;

/**
 * Determines how long the endpoint list remains valid, and until when each endpoint may be used after that. There is
 * one object per gateway; when a lease was last renewed is stored in its {@link Endpoint}.
 *
 * <p>A gateway is considered notified of a change of the list at most {@link #MAX_NOTIFICATION_DELAY_MICROS} after
 * discovery received the change, whether or not the gateway received it. A list is therefore valid for that long after
 * the time at which it was known to be current. After that, an endpoint needs a lease: if it accepted a request sent at
 * time t, it had been draining for at most {@link #MAX_DRAIN_DELAY_MICROS} at t, so it may be used until t +
 * {@link #MAX_NOTIFICATION_DELAY_MICROS} - {@link #MAX_DRAIN_DELAY_MICROS}.
 *
 * <p>While discovery is down, no gateway is considered notified of any change, so the list stays valid. Discovery is
 * presumed down from the end of a subscription, which ends when discovery goes down, until there is any sign that it is
 * up.
 *
 * <p>Until the first {@link EndpointListConfirmed} event it is unknown how current the list is, and every list is
 * treated as valid.
 */
public final class EndpointListValidity {
    /**
     * Time after which a gateway is considered notified of a change that discovery has received, while discovery is
     * reachable, in microseconds. Defined by the platform.
     */
    static final long MAX_NOTIFICATION_DELAY_MICROS = 6_000_000;
    /**
     * Time after which a gateway is considered notified of earlier changes once discovery's address has changed, in
     * microseconds. Defined by the platform, like the delay above: a gateway has 4 s after it was given a new
     * configuration.
     */
    static final long MAX_DELAY_AFTER_ADDRESS_CHANGE_MICROS = 4_000_000;
    /**
     * Assumed maximum time from the listing of a drain until the endpoint rejects new requests, in microseconds. The
     * protocol does not bound it; one endpoint was observed to accept a request 1.6 s after the listing and to reject
     * requests 2.7 s after it.
     */
    static final long MAX_DRAIN_DELAY_MICROS = MAX_NOTIFICATION_DELAY_MICROS / 2;

    /** Represents a time before all others; half of the range, so that adding a duration does not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private boolean hasConfirmation;
    private boolean outage;
    private long confirmedAt = NEVER;
    private long addressChangedAt = NEVER;

    /** Whether any event has stated a time at which the list was current. */
    public boolean hasConfirmation() {
        return hasConfirmation;
    }

    /** Records that the list was current at the given time. */
    public void confirmed(long asOf) {
        hasConfirmation = true;
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
        return hasConfirmation && !outage
                ? Math.max(trustedUntil(confirmedAt), trustedUntil(renewedAt - MAX_DRAIN_DELAY_MICROS))
                : Long.MAX_VALUE;
    }

    private long trustedUntil(long currentAt) {
        long end = currentAt + MAX_NOTIFICATION_DELAY_MICROS;
        if (currentAt < addressChangedAt) {
            end = Math.min(end, addressChangedAt + MAX_DELAY_AFTER_ADDRESS_CHANGE_MICROS);
        }
        return end - ProcessPause.MARGIN_MICROS;
    }

    /** Lease renewal time of an endpoint that has no lease. */
    public static long neverRenewed() {
        return NEVER;
    }

    /** Invariant: after a confirmation, {@link #hasConfirmation()} holds. */
    public boolean isConsistent() {
        return hasConfirmation || confirmedAt == NEVER;
    }
}
