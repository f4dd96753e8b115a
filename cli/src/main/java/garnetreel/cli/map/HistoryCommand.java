package garnetreel.cli.map;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the latest transactions of the map service. */
@Command(
        name = "history",
        mixinStandardHelpOptions = true,
        description = "Prints the latest transactions: who changed what, when and why.")
final class HistoryCommand extends SingleRequestCommand {
    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "ROWS",
            defaultValue = "50",
            description = "Number of transactions. Default: ${DEFAULT-VALUE}.")
    int rows;

    @Override
    Object[] request() {
        return new Object[] {"history", rows};
    }
}
