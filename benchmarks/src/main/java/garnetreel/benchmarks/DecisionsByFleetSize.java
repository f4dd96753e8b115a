package garnetreel.benchmarks;

import garnetreel.policy.FairQueueScheduler;
import garnetreel.policy.action.SchedulerAction;
import garnetreel.policy.action.SendAttempt;
import garnetreel.policy.config.DeduplicationScope;
import garnetreel.policy.config.Idempotency;
import garnetreel.policy.config.Plan;
import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.event.AttemptCompleted;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.RequestReceived;
import garnetreel.policy.event.TimerExpired;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Time that the scheduler uses for one request, from its arrival to its response, by number of storage nodes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionsByFleetSize {
    /** In microseconds, as all times here. */
    private static final long SECOND = 1_000_000;

    private static final long ARRIVAL_INTERVAL = 20_000;
    private static final long RESPONSE_TIME = 5_000;
    private static final int VOLUMES = 200;
    private static final int NODES_PER_SHARD = 2;

    /** Number of storage nodes, two for each shard. */
    @Param({"200", "800", "3200"})
    public int nodes;

    private FairQueueScheduler scheduler;
    private long now = 1_000 * SECOND;
    private long lastRequestId;

    /** Creates a scheduler with an endpoint list of all nodes. */
    @Setup
    public void setUp() {
        RequestClass read = new RequestClass(
                "read",
                400_000,
                0,
                2 * SECOND,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false,
                0,
                1,
                false,
                false);
        Plan plan = new Plan("plan", 0, 0, 0, 1, 1_000, 500, 1);
        SafetyRules rules =
                new SafetyRules(50_000, 0, 3, 0.1, 5 * SECOND, 0.2, 10 * SECOND, 250_000, 2.5, 2 * SECOND, 0);
        scheduler = new FairQueueScheduler(
                new SchedulerSettings(
                        0,
                        100,
                        true,
                        List.of(read),
                        List.of(plan),
                        rules,
                        0,
                        2,
                        8,
                        1,
                        1,
                        false,
                        0,
                        3,
                        false,
                        false,
                        false,
                        false,
                        SECOND,
                        250_000,
                        2_000),
                1);
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            entries.add(new EndpointEntry("s-" + i, "a", i / NODES_PER_SHARD, EndpointState.UP, 1, 0));
        }
        scheduler.decide(now, List.of(new EndpointUpdate(EndpointUpdateKind.SNAPSHOT, entries)));
    }

    /** Handles one request, to each shard in turn, and the response of each node to which it is sent. */
    @Benchmark
    public int arrivalToResponse() {
        now += ARRIVAL_INTERVAL;
        long id = ++lastRequestId;
        int shard = (int) (id % (nodes / NODES_PER_SHARD));
        int actionCount = 0;
        for (SchedulerAction action : scheduler.decide(
                now,
                List.of(
                        new RequestReceived(
                                id, "read", "plan", -1, now + 2 * SECOND, id % VOLUMES, 2, shard, 1, false, false),
                        new TimerExpired("look")))) {
            if (action instanceof SendAttempt send) {
                actionCount += scheduler
                        .decide(
                                now + RESPONSE_TIME,
                                List.of(new AttemptCompleted(
                                        send.id(),
                                        0,
                                        send.endpoint(),
                                        Outcome.OK,
                                        RESPONSE_TIME,
                                        true,
                                        0,
                                        0,
                                        Map.of())))
                        .size();
            }
        }
        return actionCount;
    }
}
