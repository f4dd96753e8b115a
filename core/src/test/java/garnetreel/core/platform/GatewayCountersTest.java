package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.core.platform.GatewayCounters.Event;
import garnetreel.core.platform.GatewayCounters.Invariant;
import org.junit.jupiter.api.Test;

/** Operators and the fault soak read the printed lines, so the labels do not depend on the names of the constants. */
class GatewayCountersTest {
    @Test
    void labelsArePrintedInAFixedOrder() {
        GatewayCounters counters = new GatewayCounters();
        for (Event event : Event.values()) {
            counters.count(event);
        }
        for (Invariant invariant : Invariant.values()) {
            counters.recordViolation(invariant);
        }
        counters.count(Event.REQUEST_SERVED);
        assertEquals(
                "totals: request_served=2 request_refused=1 request_refused_at_bound=1 request_refused_at_end=1"
                        + " request_failed=1 request_invalid=1 client_left=1 attempt_begun=1 attempt_again=1"
                        + " attempt_withdrawn=1 attempt_too_late=1 attempt_server_left=1 attempt_no_connection=1"
                        + " answer_spoilt=1 closed_to_make_room=1 closed_idle=1 closed_at_end=1 closed_unread=1"
                        + " request_timed_out=1",
                counters.totalsLine());
        assertEquals(
                "invariant violations: 5 sent_for_nobody=1 sent_to_unlisted=1 closed_owing_an_answer=1"
                        + " answered_twice=1 not_answered=1",
                counters.invariantsLine());
    }

    @Test
    void countersAtZeroAreNotPrinted() {
        GatewayCounters counters = new GatewayCounters();
        assertEquals("totals: ", counters.totalsLine());
        assertEquals("invariant violations: 0", counters.invariantsLine());
    }
}
