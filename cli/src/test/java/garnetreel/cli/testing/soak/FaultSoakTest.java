package garnetreel.cli.testing.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A short fault soak with fixed seeds. Checks only invariants that compare no times; the fault-soak command checks all.
 */
@Timeout(300)
class FaultSoakTest {
    private static final int SECONDS = 6;
    private static final int GATEWAYS = 3;
    private static final long SLACK_MILLIS = 3_000;

    @TempDir
    Path directory;

    @ParameterizedTest
    @ValueSource(longs = {3, 8})
    void noInvariantIsViolated(long seed) throws IOException {
        StringWriter output = new StringWriter();
        FaultSoak.Plan plan = new FaultSoak.Plan(
                seed, SECONDS, GATEWAYS, SLACK_MILLIS, "garnetreel.cli.PlatformMain", List.of(), true, directory);
        FaultSoak.Result result = new FaultSoak(plan, new PrintWriter(output, true)).run();
        assertEquals(List.of(), result.untimed(), output + result.summary());
    }
}
