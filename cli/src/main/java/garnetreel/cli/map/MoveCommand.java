package garnetreel.cli.map;

import com.fasterxml.jackson.databind.JsonNode;
import garnetreel.cli.lifecycle.ExitCode;
import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Migrates an extent to another shard. */
@Command(name = "move", mixinStandardHelpOptions = true, description = "Migrates an extent to another shard.")
final class MoveCommand extends MapSubcommand {
    @Parameters(index = "0", paramLabel = "VOLUME", description = "Number of the volume.")
    long volume;

    @Parameters(index = "1", paramLabel = "EXTENT", description = "Number of the extent.")
    long extent;

    @Parameters(index = "2", paramLabel = "SHARD", description = "Number of the shard to migrate it to.")
    int shard;

    @Option(names = "--wait", description = "Prints the states of the migration and returns when it has ended.")
    boolean wait;

    @Override
    int execute(MapClient client) throws IOException {
        JsonNode migration = client.execute("move", volume, extent, shard);
        mapCommand.print(migration);
        if (!wait) {
            return ExitCode.OK;
        }
        awaitCompletion(client, migration);
        JsonNode row = client.execute("show", volume, extent).path("rows").path(0);
        if (row.isMissingNode()) {
            return ExitCode.FAILED;
        }
        mapCommand.print(row);
        return row.path("shard").asInt() == shard ? ExitCode.OK : ExitCode.FAILED;
    }

    /** Polls until the migration is no longer in progress; prints each change of its state. */
    private void awaitCompletion(MapClient client, JsonNode migration) throws IOException {
        JsonNode last = migration;
        while (true) {
            awaitNextPoll();
            JsonNode current = find(client.execute("moves"), migration.path("id"));
            if (current == null) {
                return;
            }
            if (!current.path("state").asText().equals(last.path("state").asText())) {
                mapCommand.print(current);
            }
            last = current;
        }
    }

    private static JsonNode find(JsonNode migrations, JsonNode id) {
        for (JsonNode migration : migrations) {
            if (migration.path("id").equals(id)) {
                return migration;
            }
        }
        return null;
    }
}
