package garnetreel.cli.map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import garnetreel.cli.config.Settings;
import garnetreel.cli.config.SettingsException;
import garnetreel.cli.config.SettingsFile;
import garnetreel.cli.lifecycle.ExitCode;
import garnetreel.core.Volume;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.zip.CRC32C;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Reads the selected extents through a gateway and compares their checksums with those of the nodes that hold them. */
@Command(
        name = "verify",
        mixinStandardHelpOptions = true,
        description = "Reads extents through a gateway and compares checksums with those of the nodes that hold them. "
                + "Exits with 1 if one differs or can't be read.")
final class VerifyCommand extends MapSubcommand {
    /** Attempts at an extent that is written to or migrates meanwhile, before it is reported as busy. */
    private static final int MAX_ATTEMPTS = 5;

    private static final int READ_BYTES = 1 << 20;
    private static final int PROGRESS_EVERY = 256;

    @Mixin
    SettingsFile file;

    @Option(
            names = "--head",
            required = true,
            paramLabel = "HOST:PORT",
            description = "Address at which a gateway serves NBD.")
    String gateway;

    @Option(names = "--volume", paramLabel = "NAME", description = "Verifies this volume only.")
    String volumeName;

    @Option(
            names = "--from",
            paramLabel = "EXTENT",
            defaultValue = "0",
            description = "First extent, to resume an interrupted run. Default: ${DEFAULT-VALUE}.")
    long firstExtent;

    private final ArrayNode mismatches = JsonNodeFactory.instance.arrayNode();
    private List<Volume> volumes;
    private long equalExtents;

    @Override
    public Integer call() throws IOException, SettingsException {
        Settings settings = file.read();
        if (mapCommand.service == null && !settings.mapServiceAddress().isEmpty()) {
            mapCommand.service = settings.mapServiceAddress();
        }
        volumes = settings.volumes().values().stream()
                .filter(volume -> volumeName == null || volume.name().equals(volumeName))
                .toList();
        if (volumes.isEmpty()) {
            throw new CommandLine.ParameterException(
                    mapCommand.spec.commandLine(), file + " has no volume \"" + volumeName + "\"");
        }
        return super.call();
    }

    @Override
    int execute(MapClient client) throws IOException {
        for (Volume volume : volumes) {
            verify(client, volume);
        }
        ObjectNode summary = JsonNodeFactory.instance.objectNode().put("extents_equal", equalExtents);
        summary.set("extents_not", mismatches);
        mapCommand.print(summary);
        return mismatches.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }

    private void verify(MapClient client, Volume volume) throws IOException {
        JsonNode extentMap = client.execute("show", volume.id());
        long extents = extentMap.path("extents").asLong();
        int extentBytes = extentMap.path("extent_bytes").asInt();
        try (NbdReader reader = new NbdReader(gateway, volume.name())) {
            for (long extent = firstExtent; extent < extents; extent++) {
                String mismatch = verify(client, reader, volume, extent, extentBytes);
                if (mismatch == null) {
                    equalExtents++;
                } else {
                    mismatches
                            .addObject()
                            .put("volume", volume.name())
                            .put("extent", extent)
                            .put("what", mismatch);
                }
                if ((extent + 1) % PROGRESS_EVERY == 0) {
                    printProgress(volume, extent + 1, extents);
                }
            }
        }
    }

    private void printProgress(Volume volume, long done, long extents) {
        PrintWriter err = mapCommand.spec.commandLine().getErr();
        err.println(volume.name() + ": " + done + " of " + extents + " extents, " + mismatches.size() + " not equal");
        err.flush();
    }

    /**
     * Compares one extent, which may be written to or migrate while it is read.
     *
     * @return the mismatch, or why the extent could not be compared; null when it is equal
     */
    private static String verify(MapClient client, NbdReader reader, Volume volume, long extent, int extentBytes)
            throws IOException {
        String reason = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            long storedBefore;
            long read;
            JsonNode after;
            try {
                storedBefore = checksum(client.execute("sum", volume.id(), extent));
                read = checksum(reader, volume, extent * extentBytes, extentBytes);
                after = client.execute("sum", volume.id(), extent);
            } catch (RequestRejectedException e) {
                reason = e.getMessage();
                continue;
            }
            long stored = checksum(after);
            if (read == stored) {
                return null;
            }
            if (storedBefore == stored) {
                return String.format(
                        "read through the head as crc32c %08x, held by shard %d as %08x",
                        read, after.path("shard").asInt(), stored);
            }
            reason = "busy: it changed at each of " + MAX_ATTEMPTS + " looks";
        }
        return reason;
    }

    private static long checksum(JsonNode sum) {
        return sum.path("crc32c").asLong();
    }

    private static long checksum(NbdReader reader, Volume volume, long offset, int length) throws IOException {
        CRC32C crc = new CRC32C();
        long extentEnd = offset + length;
        long end = Math.min(volume.size(), extentEnd);
        for (long position = offset; position < end; position += READ_BYTES) {
            crc.update(reader.read(position, (int) Math.min(READ_BYTES, end - position)));
        }
        // The last extent may extend past the volume's end; the node's checksum includes that part, which is all zeros.
        for (long position = end; position < extentEnd; position += READ_BYTES) {
            crc.update(new byte[(int) Math.min(READ_BYTES, extentEnd - position)]);
        }
        return crc.getValue();
    }
}
