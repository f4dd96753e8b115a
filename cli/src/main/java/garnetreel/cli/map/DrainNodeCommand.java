package garnetreel.cli.map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import garnetreel.cli.lifecycle.ExitCode;
import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Drains a shard; the name of the command says node, as a shard is served by nodes of its own. */
@Command(
        name = "drain-node",
        mixinStandardHelpOptions = true,
        description = "Migrates all extents away from a shard, which receives no further ones.")
final class DrainNodeCommand extends MapSubcommand {
    @Parameters(index = "0", paramLabel = "SHARD", description = "Number of the shard.")
    int shard;

    @Option(
            names = "--wait",
            description = "Prints the number of remaining extents and returns when the shard is empty.")
    boolean wait;

    @Override
    int execute(MapClient client) throws IOException {
        mapCommand.print(client.execute("drain", shard));
        if (wait) {
            awaitEmpty(client);
        }
        return ExitCode.OK;
    }

    private void awaitEmpty(MapClient client) throws IOException {
        long printed = -1;
        while (true) {
            long remaining = remainingExtents(client);
            if (remaining != printed) {
                mapCommand.print(JsonNodeFactory.instance
                        .objectNode()
                        .put("shard", shard)
                        .put("extents_left", remaining));
                printed = remaining;
            }
            if (remaining == 0) {
                return;
            }
            awaitNextPoll();
        }
    }

    private long remainingExtents(MapClient client) throws IOException {
        for (JsonNode row : client.execute("status").path("draining")) {
            if (row.path("shard").asInt() == shard) {
                return row.path("extents").asLong();
            }
        }
        return 0;
    }
}
