package garnetreel.cli.map;

import picocli.CommandLine.Command;

/** Prints the migrations in progress. */
@Command(name = "moves", mixinStandardHelpOptions = true, description = "Prints the migrations in progress.")
final class MovesCommand extends SingleRequestCommand {
    @Override
    Object[] request() {
        return new Object[] {"moves"};
    }
}
