package garnetreel.cli.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.config.HclFile;
import garnetreel.cli.config.Settings;
import garnetreel.core.GatewaySettings;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.io.StateMachine;
import garnetreel.emulator.Simulation;
import garnetreel.policy.FairQueueScheduler;
import garnetreel.policy.Scheduler;
import garnetreel.policy.action.FailRequest;
import garnetreel.policy.action.RejectRequest;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.testbed.rules.Verdict;
import garnetreel.testbed.scenario.Scenario;
import garnetreel.testbed.scenario.ScenarioRunner;
import garnetreel.testbed.trace.Trace;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Tests the rules checker: for a gateway with one fault, it reports just the rule that the fault breaks. */
class RulesCheckerMutationTest {
    private static final long TRANSIT = 10_000;
    private static final int SEED = 3;

    /**
     * The scenario bad.hcl with text replaced.
     *
     * @param changes pairs of old and new text
     */
    private static Scenario badScenario(String... changes) throws Exception {
        // Errors on more nodes, so that the normal traffic reveals a faulty gateway.
        String text = Files.readString(Path.of("../days/bad.hcl"))
                .replace("nodes  = [\"n7\"]", "nodes  = [\"n0\", \"n1\", \"n3\", \"n7\"]");
        for (int i = 0; i < changes.length; i += 2) {
            assertTrue(text.contains(changes[i]), changes[i]);
            text = text.replace(changes[i], changes[i + 1]);
        }
        return ScenarioFile.of("bad", Settings.of(HclFile.parse("bad.hcl", text)))
                .scenario(SEED, TRANSIT);
    }

    private static List<Integer> broken(Scenario scenario) {
        return broken(scenario, UnaryOperator.identity());
    }

    private static List<Integer> broken(Scenario scenario, UnaryOperator<StateMachine> wrapper) {
        ScenarioRunner.Result result = new ScenarioRunner(
                        scenario,
                        new Simulation(1_000_000_000_000L, scenario.seed(), new Simulation.Delays(50, 200)),
                        Trace.NONE,
                        wrapper)
                .run();
        List<Integer> broken = new ArrayList<>();
        for (Verdict verdict : result.verdicts()) {
            assertTrue(verdict.checks() > 0 || !scenario.name().equals("bad"), verdict.name() + " was never checked");
            // A wrong answer to a write also breaks the verdict on data read later, which is none of the seven rules.
            if (!verdict.isKept() && verdict.rule() <= 7) {
                broken.add(verdict.rule());
            }
        }
        return broken;
    }

    private static List<Integer> brokenWith(BiFunction<SchedulerSettings, Long, Scheduler> scheduler) throws Exception {
        return brokenWith(badScenario(), scheduler);
    }

    private static List<Integer> brokenWith(
            Scenario scenario, BiFunction<SchedulerSettings, Long, Scheduler> scheduler) {
        return broken(scenario.withGateways(scenario.gatewaySettings(), scheduler));
    }

    /** A scheduler with settings that differ from those of the checker. */
    private static BiFunction<SchedulerSettings, Long, Scheduler> withSettings(
            UnaryOperator<List<RequestClass>> classes,
            UnaryOperator<List<Plan>> plans,
            UnaryOperator<SafetyRules> rules) {
        return (s, seed) -> new FairQueueScheduler(
                new SchedulerSettings(
                        s.gatewayIndex(),
                        s.gateways(),
                        s.subscribe(),
                        classes.apply(s.classes()),
                        plans.apply(s.plans()),
                        rules.apply(s.rules()),
                        s.coldEndpointCapacity(),
                        s.meanUnits(),
                        s.maxUnits(),
                        s.provisionedWeight(),
                        s.excessWeight(),
                        s.reportsOtherGateways(),
                        s.meteringPeriod(),
                        s.maxAttempts(),
                        s.hedging(),
                        s.cancellation(),
                        s.healthChecks(),
                        s.marksRetries(),
                        s.maxRetryAfter(),
                        s.connectTimeout(),
                        s.timerResolution()),
                seed);
    }

