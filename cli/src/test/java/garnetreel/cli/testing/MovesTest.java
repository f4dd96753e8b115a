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

/** Extents that move amid faults, in the emulator: the rules hold, and all that was acknowledged is read back. */
class MovesTest {
    private static ScenarioRunner.Result play(long seed, Trace trace) throws Exception {
        return new ScenarioRunner(
                        ScenarioFile.read(Path.of("../days/moves.hcl")).scenario(seed, 10_000),
                        new Simulation(1_000_000_000_000L, seed, new Simulation.Delays(50, 200)),
                        trace,
                        UnaryOperator.identity())
                .run();
    }

    @Test
    void movesAmidTroublesLoseAndRepeatNothing() throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            ScenarioRunner.Result result = play(seed, Trace.NONE);
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
            assertTrue(stale > 0, "no request met a moved extent: nothing was put to the test");
        }
    }

    @Test
    void sameSeedGoesTheSameWay() throws Exception {
        TraceHash first = new TraceHash();
        TraceHash second = new TraceHash();
        play(5, first);
        play(5, second);
        assertEquals(first.hex(), second.hex());
    }

    @Test
    void noNodeRunsAnExtentThatItDoesNotServe() throws Exception {
        // Two nodes never run requests for one extent under one version, and none after its release.
        ScenarioRunner.Result result = play(4, Trace.NONE);
        java.util.Map<String, String> owner = new java.util.HashMap<>();
        for (TraceEvent e : result.events()) {
            if (e.kind() == Kind.EXECUTE && e.version() > 0 && !e.operation().equals("flush")) {
                String extent = e.volume() + "/" + e.offset() / (256 << 10) + "@" + e.version();
                assertEquals(owner.computeIfAbsent(extent, any -> e.observer()), e.observer(), extent);
            }
        }
        assertTrue(owner.size() > 200);
    }
}
