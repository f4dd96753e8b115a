package garnetreel.cli.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.Gateway;
import garnetreel.core.io.StateMachine;
import garnetreel.emulator.Simulation;
import garnetreel.testbed.rules.Verdict;
import garnetreel.testbed.scenario.ScenarioRunner;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Edge cases of the extent map as emulated scenarios: rules are kept, data is verified, and the case did occur. */
class MapScenariosTest {
    private final List<StateMachine> gateways = new ArrayList<>();

    private ScenarioRunner.Result run(String scenario, long seed) throws Exception {
        UnaryOperator<StateMachine> wrapper = gateway -> {
            gateways.add(gateway);
            return gateway;
        };
        ScenarioRunner.Result result = new ScenarioRunner(
                        ScenarioFile.read(Path.of("../days/" + scenario + ".hcl"))
                                .scenario(seed, 10_000),
                        new Simulation(1_000_000_000_000L, seed, new Simulation.Delays(50, 200)),
                        Trace.NONE,
                        wrapper)
                .run();
        for (Verdict verdict : result.verdicts()) {
            assertTrue(verdict.isKept(), scenario + ", seed " + seed + ": " + verdict);
        }
        assertEquals(0, result.unverified(), scenario + ", seed " + seed);
        return result;
    }

    private static long count(ScenarioRunner.Result result, Predicate<TraceEvent> condition) {
        return result.events().stream().filter(condition).count();
    }

    private static long start(ScenarioRunner.Result result) {
        return result.events().stream()
                .filter(e -> e.kind() == Kind.REQUEST)
                .mapToLong(TraceEvent::time)
                .min()
                .orElseThrow();
    }

    /** Whether the event is the step of a migration in which the new shard starts to serve the extent. */
    private static boolean isMigrated(TraceEvent e) {
        return e.kind() == Kind.MIGRATION_STEP
                && e.operation().equals("serve")
                && e.outcome().equals("ok");
    }

    private static boolean isStale(TraceEvent e) {
        return e.kind() == Kind.ANSWER && e.outcome().equals("stale");
    }

    /** A gateway is down during two migrations of 24 extents, half of which end on their first shard. */
    @Test
    void gatewayRestartsWithAMapSeveralVersionsOld() throws Exception {
        ScenarioRunner.Result result = run("aba", 1);
        long restart = start(result) + 18_000_000;
        // An extent that is back on its first shard rejects its first version there: the shard is right, but the
        // version is old, and the data was written on another shard in the meantime.
        long sameShard = count(
                result,
                e -> isStale(e)
                        && e.time() > restart
                        && e.counterpart().equals("0")
                        && e.version() == 1
                        && e.offset() / (256 << 10) % 2 == 0
                        && e.offset() / (256 << 10) % 4 == e.shard());
        assertTrue(sameShard > 0, "the restarted gateway got no stale answer for an extent that moved away and back");
        assertTrue(
                count(
                                result,
                                e -> e.kind() == Kind.EXECUTE
                                        && e.time() > restart + 6_000_000
                                        && e.counterpart().equals("0")
                                        && e.version() > 1)
                        > 0,
                "the restarted gateway did not use a newer map version");
    }

    @Test
    void requestsAcrossBordersOfMigratingExtents() throws Exception {
        ScenarioRunner.Result result = run("borders", 1);
        // Served requests of which one part got a stale answer while another part ran.
        Map<Long, Set<String>> parts = new HashMap<>();
        for (TraceEvent e : result.events()) {
            if (isStale(e)) {
                parts.computeIfAbsent(e.tag(), any -> new HashSet<>()).add("stale");
            } else if (e.kind() == Kind.EXECUTE) {
                parts.computeIfAbsent(e.tag(), any -> new HashSet<>()).add("ran " + e.offset());
            } else if (e.kind() == Kind.REPLY
                    && (e.outcome().equals("served") || e.outcome().equals("late"))) {
                parts.computeIfAbsent(e.tag(), any -> new HashSet<>()).add("served");
            }
        }
        assertTrue(
                parts.values().stream().anyMatch(p -> p.contains("stale") && p.contains("served") && p.size() > 3),
                "no request got a stale answer on only one side of an extent border");
    }

