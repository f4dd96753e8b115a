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

/** The hard cases of the extent map as emulated scenarios: rules kept, all read back, and the case did come about. */
class MapScenariosTest {
    private final List<StateMachine> heads = new ArrayList<>();

    private ScenarioRunner.Result play(String scenario, long seed) throws Exception {
        UnaryOperator<StateMachine> note = head -> {
            heads.add(head);
            return head;
        };
        ScenarioRunner.Result result = new ScenarioRunner(
                        ScenarioFile.read(Path.of("../days/" + scenario + ".hcl"))
                                .scenario(seed, 10_000),
                        new Simulation(1_000_000_000_000L, seed, new Simulation.Delays(50, 200)),
                        Trace.NONE,
                        note)
                .run();
        for (Verdict verdict : result.verdicts()) {
            assertTrue(verdict.isKept(), scenario + ", seed " + seed + ": " + verdict);
        }
        assertEquals(0, result.unverified(), scenario + ", seed " + seed);
        return result;
    }

    private static long count(ScenarioRunner.Result result, Predicate<TraceEvent> what) {
        return result.events().stream().filter(what).count();
    }

    private static long begin(ScenarioRunner.Result result) {
        return result.events().stream()
                .filter(e -> e.kind() == Kind.REQUEST)
                .mapToLong(TraceEvent::time)
                .min()
                .orElseThrow();
    }

    private static boolean served(TraceEvent e) {
        return e.kind() == Kind.MIGRATION_STEP
                && e.operation().equals("serve")
                && e.outcome().equals("ok");
    }

    private static boolean stale(TraceEvent e) {
        return e.kind() == Kind.ANSWER && e.outcome().equals("stale");
    }

    /** A gateway away through two moves of 24 extents, half of which end where they began. */
    @Test
    void headReturnsWithAMapSeveralVersionsOld() throws Exception {
        ScenarioRunner.Result result = play("aba", 1);
        long back = begin(result) + 18_000_000;
        // Of an extent that is back at its first shard, the first version is refused there: the place is right, the
        // version old, and what the extent holds was written elsewhere meanwhile.
        long sameShard = count(
                result,
                e -> stale(e)
                        && e.time() > back
                        && e.counterpart().equals("0")
                        && e.version() == 1
                        && e.offset() / (256 << 10) % 2 == 0
                        && e.offset() / (256 << 10) % 4 == e.shard());
        assertTrue(sameShard > 0, "the returned head was not refused where an extent went away and came back");
        assertTrue(
                count(
                                result,
                                e -> e.kind() == Kind.EXECUTE
                                        && e.time() > back + 6_000_000
                                        && e.counterpart().equals("0")
                                        && e.version() > 1)
                        > 0,
                "the returned head learned nothing");
    }

