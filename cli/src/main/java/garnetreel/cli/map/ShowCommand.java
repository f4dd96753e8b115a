package garnetreel.cli.map;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the shards of a volume's extents. */
@Command(
        name = "show",
        mixinStandardHelpOptions = true,
        description = "Prints which shard holds each extent of a volume.")
final class ShowCommand extends SingleRequestCommand {
    @Parameters(index = "0", paramLabel = "VOLUME", description = "Number of the volume.")
    long volume;

    @Parameters(
            index = "1",
            arity = "0..1",
            paramLabel = "FROM",
            defaultValue = "0",
            description = "First extent; at most 1000 are printed. Default: ${DEFAULT-VALUE}.")
    long from;

    @Override
    Object[] request() {
        return new Object[] {"show", volume, from};
    }
}
