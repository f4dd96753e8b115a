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

/** Each rule is broken on purpose by a gateway that is wrong in one thing; the checker finds just that rule broken. */
class RulesCheckerMutationTest {
    private static final long TRANSIT = 10_000;
    private static final int SEED = 3;

    /** The bad scenario with some of its text replaced: pairs of old and new. */
    private static Scenario badScenario(String... changes) throws Exception {
        // Errors at more nodes, so that a wrong gateway shows in the usual traffic.
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
            assertTrue(
                    verdict.checks() > 0 || !scenario.name().equals("bad"),
                    verdict.name() + " was not put to the test");
            // A wrong answer to a write shows in what is read later; that is no rule of its own.
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

    /** A module that is told other settings than hold. */
    private static BiFunction<SchedulerSettings, Long, Scheduler> told(
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

    /** A module that sees nodes otherwise than they are. */
    private static BiFunction<SchedulerSettings, Long, Scheduler> seeing(Function<EndpointEntry, EndpointEntry> view) {
        return (settings, seed) -> {
            FairQueueScheduler control = new FairQueueScheduler(settings, seed);
            return (now, events) -> {
                List<SchedulerEvent> changed = new ArrayList<>();
                for (SchedulerEvent event : events) {
                    changed.add(
                            event instanceof EndpointUpdate news && news.kind() != EndpointUpdateKind.UNAVAILABLE
                                    ? new EndpointUpdate(
                                            news.kind(),
                                            news.entries().stream().map(view).toList())
                                    : event);
                }
                return control.decide(now, changed);
            };
        };
    }

    @Test
    void theRightHeadBreaksNone() throws Exception {
        assertEquals(List.of(), broken(badScenario()));
    }

    @Test
    void answersThatComeTooLate() throws Exception {
        Scenario scenario = badScenario();
        Function<Scenario.GatewayParameters, GatewaySettings> late = place -> {
            GatewaySettings s = scenario.gatewaySettings().apply(place);
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
        assertEquals(List.of(1), broken(scenario.withGateways(late, scenario.scheduler())));
    }

    @Test
    void aStoppedHeadIsNotBlamedForItsSleepButForWhatItDoesAwake() throws Exception {
        Scenario scenario =
                ScenarioFile.read(Path.of("../days/balancer-long-stall.hcl")).scenario(SEED, TRANSIT);
        assertEquals(List.of(), broken(scenario));
        // A gateway that takes what its clients gave up on while it was stopped for new, and one that is late as it
        // wakes.
        assertEquals(List.of(1), broken(scenario, ForgetsItsSleep::new));
        assertEquals(List.of(1), broken(scenario, DawdlesAsItWakes::new));
    }

    private static boolean wakes(long now, long before) {
        return before > 0 && now - before > 1_000_000;
    }

    /** A gateway that is given turns while it is stopped, without what came: it can't know that it slept. */
    private record Dream(StateMachine head, long[] last) {
        void through(long now, List<NetAction> actions) {
            for (long at = last[0] + 50_000; wakes(now, last[0]) && at < now; at += 50_000) {
                head.handle(at, List.of(), actions);
            }
            last[0] = now;
        }
    }

    private static final class ForgetsItsSleep implements StateMachine {
        private final Dream dream;

        ForgetsItsSleep(StateMachine head) {
            dream = new Dream(head, new long[1]);
        }

        @Override
        public void handle(long now, List<NetEvent> events, List<NetAction> actions) {
            dream.through(now, actions);
            dream.head().handle(now, events, actions);
        }

        @Override
        public long nextDeadline() {
            return dream.head().nextDeadline();
        }
    }

    /** What it wrote in the turn in which it woke leaves half a second later. */
    private static final class DawdlesAsItWakes implements StateMachine {
        private static final long DAWDLE = 500_000;
        private final StateMachine head;
        private final List<NetAction> held = new ArrayList<>();
        private long last;
        private long until;

        DawdlesAsItWakes(StateMachine head) {
            this.head = head;
        }

        @Override
        public void handle(long now, List<NetEvent> events, List<NetAction> actions) {
            until = wakes(now, last) ? now + DAWDLE : until;
            last = now;
            if (now >= until) {
                actions.addAll(held);
                held.clear();
                head.handle(now, events, actions);
            } else {
                head.handle(now, events, held);
            }
        }

        @Override
        public long nextDeadline() {
            return held.isEmpty() ? head.nextDeadline() : Math.min(head.nextDeadline(), Math.max(until, last));
        }
    }

    @Test
    void refusalOfWhatMayHaveRun() throws Exception {
        assertEquals(List.of(2), brokenWith((settings, seed) -> {
            FairQueueScheduler control = new FairQueueScheduler(settings, seed);
            return (now, events) -> {
                List<SchedulerAction> changed = new ArrayList<>();
                for (SchedulerAction action : control.decide(now, events)) {
                    changed.add(action instanceof FailRequest fail ? new RejectRequest(fail.id(), 0) : action);
                }
                return changed;
            };
        }));
    }

    @Test
    void drainsIgnored() throws Exception {
        assertEquals(
                List.of(3),
                brokenWith(seeing(e -> new EndpointEntry(
                        e.name(), e.zone(), e.shard(), EndpointState.UP, e.weight(), e.startedAt()))));
    }

    @Test
    void coldNodesTakenForWarm() throws Exception {
        // What a node bears is set low, as the usual traffic of this scenario is: the right gateway keeps the rule even
        // so.
        Scenario weak = badScenario("power       = 250", "power       = 36");
        assertEquals(List.of(), broken(weak));
        assertEquals(
                List.of(4),
                brokenWith(
                        weak,
                        told(
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
    void orderOfKeysIgnored() throws Exception {
        // Few pieces of data, so that many requests meet at one.
        Scenario narrow = badScenario("unit = \"16KiB\"", "unit = \"16KiB\"\n  key = \"2MiB\"");
        assertEquals(List.of(), broken(narrow));
        assertEquals(
                List.of(5),
                brokenWith(
                        narrow,
                        told(
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
    void budgetIgnored() throws Exception {
        assertEquals(
                List.of(6),
                brokenWith(told(
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
    void limitsIgnored() throws Exception {
        assertEquals(
                List.of(7),
                brokenWith(told(
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
