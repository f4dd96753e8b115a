package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Which requests are retried, and in which order requests of one key are sent. {@link SafetyRulesChecker} also checks
 * the safety rules on every action.
 */
class RetryRulesTest {
    @Test
    void nonIdempotentRequestIsRetriedOnlyWhenProvenNotExecuted() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        long notConnected = harness.request("once", 1, 1);
        harness.complete(notConnected, Outcome.CONNECT_FAILED);
        harness.advance(100 * MILLISECOND);
        assertEquals(2, harness.attempts(notConnected));
        harness.complete(notConnected, Outcome.OK);
        harness.advance(30 * SECOND);
        long failed = harness.request("once", 2, 1);
        harness.complete(failed, Outcome.ERROR);
        assertEquals(1, harness.attempts(failed));
        assertTrue(harness.hasEnded(failed));
        assertFalse(harness.actions.stream()
                .anyMatch(action -> action instanceof RejectRequest reject && reject.id() == failed));
    }

    /**
     * The process may pause for 0.15 s between a decision and the write of the attempt. Even then, a retry must start
     * within its deduplication window.
     */
    @Test
    void retryWithIdempotencyKeyLeavesMarginForProcessPause() {
        RequestClass shortWindow = new RequestClass(
                "short-window",
                400 * MILLISECOND,
                0,
                2 * SECOND,
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.SHARD,
                0.1,
                false,
                300 * MILLISECOND,
                2,
                false,
                true);
        SchedulerHarness harness = new SchedulerHarness(TestSettings.settings(2, true, List.of(shortWindow)));
        harness.updateEndpoints(EndpointUpdateKind.SNAPSHOT, TestSettings.entry("n0", 0, EndpointState.UP, 0));
        harness.advance(30 * SECOND);
        long first = harness.request("short-window", 1, 1);
        harness.advance(100 * MILLISECOND);
        harness.complete(first, Outcome.RESET);
        assertEquals(2, harness.attempts(first), "100 ms of the 300 ms window have passed");
        harness.complete(first, Outcome.OK);
        long second = harness.request("short-window", 1, 1);
        harness.advance(200 * MILLISECOND);
        harness.complete(second, Outcome.RESET);
        assertEquals(
                1,
                harness.attempts(second),
                "200 ms of the 300 ms window have passed: after a pause of 0.15 s, a retry would start after its end");
    }

    @Test
    void idempotentRequestIsRetriedAfterError() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        long id = harness.request("read", 1, 1);
        harness.complete(id, Outcome.ERROR);
        assertEquals(2, harness.attempts(id));
    }

    @Test
    void requestsWithSameKeyAreOrderedWithQuietPeriod() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        RequestReceived first = harness.newRequest("ordered", "free", 1, 1, 0, 5);
        RequestReceived second = harness.newRequest("ordered", "free", 1, 1, 0, 5);
        harness.decide(first, second);
        assertEquals(1, harness.attempts(first.id()));
        assertEquals(0, harness.attempts(second.id()));
        harness.complete(first.id(), Outcome.OK);
        assertEquals(1, harness.attempts(second.id()));
        RequestReceived third = harness.newRequest("ordered", "free", 1, 1, 0, 5);
        harness.decide(third);
        harness.complete(second.id(), Outcome.TIMEOUT);
        assertEquals(0, harness.attempts(third.id()));
        harness.advance(150 * MILLISECOND);
        assertEquals(0, harness.attempts(third.id()));
        harness.advance(100 * MILLISECOND);
        assertEquals(1, harness.attempts(third.id()));
    }

    @Test
    void retriesStayWithinBudget() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        int retries = 0;
        for (int i = 0; i < 20; i++) {
            long id = harness.request("read", 1, 1);
            while (!harness.hasEnded(id) && harness.attempts(id) > 0) {
                harness.complete(id, Outcome.ERROR);
            }
            retries += Math.max(0, harness.attempts(id) - 1);
            harness.advance(20 * MILLISECOND);
        }
        assertTrue(retries >= 2 && retries <= 4, "retries sent: " + retries);
        harness.assertAllAnswered();
    }
}