    /** A scheduler with altered entries of the node list. */
    private static BiFunction<SchedulerSettings, Long, Scheduler> withEndpoints(
            Function<EndpointEntry, EndpointEntry> view) {
        return (settings, seed) -> {
            FairQueueScheduler scheduler = new FairQueueScheduler(settings, seed);
            return (now, events) -> {
                List<SchedulerEvent> changed = new ArrayList<>();
                for (SchedulerEvent event : events) {
                    changed.add(
                            event instanceof EndpointUpdate update && update.kind() != EndpointUpdateKind.UNAVAILABLE
                                    ? new EndpointUpdate(
                                            update.kind(),
                                            update.entries().stream().map(view).toList())
                                    : event);
                }
                return scheduler.decide(now, changed);
            };
        };
    }

    @Test
    void correctGatewayBreaksNoRule() throws Exception {
        assertEquals(List.of(), broken(badScenario()));
    }

    @Test
    void lateAnswersBreakRule1() throws Exception {
        Scenario scenario = badScenario();
        Function<Scenario.GatewayParameters, GatewaySettings> withLateReplies = parameters -> {
            GatewaySettings s = scenario.gatewaySettings().apply(parameters);
            return new GatewaySettings(
                    s.gatewayNumber(),
                    s.incarnation(),
                    s.nbdAddress(),
                    s.nodeListAddress(),
                    s.mapServiceAddress(),
                    s.scheduling(),
                    s.volumes(),
                    -500_000,
                    s.bounds(),
                    s.connections(),
                    s.files());
        };
        assertEquals(List.of(1), broken(scenario.withGateways(withLateReplies, scenario.scheduler())));
    }

    @Test
    void stalledGatewayBreaksNoRuleUnlessItIsLateAfterItResumes() throws Exception {
        Scenario scenario =
                ScenarioFile.read(Path.of("../days/balancer-long-stall.hcl")).scenario(SEED, TRANSIT);
        assertEquals(List.of(), broken(scenario));
        // One gateway handles requests that its clients abandoned during its stall as new ones; the other replies late
        // after it resumes.
        assertEquals(List.of(1), broken(scenario, HidesItsStall::new));
        assertEquals(List.of(1), broken(scenario, RepliesLateAfterResuming::new));
    }

    private static boolean resumes(long now, long before) {
        return before > 0 && now - before > 1_000_000;
    }

    /** Gives a gateway turns without events for the time of its stall, so that it cannot detect the stall. */
    private record MissedTurns(StateMachine gateway, long[] lastTurn) {
        void run(long now, List<NetAction> actions) {
            for (long at = lastTurn[0] + 50_000; resumes(now, lastTurn[0]) && at < now; at += 50_000) {
                gateway.handle(at, List.of(), actions);
            }
            lastTurn[0] = now;
        }
    }

    /** A gateway that does not detect that it was stalled. */
    private static final class HidesItsStall implements StateMachine {
        private final MissedTurns missedTurns;

        HidesItsStall(StateMachine gateway) {
            missedTurns = new MissedTurns(gateway, new long[1]);
        }

        @Override
        public void handle(long now, List<NetEvent> events, List<NetAction> actions) {
            missedTurns.run(now, actions);
            missedTurns.gateway().handle(now, events, actions);
        }

        @Override
        public long nextDeadline() {
            return missedTurns.gateway().nextDeadline();
        }
    }

    /** Delays the actions of the turn in which the gateway resumes by half a second. */
    private static final class RepliesLateAfterResuming implements StateMachine {
        private static final long DELAY = 500_000;
        private final StateMachine gateway;
        private final List<NetAction> heldActions = new ArrayList<>();
        private long lastTurn;
        private long heldUntil;

        RepliesLateAfterResuming(StateMachine gateway) {
            this.gateway = gateway;
        }

        @Override
        public void handle(long now, List<NetEvent> events, List<NetAction> actions) {
            heldUntil = resumes(now, lastTurn) ? now + DELAY : heldUntil;
            lastTurn = now;
            if (now >= heldUntil) {
                actions.addAll(heldActions);
                heldActions.clear();
                gateway.handle(now, events, actions);
            } else {
                gateway.handle(now, events, heldActions);
            }
        }

