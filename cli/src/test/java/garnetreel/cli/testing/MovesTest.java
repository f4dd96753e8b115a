package garnetreel.cli.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.emulator.Simulation;
import garnetreel.testbed.rules.Verdict;
import garnetreel.testbed.scenario.ScenarioRunner;
import garnetreel.testbed.trace.Trace;
import garnetreel.testbed.trace.TraceEvent;
import garnetreel.testbed.trace.TraceEvent.Kind;
import garnetreel.testbed.trace.TraceHash;
import java.nio.file.Path;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Migrations during faults, in the emulator: the rules are kept, and all acknowledged writes are read back. */
class MovesTest {
    private static ScenarioRunner.Result run(long seed, Trace trace) throws Exception {
        return new ScenarioRunner(
                        ScenarioFile.read(Path.of("../days/moves.hcl")).scenario(seed, 10_000),
                        new Simulation(1_000_000_000_000L, seed, new Simulation.Delays(50, 200)),
                        trace,
                        UnaryOperator.identity())
                .run();
    }

    @Test
    void migrationsDuringFaultsLoseAndRepeatNothing() throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            ScenarioRunner.Result result = run(seed, Trace.NONE);
            for (Verdict verdict : result.verdicts()) {
                assertTrue(verdict.isKept(), "seed " + seed + ": " + verdict);
            }
            assertEquals(0, result.unverified());
            long moved = result.events().stream()
                    .filter(e -> e.kind() == Kind.MIGRATION_STEP
                            && e.operation().equals("serve")
                            && e.outcome().equals("ok"))
                    .count();
            long stale = result.events().stream()
                    .filter(e -> e.kind() == Kind.ANSWER && e.outcome().equals("stale"))
                    .count();
            assertTrue(moved > 100, moved + " moves");
            assertTrue(stale > 0, "no request got a stale answer: the case did not occur");
        }
    }

    @Test
    void sameSeedGivesTheSameTrace() throws Exception {
        TraceHash first = new TraceHash();
        TraceHash second = new TraceHash();
        run(5, first);
        run(5, second);
        assertEquals(first.hex(), second.hex());
    }

    @Test
    void eachVersionOfAnExtentRunsOnOneNode() throws Exception {
        // No two nodes run requests for the same version of an extent, so no node runs them after its release.
        ScenarioRunner.Result result = run(4, Trace.NONE);
        java.util.Map<String, String> owner = new java.util.HashMap<>();
        for (TraceEvent e : result.events()) {
            if (e.kind() == Kind.EXECUTE && e.version() > 0 && !e.operation().equals("flush")) {
                String extent = e.volume() + "/" + e.offset() / (256 << 10) + "@" + e.version();
                assertEquals(owner.computeIfAbsent(extent, key -> e.observer()), e.observer(), extent);
            }
        }
        assertTrue(owner.size() > 200);
    }
}
