package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.SubscribeEndpoints;
import garnetreel.policy.event.EndpointListConfirmed;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Which endpoints receive attempts, and how many. {@link SafetyRulesChecker} also checks the safety rules on every
 * action.
 */
class EndpointRulesTest {
    @Test
    void drainingEndpointReceivesNoAttempts() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        harness.updateEndpoints(EndpointUpdateKind.DELTA, TestSettings.entry("n0", 0, EndpointState.DRAINING, 0));
        long id = harness.request("read", 1, 1);
        assertEquals(0, harness.attempts(id));
        harness.updateEndpoints(EndpointUpdateKind.DELTA, TestSettings.entry("n0", 0, EndpointState.UP, 0));
        assertEquals(1, harness.attempts(id));
    }

    @Test
    void endpointMissingFromSnapshotReceivesNoAttempts() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(2);
        harness.updateEndpoints(EndpointUpdateKind.SNAPSHOT, TestSettings.entry("n1", 1, EndpointState.UP, 0));
        assertEquals(0, harness.attempts(harness.request("read", 1, 1)));
    }

    @Test
    void loadOnColdEndpointIncreasesGradually() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        harness.updateEndpoints(EndpointUpdateKind.DELTA, TestSettings.entry("n0", 0, EndpointState.UP, harness.now));
        int early = serve(harness, 2 * SECOND);
        harness.advance(5 * SECOND);
        int later = serve(harness, 2 * SECOND);
        harness.advance(10 * SECOND);
        int warm = serve(harness, 2 * SECOND);
        assertTrue(early >= 1, "a cold endpoint received no attempts");
        assertTrue(later > early && warm > later, early + " served when cold, then " + later + ", when warm " + warm);
    }

    @Test
    void recoveredEndpointIsWarmedUpAgain() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        harness.complete(harness.request("read", 1, 1), Outcome.RESET);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            ids.add(harness.request("read", 1, 1));
            harness.advance(250 * MILLISECOND);
            ids.stream().filter(harness::isInFlight).forEach(id -> harness.complete(id, Outcome.CONNECT_FAILED));
        }
        harness.advance(500 * MILLISECOND);
        ids.stream().filter(harness::isInFlight).forEach(id -> harness.complete(id, Outcome.OK));
        int early = serve(harness, 2 * SECOND);
        harness.advance(15 * SECOND);
        int warm = serve(harness, 2 * SECOND);
        assertTrue(early >= 1, "a recovered endpoint received no attempts");
        assertTrue(warm > 2 * early, early + " served right after recovery, when warm " + warm);
    }

    /** A network that resets connections must not make a warm endpoint count as cold (incident i0bc165). */
    @Test
    void resetConnectionsDoNotCountAsRestart() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        int before = serve(harness, 2 * SECOND);
        for (int i = 0; i < 3; i++) {
            long id = harness.request("read", 1, 1);
            harness.complete(id, Outcome.RESET);
            if (harness.isInFlight(id)) {
                harness.complete(id, Outcome.OK);
            }
            harness.advance(100 * MILLISECOND);
        }
        int after = serve(harness, 2 * SECOND);
        assertTrue(after > 0.8 * before, before + " served before, afterwards " + after);
    }

    /** An endpoint that was slow for a long time is fully used soon after it is fast again (incident i7ccb2c). */
    @Test
    void recoveredSlowEndpointIsSoonFullyUsed() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        int before = serve(harness, 2 * SECOND);
        for (int i = 0; i < 10; i++) {
            long id = harness.request("read", 1, 1);
            harness.advance(1200 * MILLISECOND);
            if (harness.isInFlight(id)) {
                harness.complete(id, Outcome.OK);
            }
        }
        serve(harness, 2 * SECOND);
        int after = serve(harness, 2 * SECOND);
        assertTrue(after > 0.8 * before, before + " served before, afterwards " + after);
    }

    /**
     * Responses lost on the network must not count as a sign of a long queue at an endpoint whose later responses
     * arrive quickly (incident if6eb59).
     */
    @Test
    void lostResponsesDoNotThrottleEndpoint() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        int sent = 0;
        for (int i = 0; i < 35; i++) {
            long id = harness.request("read", i % 5, 1);
            sent += harness.attempts(id);
            harness.advance(20 * MILLISECOND);
            if (harness.isInFlight(id) && i % 5 != 0) {
                harness.complete(id, Outcome.OK);
            }
            harness.advance(80 * MILLISECOND);
        }
        assertTrue(sent >= 34, sent + " of 35 requests sent");
    }

    @Test
    void rejectedSubscriptionIsRetried() {
        SchedulerHarness harness = new SchedulerHarness(TestSettings.settings());
        harness.updateEndpoints(EndpointUpdateKind.CACHED, TestSettings.entry("n0", 0, EndpointState.UP, 0));
        assertEquals(
                1,
                harness.actions.stream()
                        .filter(action -> action instanceof SubscribeEndpoints)
                        .count());
        harness.updateEndpoints(EndpointUpdateKind.UNAVAILABLE);
        harness.advance(10 * MILLISECOND);
        assertEquals(
                1,
                harness.actions.stream()
                        .filter(action -> action instanceof SubscribeEndpoints)
                        .count());
        harness.advance(5 * SECOND);
        assertEquals(
                2,
                harness.actions.stream()
                        .filter(action -> action instanceof SubscribeEndpoints)
                        .count());
    }

    /**
     * Gateways that start simultaneously with a cached endpoint list must not subscribe simultaneously. Each subscribes
     * once, within 3 s.
     */
    @Test
    void firstSubscriptionsAreSpreadOverTime() {
        int early = 0;
        for (int i = 0; i < 60; i++) {
            SchedulerHarness harness = new SchedulerHarness(TestSettings.settings(), i);
            harness.decide(
                    new EndpointListConfirmed(harness.now),
                    new EndpointUpdate(
                            EndpointUpdateKind.CACHED, List.of(TestSettings.entry("n0", 0, EndpointState.UP, 0))));
            harness.advance(1 * SECOND);
            early += (int) harness.actions.stream()
                    .filter(action -> action instanceof SubscribeEndpoints)
                    .count();
            harness.advance(2 * SECOND + 10 * MILLISECOND);
            assertEquals(
                    1,
                    harness.actions.stream()
                            .filter(action -> action instanceof SubscribeEndpoints)
                            .count());
        }
        assertTrue(early > 10 && early < 30, early + " of 60 gateways subscribed in the first of three seconds");
    }

    /**
     * Sends requests at a steady rate for the given time, each attempt answered within 10 ms; returns the number of
     * attempts served.
     */
    private static int serve(SchedulerHarness harness, long duration) {
        int served = 0;
        long until = harness.now + duration;
        while (harness.now < until + SECOND) {
            if (harness.now < until) {
                harness.request("read", harness.now % 5, 2);
            }
            harness.advance(10 * MILLISECOND);
            for (long id : harness.idsInFlight()) {
                harness.complete(id, Outcome.OK);
                served++;
            }
        }
        return served;
    }
}
