package garnetreel.cli.testing;

import garnetreel.cli.Main;
import garnetreel.cli.testing.soak.FaultSoakCommand;
import java.util.List;

/** The program with further commands, which run test fakes; a deployed service needs only {@link Main}. */
public final class TestingMain {
    private TestingMain() {}

    /** Runs the command that the arguments name, and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(Main.run(
                List.of(
                        new DevCommand(),
                        new ScenarioCommand(),
                        new BenchCommand(),
                        new MapLabCommand(),
                        new NodeCommand(),
                        new NodeListCommand(),
                        new FaultSoakCommand()),
                arguments));
    }
}