        @Override
        public long nextDeadline() {
            return heldActions.isEmpty()
                    ? gateway.nextDeadline()
                    : Math.min(gateway.nextDeadline(), Math.max(heldUntil, lastTurn));
        }
    }

    @Test
    void rejectionOfRequestsThatMayHaveRunBreaksRule2() throws Exception {
        assertEquals(List.of(2), brokenWith((settings, seed) -> {
            FairQueueScheduler scheduler = new FairQueueScheduler(settings, seed);
            return (now, events) -> {
                List<SchedulerAction> changed = new ArrayList<>();
                for (SchedulerAction action : scheduler.decide(now, events)) {
                    changed.add(action instanceof FailRequest fail ? new RejectRequest(fail.id(), 0) : action);
                }
                return changed;
            };
        }));
    }

    @Test
    void ignoredDrainsBreakRule3() throws Exception {
        assertEquals(
                List.of(3),
                brokenWith(withEndpoints(e -> new EndpointEntry(
                        e.name(), e.zone(), e.shard(), EndpointState.UP, e.weight(), e.startedAt()))));
    }

    @Test
    void coldNodesTreatedAsWarmBreakRule4() throws Exception {
        // The node capacity is low, like the normal traffic of this scenario; a correct gateway keeps the rule
        // nevertheless.
        Scenario lowCapacity = badScenario("power       = 250", "power       = 36");
        assertEquals(List.of(), broken(lowCapacity));
        assertEquals(
                List.of(4),
                brokenWith(
                        lowCapacity,
                        withSettings(
                                c -> c,
                                p -> p,
                                r -> new SafetyRules(
                                        r.responseGrace(),
                                        r.pollInterval(),
                                        r.freeRetries(),
                                        r.retryRatio(),
                                        r.retryWindow(),
                                        1,
                                        0,
                                        r.drainGrace(),
                                        0,
                                        0,
                                        r.keyQuietPeriod()))));
    }

    @Test
    void ignoredOrderOfKeysBreaksRule5() throws Exception {
        // Few keys, so that many requests have the same key.
        Scenario fewKeys = badScenario("unit = \"16KiB\"", "unit = \"16KiB\"\n  key = \"2MiB\"");
        assertEquals(List.of(), broken(fewKeys));
        assertEquals(
                List.of(5),
                brokenWith(
                        fewKeys,
                        withSettings(
                                classes -> classes.stream()
                                        .map(c -> new RequestClass(
                                                c.name(),
                                                c.latencyObjective(),
                                                c.latencyObjectiveStretch(),
                                                c.timeLimit(),
                                                c.idempotency(),
                                                c.deduplicationScope(),
                                                c.lateCredit(),
                                                c.streaming(),
                                                c.deduplicationWindow(),
                                                c.priorityWeight(),
                                                false,
                                                c.writes()))
                                        .toList(),
                                p -> p,
                                r -> r)));
    }

    @Test
    void ignoredRetryBudgetBreaksRule6() throws Exception {
        assertEquals(
                List.of(6),
                brokenWith(withSettings(
                        c -> c,
                        p -> p,
                        r -> new SafetyRules(
                                r.responseGrace(),
                                r.pollInterval(),
                                0,
                                0,
                                0,
                                r.initialCapacityFraction(),
                                r.warmUpDuration(),
                                r.drainGrace(),
                                r.overloadMultiple(),
                                r.overloadWindow(),
                                r.keyQuietPeriod()))));
    }

    @Test
    void ignoredLimitsBreakRule7() throws Exception {
        assertEquals(
                List.of(7),
                brokenWith(withSettings(
                        c -> c,
                        plans -> plans.stream()
                                .map(p -> new Plan(
                                        p.name(),
                                        0,
                                        p.burst(),
                                        p.slack(),
                                        p.priorityFactor(),
                                        p.provisionedRate(),
                                        p.reservedRate(),
                                        p.weight()))
                                .toList(),
                        r -> r)));
    }
}