    /** Extents of nodes that the map service cannot reach stay on those nodes: no other node serves a newer version. */
    @Test
    void extentsOfNodesCutOffFromTheMapServiceStay() throws Exception {
        ScenarioRunner.Result result = run("cut-off", 2);
        long from = start(result) + 6_500_000;
        long to = start(result) + 15_500_000;
        Map<String, String> lastNode = new HashMap<>();
        Set<String> cutOffNodes = Set.of("n1", "n4");
        long ranOnCutOffNodes = 0;
        List<TraceEvent> events = new ArrayList<>(result.events());
        events.sort(java.util.Comparator.comparingLong(TraceEvent::time));
        for (TraceEvent e : events) {
            if (e.kind() != Kind.EXECUTE || e.version() == 0 || e.operation().equals("flush")) {
                continue;
            }
            String extent = e.volume() + "/" + e.offset() / (256 << 10);
            String before = lastNode.put(extent, e.observer());
            if (e.time() > from && e.time() < to) {
                ranOnCutOffNodes += cutOffNodes.contains(e.observer()) ? 1 : 0;
                assertTrue(
                        before == null || before.equals(e.observer()) || !cutOffNodes.contains(before),
                        extent + " ran on " + before + ", which is cut off, and then on " + e.observer());
            }
        }
        assertTrue(ranOnCutOffNodes > 100, "gateways did not reach the nodes that were cut off");
        assertTrue(
                count(result, e -> isMigrated(e) && e.time() > to) > 20,
                "migrations did not continue after the network cut");
    }

    @Test
    void restoredServiceMigratesNothingBeforeItAdoptsTheMapsOfTheNodes() throws Exception {
        for (long seed = 1; seed <= 2; seed++) {
            ScenarioRunner.Result result = run("restore", seed);
            long restored = start(result) + 12_500_000;
            long adopted = restored + 3_000_000;
            assertEquals(
                    0,
                    count(result, e -> isMigrated(e) && e.time() > restored + 300_000 && e.time() < adopted),
                    "the map service migrated extents before it had adopted the maps of the nodes");
            assertTrue(count(result, e -> isMigrated(e) && e.time() > adopted) > 20, "migrations did not continue");
        }
    }

    @Test
    void rebalancerDrainsAShardAndMovesExtentsFromAnAgeingNode() throws Exception {
        ScenarioRunner.Result result = run("rebalance", 1);
        long start = start(result);
        long length = 45_000_000;
        assertEquals(
                0,
                count(
                        result,
                        e -> e.kind() == Kind.EXECUTE
                                && e.shard() == 7
                                && !e.operation().equals("flush")
                                && e.time() > start + length - 5_000_000),
                "shard 7 is drained and still serves");
        assertEquals(
                0,
                count(result, e -> isMigrated(e) && e.shard() == 7 && e.time() > start + 5_500_000),
                "an extent was migrated to a draining shard");
        assertTrue(
                count(
                                result,
                                e -> e.kind() == Kind.MIGRATION_STEP
                                        && e.operation().equals("release")
                                        && e.shard() == 2
                                        && e.outcome().equals("ok")
                                        && e.time() > start + 8_000_000)
                        > 3,
                "no extents were migrated from the ageing node");
        long cold = start + 17_000_000;
        assertEquals(
                0,
                count(
                        result,
                        e -> isMigrated(e)
                                && e.shard() == 0
                                && e.time() > cold + 100_000
                                && e.time() < cold + 9_000_000),
                "an extent was migrated to a cold node");
        // No oscillation: an extent does not move again within the rest period unless its shard drains.
        long draining = start + 5_000_000;
        Map<String, TraceEvent> last = new HashMap<>();
        result.events().stream().filter(MapScenariosTest::isMigrated).forEach(e -> {
            TraceEvent before = last.put(e.volume() + "/" + e.key(), e);
            boolean rested = before == null || e.time() - before.time() > 9_000_000;
            boolean drained = before != null && before.shard() == 7 && e.time() > draining;
            assertTrue(rested || drained, "moved twice within the rest period: " + e);
        });
    }

    @Test
    void manyGatewaysServeWhileTheMapServiceIsSilentAndRestartTogether() throws Exception {
        ScenarioRunner.Result result = run("many-heads", 1);
        long silent = start(result) + 8_000_000;
        long requested =
                count(result, e -> e.kind() == Kind.REQUEST && e.time() > silent && e.time() < silent + 60_000_000);
        long served = count(
                result,
                e -> e.kind() == Kind.REPLY
                        && e.time() > silent
                        && e.time() < silent + 60_000_000
                        && e.volume() != 3
                        && (e.outcome().equals("served") || e.outcome().equals("late")));
        // Volume 3 is not counted; the loads on the others send 110 of the 118 requests per second.
        assertTrue(
                served > 0.9 * requested * 110 / 118,
                served + " of " + requested + " served while the map service was silent");
        // The last 160 are the incarnations after all gateways were killed at once; the service answers 50 subscribes
        // per second.
        List<StateMachine> last = gateways.subList(gateways.size() - 160, gateways.size());
        long version = last.stream()
                .mapToLong(g -> ((Gateway) g).statistics().mapVersion())
                .max()
                .orElseThrow();
        assertEquals(
                160,
                last.stream()
                        .filter(g -> ((Gateway) g).statistics().mapVersion() == version)
                        .count());
    }
}
