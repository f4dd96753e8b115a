package garnetreel.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.policy.timing.ProcessPause;
import org.junit.jupiter.api.Test;

/** Tests until when endpoints may be sent requests, given the age of the list and their leases. */
class EndpointListValidityTest {
    private static final long SECOND = 1_000_000;
    private static final long LIST_CONFIRMED_AT = 100 * SECOND;
    private static final long LIST_EXPIRES_AT =
            LIST_CONFIRMED_AT + EndpointListValidity.MAX_NOTIFICATION_DELAY_MICROS - ProcessPause.MARGIN_MICROS;

    private final EndpointListValidity validity = new EndpointListValidity();

    private long sendBeforeWithoutLease() {
        return validity.sendBefore(EndpointListValidity.neverRenewed());
    }

    @Test
    void listOfUnknownAgeIsValid() {
        assertEquals(Long.MAX_VALUE, sendBeforeWithoutLease());
    }

    @Test
    void listIsValidForSixSecondsLessMargin() {
        validity.confirmed(LIST_CONFIRMED_AT);
        assertEquals(LIST_EXPIRES_AT, sendBeforeWithoutLease());
        validity.confirmed(LIST_CONFIRMED_AT - SECOND);
        assertEquals(LIST_EXPIRES_AT, sendBeforeWithoutLease(), "an older confirmation does not shorten the validity");
    }

    @Test
    void acceptedRequestGrantsLeaseOfHalfTheListValidity() {
        validity.confirmed(LIST_CONFIRMED_AT);
        long renewedAt = LIST_CONFIRMED_AT + 5 * SECOND;
        assertEquals(
                renewedAt
                        + EndpointListValidity.MAX_NOTIFICATION_DELAY_MICROS
                        - EndpointListValidity.MAX_DRAIN_DELAY_MICROS
                        - ProcessPause.MARGIN_MICROS,
                validity.sendBefore(renewedAt));
        assertEquals(
                LIST_EXPIRES_AT,
                validity.sendBefore(LIST_CONFIRMED_AT + SECOND),
                "the list is valid for longer than the lease");
    }

    @Test
    void discoveryAddressChangeLimitsValidityToFourSeconds() {
        validity.confirmed(LIST_CONFIRMED_AT);
        validity.discoveryAddressChanged(LIST_CONFIRMED_AT + SECOND);
        long end = LIST_CONFIRMED_AT
                + SECOND
                + EndpointListValidity.MAX_DELAY_AFTER_ADDRESS_CHANGE_MICROS
                - ProcessPause.MARGIN_MICROS;
        assertEquals(end, sendBeforeWithoutLease());
        validity.discoveryAddressChanged(LIST_CONFIRMED_AT + 3 * SECOND);
        assertEquals(
                end,
                sendBeforeWithoutLease(),
                "a second change without a list in between does not extend the validity");
        validity.confirmed(LIST_CONFIRMED_AT + 4 * SECOND);
        assertEquals(LIST_EXPIRES_AT + 4 * SECOND, sendBeforeWithoutLease());
        validity.discoveryAddressChanged(LIST_CONFIRMED_AT + 5 * SECOND);
        assertEquals(LIST_CONFIRMED_AT + 9 * SECOND - ProcessPause.MARGIN_MICROS, sendBeforeWithoutLease());
    }

    @Test
    void listStaysValidDuringDiscoveryOutage() {
        validity.confirmed(LIST_CONFIRMED_AT);
        validity.discoveryObserved(false);
        assertEquals(Long.MAX_VALUE, sendBeforeWithoutLease());
        validity.discoveryObserved(true);
        assertEquals(LIST_EXPIRES_AT, sendBeforeWithoutLease());
        validity.discoveryObserved(false);
        validity.discoveryAddressChanged(LIST_CONFIRMED_AT + SECOND);
        assertEquals(
                LIST_CONFIRMED_AT + 5 * SECOND - ProcessPause.MARGIN_MICROS,
                sendBeforeWithoutLease(),
                "discovery at another address may be up");
    }
}
