package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.GossipReceived;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.ResponseStreamStarted;
import garnetreel.policy.event.TimerExpired;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Edge cases of response deadlines, rate limits and invalid input. {@link SafetyRulesChecker} also checks the safety
 * rules on every action.
 */
class RequestRulesTest {
    @Test
    void requestForUnservedShardIsAnsweredInTime() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        RequestReceived unserved = harness.newRequest("read", "free", 1, 1, 77, -1);
        harness.decide(unserved);
        harness.advance(3 * SECOND);
        harness.assertAllAnswered();
    }

    @Test
    void requestToUnresponsiveEndpointIsAnsweredInTime() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        harness.request("once", 1, 1);
        harness.request("read", 1, 1);
        harness.advance(3 * SECOND);
        harness.assertAllAnswered();
    }

    @Test
    void rateLimitHoldsWithoutBurstAfterRestart() {
        SchedulerHarness harness = new SchedulerHarness(TestSettings.settings());
        harness.updateEndpoints(EndpointUpdateKind.CACHED, TestSettings.entry("n0", 0, EndpointState.UP, 0));
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            RequestReceived received = harness.newRequest("read", "capped", 1, 1, 0, -1);
            harness.decide(received);
            ids.add(received.id());
            harness.advance(20 * MILLISECOND);
            ids.stream().filter(harness::isInFlight).forEach(id -> harness.complete(id, Outcome.OK));
        }
        int sent = harness.sentIds().size();
        // Two seconds at half of ten units per second, starting with an empty bucket.
        assertTrue(sent >= 8 && sent <= 10, "requests sent: " + sent);
    }

    @Test
    void clientRetryAfterItsObjectiveIsRejectedImmediately() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        RequestReceived first = harness.newRequest("read", "free", 40, 1, 77, -1);
        harness.decide(first);
        harness.advance(450 * MILLISECOND);
        assertTrue(
                harness.hasEnded(first.id()),
                "no endpoint holds the shard, so the request ends once its objective has passed");
        RequestReceived retry =
                new RequestReceived(424242, "read", "free", -1, first.deadline(), 40, 1, 0, 2, false, false);
        harness.decide(retry);
        assertEquals(0, harness.attempts(retry.id()));
        assertTrue(harness.hasEnded(retry.id()));
    }

    /** The requests of a client that lowers its timeout must not be taken for retries (incident ie5af17). */
    @Test
    void requestOfClientThatLoweredItsTimeoutIsServed() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        harness.complete(harness.request("read", 1, 1), Outcome.OK);
        RequestReceived shortDeadline =
                new RequestReceived(424242, "read", "free", -1, harness.now + SECOND, 1, 1, 0, 2, false, false);
        harness.decide(shortDeadline);
        assertEquals(1, harness.attempts(shortDeadline.id()));
    }

    @Test
    void invalidInputIsTolerated() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        long id = harness.request("read", 1, Double.NaN);
        harness.scheduler.decide(
                harness.now,
                List.of(
                        new AttemptCompleted(id, 7, "nowhere", Outcome.OK, 0, true, 0, 0, Map.of()),
                        new AttemptCompleted(424242, 0, "nowhere", Outcome.OK, -5, true, 0, 0, Map.of()),
                        new RequestCancelled(424242),
                        new TimerExpired("unknown"),
                        new ResponseStreamStarted(424242, 0, "nowhere"),
                        new HealthCheckCompleted("nowhere", Outcome.OK, 0, Map.of()),
                        new GossipReceived(3, new byte[] {1})));
        harness.complete(id, Outcome.OK);
        assertTrue(harness.hasEnded(id));
        harness.scheduler.decide(
                harness.now, List.of(new AttemptCompleted(id, 0, "n0", Outcome.OK, 0, true, 0, 0, Map.of())));
        RequestReceived expired =
                new RequestReceived(999, "read", "free", -1, harness.now - SECOND, 1, 1, 0, 0, false, false);
        List<SchedulerAction> actions = harness.scheduler.decide(harness.now, List.of(expired, expired));
        assertEquals(
                1,
                actions.stream()
                        .filter(action -> action instanceof RejectRequest)
                        .count());
    }
}
