package garnetreel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.cli.lifecycle.ExitCode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Command names that scripts rely on, and the exit codes of failed commands. */
class MainTest {
    private static String help(String... arguments) {
        PrintStream console = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
        try {
            assertEquals(ExitCode.OK, Main.run(List.of(), arguments));
        } finally {
            System.setOut(console);
        }
        return printed.toString(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(strings = {"serve", "platform", "map-service", "mapd", "map", "files", "check-config"})
    void commandNamesAreStable(String name) {
        assertTrue(help(name, "--help").contains("Usage: garnetreel " + name.replace("mapd", "map-service")));
    }

    @ParameterizedTest
    @CsvSource({
        "status, ''", "show, VOLUME [FROM]", "history, [ROWS]", "moves, ''", "move, VOLUME EXTENT SHARD", "abort, MOVE",
        "drain-node, SHARD", "undrain-node, SHARD", "adopt, ''", "new-epoch, ''", "diff, ''", "verify, FILE"
    })
    void mapCommandNamesAndParametersAreStable(String name, String parameters) {
        String usage = help("map", name, "--help").replaceAll("\\s+", " ");
        assertTrue(usage.contains("Usage: garnetreel map " + name + " "), usage);
        assertTrue(usage.contains(" " + parameters), usage);
    }

    @Test
    void usageErrorsExitWith2AndFailuresWith1() {
        assertEquals(ExitCode.USAGE, Main.run(List.of(), "no-such-command"));
        assertEquals(ExitCode.USAGE, Main.run(List.of(), "map", "status"));
        assertEquals(ExitCode.FAILED, Main.run(List.of(), "check-config", "no-such-file.hcl"));
    }
}
