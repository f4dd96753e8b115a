package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.platform.GatewayCounters.Event;
import org.junit.jupiter.api.Test;

/** Which attempts the guard lets start, and what it counts. */
class SendGuardTest {
    private static final String ADDRESS = "127.0.0.1:2001";
    private static final long START_DEADLINE = 1_000;

    private final GatewayCounters counters = new GatewayCounters();
    private final UpstreamAttempt attempt = new UpstreamAttempt(1, 0, "s-1", 0, 2_000, START_DEADLINE, null);
    private boolean clientWaiting = true;
    private String listedAddress = ADDRESS;
    private final SendGuard guard = new SendGuard(
            counters,
            (endpoint, address) -> endpoint.equals("s-1") && address.equals(listedAddress),
            ignored -> clientWaiting);

    @Test
    void anAttemptInTimeToAListedEndpointMayStart() {
        assertTrue(guard.mayStart(attempt, ADDRESS, START_DEADLINE - 1));
        assertEquals(1, counters.get(Event.ATTEMPT_STARTED));
        assertEquals("invariant violations: 0", counters.invariantsLine());
    }

    @Test
    void anAttemptAtItsStartDeadlineIsDeniedWithoutAViolation() {
        assertFalse(guard.mayStart(attempt, ADDRESS, START_DEADLINE));
        assertEquals(1, counters.get(Event.ATTEMPT_START_DEADLINE_PASSED));
        assertEquals(0, counters.violations());
    }

    @Test
    void anAttemptWithoutAWaitingClientIsAViolation() {
        clientWaiting = false;
        assertFalse(guard.mayStart(attempt, ADDRESS, 0));
        assertEquals("invariant violations: 1 sent_for_nobody=1", counters.invariantsLine());
    }

    @Test
    void anAttemptToAnEndpointNotListedAtItsAddressIsAViolation() {
        listedAddress = "127.0.0.1:2002";
        assertFalse(guard.mayStart(attempt, ADDRESS, 0));
        assertEquals("invariant violations: 1 sent_to_unlisted=1", counters.invariantsLine());
        assertEquals(0, counters.get(Event.ATTEMPT_STARTED));
    }
}
