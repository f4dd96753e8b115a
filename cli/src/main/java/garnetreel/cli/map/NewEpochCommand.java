package garnetreel.cli.map;

import picocli.CommandLine.Command;

/** Begins a new epoch, in which gateways replace their maps by those of this service. */
@Command(
        name = "new-epoch",
        mixinStandardHelpOptions = true,
        description = "Makes gateways replace their maps by those of this service; after a restore use adopt.")
final class NewEpochCommand extends SingleRequestCommand {
    @Override
    Object[] request() {
        return new Object[] {"new-epoch"};
    }
}
