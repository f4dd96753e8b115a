package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.platform.GatewayCounters.Event;
import org.junit.jupiter.api.Test;

/** Which attempts the guard lets start, and what it counts. */
class SendGuardTest {
    private static final String ADDRESS = "127.0.0.1:2001";
    private static final long START_BEFORE = 1_000;

    private final GatewayCounters counters = new GatewayCounters();
    private final UpstreamAttempt attempt = new UpstreamAttempt(1, 0, "s-1", 0, 2_000, START_BEFORE, null);
    private boolean awaited = true;
    private String listedAt = ADDRESS;
    private final SendGuard guard = new SendGuard(
            counters, (endpoint, address) -> endpoint.equals("s-1") && address.equals(listedAt), any -> awaited);

    @Test
    void anAttemptInTimeToAListedEndpointMayStart() {
        assertTrue(guard.mayStart(attempt, ADDRESS, START_BEFORE - 1));
        assertEquals(1, counters.get(Event.ATTEMPT_STARTED));
        assertEquals("invariant violations: 0", counters.invariants());
    }

    @Test
    void aLateAttemptIsDeniedWithoutAViolation() {
        assertFalse(guard.mayStart(attempt, ADDRESS, START_BEFORE));
        assertEquals(1, counters.get(Event.ATTEMPT_START_DEADLINE_PASSED));
        assertEquals(0, counters.violations());
    }

    @Test
    void anAttemptWithoutAClientIsDeniedAndCounted() {
        awaited = false;
        assertFalse(guard.mayStart(attempt, ADDRESS, 0));
        assertEquals("invariant violations: 1 sent_for_nobody=1", counters.invariants());
    }

    @Test
    void anAttemptToAnEndpointThatMovedOrDrainsIsDeniedAndCounted() {
        listedAt = "127.0.0.1:2002";
        assertFalse(guard.mayStart(attempt, ADDRESS, 0));
        assertEquals("invariant violations: 1 sent_to_unlisted=1", counters.invariants());
        assertEquals(0, counters.get(Event.ATTEMPT_STARTED));
    }
}
