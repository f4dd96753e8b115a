package garnetreel.cli.map;

import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Ends the draining of a shard, see {@link DrainNodeCommand}. */
@Command(
        name = "undrain-node",
        mixinStandardHelpOptions = true,
        description = "Ends the draining of a shard, which then receives extents again.")
final class UndrainNodeCommand extends SingleRequestCommand {
    @Parameters(index = "0", paramLabel = "SHARD", description = "Number of the shard.")
    int shard;

    @Override
    Object[] request() {
        return new Object[] {"undrain", shard};
    }
}
