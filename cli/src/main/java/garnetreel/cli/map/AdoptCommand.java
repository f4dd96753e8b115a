package garnetreel.cli.map;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Rebuilds the maps from the extents that nodes hold. */
@Command(
        name = "adopt",
        mixinStandardHelpOptions = true,
        description =
                "Rebuilds the maps from the extents that nodes hold, and begins a new epoch; for a service restored from an old backup.")
final class AdoptCommand extends SingleRequestCommand {
    @Option(
            names = "--force",
            description =
                    "Continues even if nodes do not answer; the map entries of extents that only they hold stay as they are.")
    boolean force;

    @Override
    Object[] request() {
        return force ? new Object[] {"adopt", "force"} : new Object[] {"adopt"};
    }
}
