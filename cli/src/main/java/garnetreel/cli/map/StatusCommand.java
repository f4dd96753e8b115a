package garnetreel.cli.map;

import picocli.CommandLine.Command;

/** Prints the state of the map service. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Prints versions, gateways, migrations and draining shards.")
final class StatusCommand extends SingleRequestCommand {
    @Override
    Object[] request() {
        return new Object[] {"status"};
    }
}
