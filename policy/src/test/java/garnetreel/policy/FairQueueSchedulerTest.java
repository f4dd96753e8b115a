package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestCancelled;
import garnetreel.policy.event.RequestReceived;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Fair queueing without faults: concurrency limit, service order, ties, throttling, weights, flows that return from
 * idle, new objects and replaced endpoints.
 */
class FairQueueSchedulerTest {

    /**
     * Sends requests of a separate volume until the endpoint's concurrency limit is reached; returns the ids in flight.
     */
    private static List<Long> fillEndpoint(SchedulerHarness harness) {
        List<Long> inFlight = new ArrayList<>();
        while (true) {
            long id = harness.request("read", 999, 1);
            if (harness.attempts(id) == 0) {
                harness.decide(new RequestCancelled(id));
                return inFlight;
            }
            inFlight.add(id);
        }
    }

    /** Lets the scheduler measure fast responses of the endpoint, so that it does not shed a test's queue. */
    private static void measureFastResponses(SchedulerHarness harness) {
        for (int i = 0; i < 60; i++) {
            long id = harness.request("read", 900, 1);
            harness.now += 2 * MILLISECOND;
            harness.complete(id, Outcome.OK);
        }
        harness.advance(10 * SECOND);
    }

    /** Completes attempts in flight one by one; returns the first requests sent as a result, up to the given count. */
    private static List<Long> completeAndCollectSends(SchedulerHarness harness, List<Long> inFlight, int count) {
        List<Long> order = new ArrayList<>();
        List<Long> pending = new ArrayList<>(inFlight);
        while (order.size() < count && !pending.isEmpty()) {
            int before = harness.sentIds().size();
            harness.now += 2 * MILLISECOND;
            harness.complete(pending.remove(0), Outcome.OK);
            List<Long> sent = harness.sentIds();
            order.addAll(sent.subList(before, sent.size()));
            pending.addAll(sent.subList(before, sent.size()));
        }
        return order.subList(0, Math.min(count, order.size()));
    }

    @Test
    void attemptsInFlightStayWithinConcurrencyLimit() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        int attempts = fillEndpoint(harness).size();
        assertTrue(attempts >= 1 && attempts <= 8);
    }

    @Test
    void oldestRequestOfLongestQueueIsServedFirst() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        List<Long> inFlight = fillEndpoint(harness);
        harness.request("read", 1, 1);
        long oldest = harness.request("read", 2, 1);
        long younger = harness.request("read", 2, 1);
        assertEquals(List.of(oldest), completeAndCollectSends(harness, inFlight, 1));
        assertEquals(0, harness.attempts(younger));
    }

    @Test
    void tieIsBrokenByFewestInFlight() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        List<Long> inFlight = fillEndpoint(harness);
        harness.request("read", 999, 1);
        long withoutAttempts = harness.request("read", 2, 1);
        assertEquals(List.of(withoutAttempts), completeAndCollectSends(harness, inFlight, 1));
    }

    @Test
    void flowFarAheadIsThrottled() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        List<Long> inFlight = fillEndpoint(harness);
        long small = harness.request("read", 1, 1);
        for (int i = 0; i < 4; i++) {
            harness.request("read", 2, 4);
        }
        List<Long> order = completeAndCollectSends(harness, inFlight, 5);
        assertTrue(order.indexOf(small) >= 0 && order.indexOf(small) < 4, "the long queue starved the short one");
    }

    @Test
    void lowestVirtualTimeIsServedWhenAllFlowsAreThrottled() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(2);
        // A flow on the other endpoint that is idle but still counts as active keeps the system virtual time low.
        RequestReceived otherShard = harness.newRequest("read", "free", 50, 1, 1, -1);
        harness.decide(otherShard);
        harness.complete(otherShard.id(), Outcome.OK);
        List<Long> inFlight = fillEndpoint(harness);
        for (int i = 0; i < 3; i++) {
            harness.request("read", 2, 6);
        }
        assertEquals(
                3,
                completeAndCollectSends(harness, inFlight, 3).size(),
                "a slot is free and requests are held, but they were not served");
    }

    @Test
    void chargeIsDividedByWeight() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        measureFastResponses(harness);
        List<Long> inFlight = fillEndpoint(harness);
        List<Long> heavy = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            harness.request("read", 1, 4);
            if (i % 2 == 0) {
                RequestReceived received = harness.newRequest("read", "heavy", 2, 4, 0, -1);
                harness.decide(received);
                heavy.add(received.id());
            }
        }
        // The flow of the longer queue first runs ahead by the throttle threshold; from then on, the flow of weight 2
        // is served twice as often.
        List<Long> order = completeAndCollectSends(harness, inFlight, 12);
        assertEquals(12, order.size());
        assertEquals(6, order.stream().filter(heavy::contains).count());
    }

    @Test
    void idleFlowAccumulatesNoCredit() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        measureFastResponses(harness);
        harness.complete(harness.request("read", 1, 1), Outcome.OK);
        harness.advance(10 * SECOND);
        List<Long> inFlight = fillEndpoint(harness);
        for (int i = 0; i < 3; i++) {
            harness.request("read", 3, 8);
        }
        inFlight.addAll(completeAndCollectSends(harness, inFlight, 1));
        for (int i = 0; i < 2; i++) {
            harness.request("read", 3, 1);
        }
        long returning = harness.request("read", 1, 1);
        harness.request("read", 1, 1);
        // If it kept its old, low virtual time, the returning flow would throttle the other flow and be served first.
        List<Long> next = completeAndCollectSends(
                harness, new ArrayList<>(inFlight.subList(inFlight.size() - 1, inFlight.size())), 1);
        assertEquals(1, next.size());
        assertFalse(next.contains(returning));
    }

    @Test
    void newObjectIsSentToEndpointWithMostFreeSlots() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(2);
        fillEndpoint(harness);
        RequestReceived newObject = harness.newRequest("read", "free", 5, 1, -1, -1);
        String endpoint = harness.decide(newObject).stream()
                .filter(action -> action instanceof SendAttempt)
                .map(action -> ((SendAttempt) action).endpoint())
                .findFirst()
                .orElse("none");
        assertEquals("n1", endpoint);
    }

    @Test
    void replacementEndpointReceivesAttemptsOfItsShard() {
        SchedulerHarness harness = SchedulerHarness.withEndpoints(1);
        harness.updateEndpoints(
                EndpointUpdateKind.DELTA,
                TestSettings.entry("n0", 0, EndpointState.DRAINING, 0),
                TestSettings.entry("new", 0, EndpointState.UP, 0));
        long id = harness.request("read", 1, 1);
        assertEquals(1, harness.attempts(id));
        assertEquals(1, harness.inFlightAt("new"));
    }
}
