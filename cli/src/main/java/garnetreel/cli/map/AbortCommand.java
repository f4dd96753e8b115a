package garnetreel.cli.map;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Aborts a migration. */
@Command(
        name = "abort",
        mixinStandardHelpOptions = true,
        description = "Aborts a migration that has not switched to the new shard yet.")
final class AbortCommand extends SingleRequestCommand {
    @Parameters(index = "0", paramLabel = "MOVE", description = "Number of the migration.")
    long migration;

    @Override
    Object[] request() {
        return new Object[] {"abort", migration};
    }
}
