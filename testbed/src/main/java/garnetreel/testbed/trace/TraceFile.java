package garnetreel.testbed.trace;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import garnetreel.testbed.trace.TraceEvent.Kind;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A trace file in JSON Lines format; trace.schema.json in the resources of the testbed is the schema of a line. */
public final class TraceFile implements Trace, AutoCloseable {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Writer writer;
    private final JsonGenerator json;

    /**
     * Creates a file, replacing an existing one.
     *
     * @throws IOException if it cannot be written
     */
    public TraceFile(Path file) throws IOException {
        writer = Files.newBufferedWriter(file, StandardCharsets.UTF_8);
        json = FACTORY.createGenerator(writer).setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    @Override
    public synchronized void add(TraceEvent event) {
        try {
            json.writeStartObject();
            json.writeNumberField("time", event.time());
            json.writeStringField("who", event.observer());
            writeUnlessEmpty("peer", event.counterpart());
            json.writeStringField("kind", event.kind().label());
            writeUnlessAbsent("tag", event.tag(), 0);
            writeUnlessAbsent("request", event.request(), 0);
            writeUnlessAbsent("attempt", event.attempt(), 0);
            writeUnlessAbsent("life", event.incarnation(), 0);
            writeUnlessEmpty("op", event.operation());
            writeUnlessAbsent("volume", event.volume(), -1);
            writeUnlessAbsent("shard", event.shard(), -1);
            writeUnlessAbsent("units", event.units(), 0);
            writeUnlessAbsent("version", event.version(), 0);
            writeUnlessAbsent("key", event.key(), -1);
            writeUnlessAbsent("offset", event.offset(), 0);
            writeUnlessAbsent("length", event.length(), 0);
            writeUnlessEmpty("outcome", event.outcome());
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void writeUnlessEmpty(String name, String value) throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(name, value);
        }
    }

    private void writeUnlessAbsent(String name, long value, long absent) throws IOException {
        if (value != absent) {
            json.writeNumberField(name, value);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        json.writeRaw("\n");
        json.close();
    }

    /**
     * Reads all events of a file.
     *
     * @throws IOException if the file cannot be read or a line is not an event; the message names the line
     */
    public static List<TraceEvent> read(Path file) throws IOException {
        List<TraceEvent> events = new ArrayList<>();
        try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            int lineNumber = 0;
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                lineNumber++;
                if (line.isBlank()) {
                    continue;
                }
                try {
                    events.add(parse(MAPPER.readTree(line)));
                } catch (JsonProcessingException | IllegalArgumentException e) {
                    throw new IOException(file + ":" + lineNumber + ": not a trace event: " + e.getMessage(), e);
                }
            }
        }
        return events;
    }

    private static TraceEvent parse(JsonNode line) {
        return new TraceEvent(
                line.path("time").asLong(),
                line.path("who").asText(""),
                line.path("peer").asText(""),
                Kind.ofLabel(line.path("kind").asText("")),
                line.path("tag").asLong(),
                line.path("request").asLong(),
                line.path("attempt").asInt(),
                line.path("life").asLong(),
                line.path("op").asText(""),
                line.path("volume").asLong(-1),
                line.path("shard").asInt(-1),
                line.path("units").asInt(),
                line.path("version").asLong(),
                line.path("key").asLong(-1),
                line.path("offset").asLong(),
                line.path("length").asLong(),
                line.path("outcome").asText(""));
    }
}
