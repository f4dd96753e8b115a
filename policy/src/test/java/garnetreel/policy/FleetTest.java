package garnetreel.policy;

import static garnetreel.policy.TestSettings.MILLISECOND;
import static garnetreel.policy.TestSettings.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.policy.event.TimerExpired;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The combined behaviour of many gateways with equal demand that send to one endpoint and do not communicate with each
 * other.
 */
class FleetTest {
    private static final double CAPACITY = 100;
    private static final double UNITS = 2;

    private final Random random = new Random(11);
    private final List<FairQueueScheduler> gateways = new ArrayList<>();
    private final List<Long> sentAt = new ArrayList<>();
    private long now = 100 * SECOND;
    private long nextId;

    private void startGateways(int count) {
        for (int i = 0; i < count; i++) {
            gateways.add(null);
            restartGateway(i, count);
        }
    }

    private void restartGateway(int gateway, int count) {
        SchedulerSettings settings =
                TestSettings.settings(count, false, TestSettings.settings().classes());
        gateways.set(gateway, new FairQueueScheduler(settings, gateway));
        deliverSnapshot(gateway, 0);
    }

    private void deliverSnapshot(int gateway, long startedAt) {
        gateways.get(gateway)
                .decide(
                        now,
                        List.of(new EndpointUpdate(
                                EndpointUpdateKind.SNAPSHOT,
                                List.of(TestSettings.entry("n0", 0, EndpointState.UP, startedAt)))));
    }

    /**
     * Delivers one request to a random gateway, and a response after the given time to each attempt sent. Returns
     * whether the request was sent.
     */
    private boolean request(long responseTime) {
        FairQueueScheduler gateway = gateways.get(random.nextInt(gateways.size()));
        long id = nextId++;
        boolean wasSent = false;
        SchedulerEvent received =
                new RequestReceived(id, "read", "free", -1, now + 2 * SECOND, id % 40, UNITS, 0, 4, false, false);
        for (SchedulerAction action : gateway.decide(now, List.of(received))) {
            if (action instanceof SendAttempt send) {
                wasSent |= send.id() == id;
                sentAt.add(now);
                gateway.decide(
                        now + responseTime,
                        List.of(
                                new AttemptCompleted(
                                        send.id(), 0, "n0", Outcome.OK, responseTime, true, 0, 0, Map.of()),
                                new TimerExpired("look")));
            }
        }
        return wasSent;
    }

    /** Generates steady demand for the given time; returns the units sent per second. */
    private double run(long duration, double unitsPerSecond, long responseTime) {
        long until = now + duration;
        int sentRequests = 0;
        while (now < until) {
            now += (long) (SECOND * UNITS / unitsPerSecond);
            sentRequests += request(responseTime) ? 1 : 0;
        }
        return sentRequests * UNITS * SECOND / duration;
    }

