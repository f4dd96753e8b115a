package garnetreel.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.policy.timing.ProcessPause;
import org.junit.jupiter.api.Test;

/** Tests until when endpoints may be sent requests, given the age of the list and their leases. */
class EndpointLeaseTest {
    private static final long SECOND = 1_000_000;
    private static final long LIST_CONFIRMED_AT = 100 * SECOND;
    private static final long LIST_EXPIRES_AT =
            LIST_CONFIRMED_AT + EndpointLease.MAX_NOTIFICATION_DELAY - ProcessPause.MARGIN;

    private final EndpointLease lease = new EndpointLease();

    private long sendBeforeWithoutLease() {
        return lease.sendBefore(EndpointLease.neverRenewed());
    }

    @Test
    void listOfUnknownAgeIsValid() {
        assertEquals(Long.MAX_VALUE, sendBeforeWithoutLease());
    }

    @Test
    void listIsValidForSixSecondsLessMargin() {
        lease.confirmed(LIST_CONFIRMED_AT);
        assertEquals(LIST_EXPIRES_AT, sendBeforeWithoutLease());
        lease.confirmed(LIST_CONFIRMED_AT - SECOND);
        assertEquals(LIST_EXPIRES_AT, sendBeforeWithoutLease(), "an older confirmation does not shorten the validity");
    }

    @Test
    void acceptedRequestGrantsLeaseOfHalfTheListValidity() {
        lease.confirmed(LIST_CONFIRMED_AT);
        long renewedAt = LIST_CONFIRMED_AT + 5 * SECOND;
        assertEquals(
                renewedAt + EndpointLease.MAX_NOTIFICATION_DELAY - EndpointLease.MAX_DRAIN_DELAY - ProcessPause.MARGIN,
                lease.sendBefore(renewedAt));
        assertEquals(
                LIST_EXPIRES_AT,
                lease.sendBefore(LIST_CONFIRMED_AT + SECOND),
                "the list is valid for longer than the lease");
    }

    @Test
    void discoveryAddressChangeLimitsValidityToFourSeconds() {
        lease.confirmed(LIST_CONFIRMED_AT);
        lease.discoveryAddressChanged(LIST_CONFIRMED_AT + SECOND);
        long end = LIST_CONFIRMED_AT + SECOND + EndpointLease.MAX_DELAY_AFTER_ADDRESS_CHANGE - ProcessPause.MARGIN;
        assertEquals(end, sendBeforeWithoutLease());
        lease.discoveryAddressChanged(LIST_CONFIRMED_AT + 3 * SECOND);
        assertEquals(
                end,
                sendBeforeWithoutLease(),
                "a second change without a list in between does not extend the validity");
        lease.confirmed(LIST_CONFIRMED_AT + 4 * SECOND);
        assertEquals(LIST_EXPIRES_AT + 4 * SECOND, sendBeforeWithoutLease());
        lease.discoveryAddressChanged(LIST_CONFIRMED_AT + 5 * SECOND);
        assertEquals(LIST_CONFIRMED_AT + 9 * SECOND - ProcessPause.MARGIN, sendBeforeWithoutLease());
    }

    @Test
    void listStaysValidDuringDiscoveryOutage() {
        lease.confirmed(LIST_CONFIRMED_AT);
        lease.discoveryObserved(false);
        assertEquals(Long.MAX_VALUE, sendBeforeWithoutLease());
        lease.discoveryObserved(true);
        assertEquals(LIST_EXPIRES_AT, sendBeforeWithoutLease());
        lease.discoveryObserved(false);
        lease.discoveryAddressChanged(LIST_CONFIRMED_AT + SECOND);
        assertEquals(
                LIST_CONFIRMED_AT + 5 * SECOND - ProcessPause.MARGIN,
                sendBeforeWithoutLease(),
                "discovery at another address may be up");
    }
}
