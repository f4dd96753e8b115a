package garnetreel.cli.map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.map.MapCodec;
import garnetreel.codec.map.MapMessage.Changes;
import garnetreel.codec.map.MapMessage.Snapshot;
import garnetreel.core.connection.MapServiceClient;
import garnetreel.map.ExtentMap;
import garnetreel.map.MapCache;
import garnetreel.store.StateDirectory;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares the service's maps with an older version, with a gateway's cached maps, or with those of another service. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description =
                "Prints the extents whose shard or version differs from an older version of the maps, a gateway's cached maps, or "
                        + "another service. Exits with 1 if there are any.")
final class DiffCommand extends MapSubcommand {
    /** What the service's maps are compared with: exactly one of these. */
    static final class Reference {
        @Option(names = "--since", required = true, paramLabel = "VERSION", description = "A version of this epoch.")
        Long version;

        @Option(
                names = "--head-state",
                required = true,
                paramLabel = "DIRECTORY",
                description = "State directory of a gateway, as head.state in its settings.")
        Path stateDirectory;

        @Option(names = "--with", required = true, paramLabel = "HOST:PORT", description = "Another map service.")
        String service;
    }

    @ArgGroup(exclusive = true, multiplicity = "1")
    Reference reference;

    @Override
    int execute(MapClient client) throws IOException {
        ArrayNode rows = JsonNodeFactory.instance.arrayNode();
        if (reference.version != null) {
            addChanges(client, rows);
        } else {
            addDifferences(maps(client), referenceMaps(), rows);
        }
        mapCommand.print(rows);
        return rows.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }

    private void addChanges(MapClient client, ArrayNode rows) throws IOException {
        long epoch = client.execute("status").path("epoch").asLong();
        if (!(client.changesSince(epoch, reference.version) instanceof Changes changes)) {
            throw new RequestRejectedException(
                    "version " + reference.version + " is not in the history, which begins with version "
                            + client.execute("status").path("horizon").asText() + ", or is newer than the maps");
        }
        changes.changes().forEach(change -> rows.addObject()
                .put("volume", change.volume())
                .put("extent", change.extent())
                .put("shard", change.shard())
                .put("version", change.version()));
    }

    private static MapCache maps(MapClient client) throws IOException {
        MapCache cache = new MapCache();
        if (client.changesSince(0, 0) instanceof Snapshot snapshot) {
            cache.apply(snapshot);
        }
        return cache;
    }

    private MapCache referenceMaps() throws IOException {
        if (reference.stateDirectory != null) {
            return cachedMaps(reference.stateDirectory);
        }
        try (MapClient client = new MapClient(reference.service, mapCommand.operator)) {
            return maps(client);
        }
    }

    private static MapCache cachedMaps(Path stateDirectory) throws IOException {
        byte[] bytes = new StateDirectory(stateDirectory)
                .read(MapServiceClient.CACHE_NAME)
                .orElseThrow(() -> new IOException(stateDirectory + " holds no readable map"));
        ByteQueue queue = new ByteQueue();
        queue.add(ByteBuffer.wrap(bytes));
        try {
            if (MapCodec.next(queue) instanceof Snapshot snapshot) {
                MapCache cache = new MapCache();
                cache.apply(snapshot);
                return cache;
            }
        } catch (ProtocolException e) {
            throw new IOException("corrupt map in " + stateDirectory + ": " + e.getMessage(), e);
        }
        throw new IOException(stateDirectory + " holds no whole map");
    }

    private void addDifferences(MapCache maps, MapCache others, ArrayNode rows) {
        if (!mapCommand.json) {
            mapCommand
                    .out()
                    .println("service: epoch " + maps.epoch() + ", version " + maps.version() + "; other: epoch "
                            + others.epoch() + ", version " + others.version());
        }
        for (ExtentMap volume : maps.volumes()) {
            ExtentMap other = others.volume(volume.volume());
            for (long extent = 0; extent < volume.extents(); extent++) {
                addDifference(volume, other, extent, rows);
            }
        }
    }

    /** Adds a row if an extent differs, or if the other map (null for none) lacks it. */
    private static void addDifference(ExtentMap volume, ExtentMap other, long extent, ArrayNode rows) {
        boolean known = other != null && extent < other.extents();
        if (known && other.shard(extent) == volume.shard(extent) && other.version(extent) == volume.version(extent)) {
            return;
        }
        rows.addObject()
                .put("volume", volume.volume())
                .put("extent", extent)
                .put("shard", volume.shard(extent))
                .put("version", volume.version(extent))
                .put("other_shard", known ? Integer.toString(other.shard(extent)) : "unknown")
                .put("other_version", known ? Long.toString(other.version(extent)) : "unknown");
    }
}