    /**
     * All gateways together stay within the capacity of a cold endpoint, yet send it requests from its first seconds
     * on.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 150})
    void coldEndpointIsUsedAtOnceWithoutOverload(int count) {
        startGateways(count);
        run(40 * SECOND, 0.6 * CAPACITY, 1 * MILLISECOND);
        long restartedAt = now;
        for (int i = 0; i < count; i++) {
            deliverSnapshot(i, restartedAt);
        }
        sentAt.clear();
        SafetyRules rules = TestSettings.rules();
        double firstRate = run(rules.overloadWindow(), 0.6 * CAPACITY, 1 * MILLISECOND);
        assertTrue(firstRate > 0.1 * CAPACITY, "cold endpoint underused, units per second: " + firstRate);
        for (long end = restartedAt + rules.overloadWindow();
                end < restartedAt + rules.warmUpDuration();
                end += SECOND) {
            run(restartedAt + rules.overloadWindow() == end ? MILLISECOND : SECOND, 0.6 * CAPACITY, 1 * MILLISECOND);
            long windowEnd = end;
            double units = UNITS
                    * sentAt.stream()
                            .filter(time -> time > windowEnd - rules.overloadWindow() && time <= windowEnd)
                            .count();
            double midWindowFraction = rules.initialCapacityFraction()
                    + (1 - rules.initialCapacityFraction())
                            * (end - rules.overloadWindow() / 2 - restartedAt)
                            / rules.warmUpDuration();
            double bound = rules.overloadMultiple() * midWindowFraction * CAPACITY * rules.overloadWindow() / SECOND;
            assertTrue(units <= bound, units + " units sent in the overload window, bound " + bound);
        }
        run(rules.overloadWindow(), 0.6 * CAPACITY, 1 * MILLISECOND);
        assertTrue(
                run(2 * SECOND, 0.6 * CAPACITY, 1 * MILLISECOND) > 0.55 * CAPACITY,
                "endpoint not fully used after warm-up");
    }

    /**
     * Gateways that have just started have no measurements. Together they send a cold endpoint little more
     * than the configured capacity that is always safe.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 150})
    void newGatewaysStayWithinColdEndpointCapacityInTotal(int count) {
        startGateways(count);
        for (int i = 0; i < count; i++) {
            deliverSnapshot(i, now);
        }
        double rate = run(2 * TestSettings.rules().overloadWindow(), 0.6 * CAPACITY, 50 * MILLISECOND);
        double safeRate = TestSettings.settings().coldEndpointCapacity()
                * SECOND
                / TestSettings.rules().overloadWindow();
        assertTrue(rate > 0 && rate < 1.5 * safeRate, rate + " units per second sent, safe rate " + safeRate);
    }

    /** The rate limit of a volume holds over all gateways, whatever their number, even when they restart in turn. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8})
    void rateLimitHoldsInTotalWhenGatewaysRestart(int count) {
        startGateways(count);
        Plan plan = TestSettings.settings().plans().get(2);
        double level = plan.burst();
        double total = 0;
        long step = 20 * MILLISECOND;
        for (int i = 0; i < 1_500; i++) {
            now += step;
            level = Math.min(plan.burst(), level + plan.rateLimit() * step / SECOND);
            if (i % 200 == 199) {
                restartGateway(i / 200 % count, count);
            }
            FairQueueScheduler gateway = gateways.get(random.nextInt(count));
            SchedulerEvent received =
                    new RequestReceived(nextId, "read", "capped", -1, now + 2 * SECOND, 1, 1, 0, count, false, false);
            for (SchedulerAction action : gateway.decide(now, List.of(received))) {
                if (action instanceof SendAttempt send) {
                    level -= 1;
                    total += 1;
                    gateway.decide(
                            now + MILLISECOND,
                            List.of(new AttemptCompleted(
                                    send.id(), 0, "n0", Outcome.OK, MILLISECOND, true, 0, 0, Map.of())));
                }
            }
            nextId++;
            assertTrue(level >= -plan.slack(), "rate limit exceeded: " + level);
        }
        assertTrue(
                total > 0.7 * plan.rateLimit() * 1_500 * step / SECOND,
                "units sent far below the rate limit: " + total);
    }

    /** Missing or invalid gateway counts are treated as unknown, and forward jumps of the clock lose no request. */
    @Test
    void invalidGatewayCountsAndClockJumpsLoseNoRequest() {
        startGateways(1);
        FairQueueScheduler gateway = gateways.get(0);
        int responses = 0;
        for (int count : new int[] {0, -3, Integer.MAX_VALUE, 5}) {
            now += 7 * SECOND;
            List<SchedulerAction> actions = gateway.decide(
                    now,
                    List.of(
                            new TimerExpired("look"),
                            new RequestReceived(
                                    nextId++, "once", "capped", -1, now + SECOND, count, 1, 0, count, false, false)));
            now += 9 * SECOND;
            responses += countFinalResponses(actions)
                    + countFinalResponses(gateway.decide(now, List.of(new TimerExpired("look"))));
        }
        assertTrue(responses == 4, responses + " final responses to 4 requests");
    }

    private static long countFinalResponses(List<SchedulerAction> actions) {
        return actions.stream()
                .filter(action -> action instanceof RejectRequest || action instanceof FailRequest)
                .count();
    }

    /**
     * Many gateways that each keep just one request in flight must not keep the queue of an overloaded endpoint from
     * draining (incident i4e73b4).
     */
    @Test
    void gatewaysBackOffFromOverloadedEndpointAndReturn() {
        startGateways(150);
        double before = run(20 * SECOND, 0.6 * CAPACITY, 20 * MILLISECOND);
        run(10 * SECOND, 0.6 * CAPACITY, 1500 * MILLISECOND);
        double overloaded = run(10 * SECOND, 0.6 * CAPACITY, 1500 * MILLISECOND);
        assertTrue(overloaded < 0.5 * before, overloaded + " units per second sent under overload, before " + before);
        run(10 * SECOND, 0.6 * CAPACITY, 20 * MILLISECOND);
        double after = run(10 * SECOND, 0.6 * CAPACITY, 20 * MILLISECOND);
        assertTrue(after > 0.9 * before, after + " units per second sent after the overload, before " + before);
    }
}