    @Test
    void requestsAcrossBordersOfExtentsThatMove() throws Exception {
        ScenarioRunner.Result result = play("borders", 1);
        // Requests of which one part met a moved extent while another ran, and that were answered as served.
        Map<Long, Set<String>> parts = new HashMap<>();
        for (TraceEvent e : result.events()) {
            if (stale(e)) {
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
                "no request met a moved extent on one side of a border alone");
    }

    /** Old holders that the service can't reach keep what they hold: no newer version of it is served elsewhere. */
    @Test
    void holdersThatAreCutOffKeepWhatTheyHold() throws Exception {
        ScenarioRunner.Result result = play("cut-off", 2);
        long from = begin(result) + 6_500_000;
        long to = begin(result) + 15_500_000;
        Map<String, String> holder = new HashMap<>();
        Set<String> cut = Set.of("n1", "n4");
        long ranAtCut = 0;
        List<TraceEvent> events = new ArrayList<>(result.events());
        events.sort(java.util.Comparator.comparingLong(TraceEvent::time));
        for (TraceEvent e : events) {
            if (e.kind() != Kind.EXECUTE || e.version() == 0 || e.operation().equals("flush")) {
                continue;
            }
            String extent = e.volume() + "/" + e.offset() / (256 << 10);
            String before = holder.put(extent, e.observer());
            if (e.time() > from && e.time() < to) {
                ranAtCut += cut.contains(e.observer()) ? 1 : 0;
                assertTrue(
                        before == null || before.equals(e.observer()) || !cut.contains(before),
                        extent + " ran at " + before + ", which is cut off, and then at " + e.observer());
            }
        }
        assertTrue(ranAtCut > 100, "heads did not reach the nodes that were cut off");
        assertTrue(count(result, e -> served(e) && e.time() > to) > 20, "moves did not go on after it");
    }

    @Test
    void serviceThatWentBackMovesNothingUntilItHasAdoptedWhatNodesHold() throws Exception {
        for (long seed = 1; seed <= 2; seed++) {
            ScenarioRunner.Result result = play("restore", seed);
            long restored = begin(result) + 12_500_000;
            long adopted = restored + 3_000_000;
            assertEquals(
                    0,
                    count(result, e -> served(e) && e.time() > restored + 300_000 && e.time() < adopted),
                    "it moved extents by a map that it knew to be old");
            assertTrue(count(result, e -> served(e) && e.time() > adopted) > 20, "nothing moved any more");
        }
    }

    @Test
    void rebalancerEmptiesAShardAndRelievesAnAgeingNode() throws Exception {
        ScenarioRunner.Result result = play("rebalance", 1);
        long begin = begin(result);
        long length = 45_000_000;
        assertEquals(
                0,
                count(
                        result,
                        e -> e.kind() == Kind.EXECUTE
                                && e.shard() == 7
                                && !e.operation().equals("flush")
                                && e.time() > begin + length - 5_000_000),
                "shard 7 drains and still serves");
        assertEquals(
                0,
                count(result, e -> served(e) && e.shard() == 7 && e.time() > begin + 5_500_000),
                "a draining shard was given an extent");
        assertTrue(
                count(
                                result,
                                e -> e.kind() == Kind.MIGRATION_STEP
                                        && e.operation().equals("release")
                                        && e.shard() == 2
                                        && e.outcome().equals("ok")
                                        && e.time() > begin + 8_000_000)
                        > 3,
                "the ageing node gave nothing away");
        long cold = begin + 17_000_000;
        assertEquals(
                0,
                count(
                        result,
                        e -> served(e) && e.shard() == 0 && e.time() > cold + 100_000 && e.time() < cold + 9_000_000),
                "a cold node was given an extent");
        // Nothing goes back and forth: an extent rests after a move unless its shard drains.
        Map<String, Long> last = new HashMap<>();
        result.events().stream().filter(MapScenariosTest::served).forEach(e -> {
            Long before = last.put(e.volume() + "/" + e.key(), e.time());
            assertTrue(before == null || e.time() - before > 9_000_000, "moved twice within its rest: " + e);
        });
    }

    @Test
    void manyHeadsGoOnWhileTheServiceIsSilentAndComeBackAtOnce() throws Exception {
        ScenarioRunner.Result result = play("many-heads", 1);
        long silent = begin(result) + 8_000_000;
        long asked =
                count(result, e -> e.kind() == Kind.REQUEST && e.time() > silent && e.time() < silent + 60_000_000);
        long done = count(
                result,
                e -> e.kind() == Kind.REPLY
                        && e.time() > silent
                        && e.time() < silent + 60_000_000
                        && e.volume() != 3
                        && (e.outcome().equals("served") || e.outcome().equals("late")));
        assertTrue(done > 0.9 * asked * 110 / 118, done + " of " + asked + " served while the map service was silent");
        // The last 160 are the lives after all gateways died at once; the service answers 50 subscribes a second.
        List<StateMachine> last = heads.subList(heads.size() - 160, heads.size());
        long version = last.stream()
                .mapToLong(h -> ((Gateway) h).statistics().mapVersion())
                .max()
                .orElseThrow();
        assertEquals(
                160,
                last.stream()
                        .filter(h -> ((Gateway) h).statistics().mapVersion() == version)
                        .count());
    }
}
