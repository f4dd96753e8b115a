package garnetreel.cli.config;

import com.bertramlabs.plugins.hcl4j.HCLParser;
import com.bertramlabs.plugins.hcl4j.HCLParserException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A settings file: parsed by hcl4j, compared with the result of a strict parser, and checked against the schema. */
public final class HclFile {
    /** Larger files are rejected without being read. */
    private static final int MAX_BYTES = 4 << 20;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String name;
    private final JsonNode root;
    private final Map<String, SourceLocation> locations;
    /** Paths whose values come from the deployment file that a scenario names, with the name of that file. */
    private final Map<String, String> inheritedFrom = new HashMap<>();

    private HclFile(String name, JsonNode root, Map<String, SourceLocation> locations) {
        this.name = name;
        this.root = root;
        this.locations = locations;
    }

    /**
     * Reads and checks a file. A scenario's block {@code day} may name a deployment, a file in the same directory, whose values
     * apply where the scenario has none.
     */
    public static HclFile read(Path file) throws SettingsException, IOException {
        HclFile settings = parseSyntax(file.toString(), text(file));
        String deployment = settings.root.at("/day/deployment").asText("");
        if (!deployment.isEmpty()) {
            Path base = file.resolveSibling(deployment);
            if (!Files.isRegularFile(base)) {
                throw new SettingsException(
                        List.of(settings.locate("/day/deployment") + "names " + base + ", and there is no such file"));
            }
            settings.inherit(parseSyntax(base.toString(), text(base)));
        }
        SettingsSchema.check(settings.root, settings::locate);
        return settings;
    }

    /** Parses and checks a text; error messages call it {@code name}. */
    public static HclFile parse(String name, String text) throws SettingsException {
        HclFile file = parseSyntax(name, text);
        SettingsSchema.check(file.root, file::locate);
        return file;
    }

    private static String text(Path file) throws SettingsException, IOException {
        if (Files.size(file) > MAX_BYTES) {
            throw new SettingsException(List.of(file + ": larger than " + MAX_BYTES + " bytes"));
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(Files.readAllBytes(file)))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new SettingsException(List.of(file + ": not UTF-8"));
        }
    }

    private static HclFile parseSyntax(String name, String text) throws SettingsException {
        StrictHclParser strictParser = new StrictHclParser(text);
        Map<String, Object> strict;
        try {
            strict = strictParser.parse();
        } catch (HclSyntaxException e) {
            throw new SettingsException(List.of(name + ":" + e.location() + ": " + e.getMessage()));
        }
        Map<?, ?> parsed = parseWithLibrary(name, text);
        if (!strict.equals(parsed)) {
            throw new SettingsException(List.of(
                    name + ": the strict parser and hcl4j read this file differently: " + strict + " and " + parsed));
        }
        return new HclFile(name, MAPPER.valueToTree(parsed), strictParser.locations());
    }

    /** Parses a text that the strict parser has accepted; any exception of hcl4j is reported as a syntax error. */
    private static Map<?, ?> parseWithLibrary(String name, String text) throws SettingsException {
        try {
            return new HCLParser().parse(text);
        } catch (HCLParserException
                | IOException
                | ClassCastException
                | IllegalArgumentException
                | IllegalStateException
                | IndexOutOfBoundsException
                | NullPointerException
                | UnsupportedOperationException e) {
            throw new SettingsException(List.of(name + ": not HCL: " + e.getMessage()));
        }
    }

    /** Copies the values that this file lacks from another one. */
    private void inherit(HclFile base) {
        inherit((ObjectNode) base.root, (ObjectNode) root, "", base);
    }

    private void inherit(ObjectNode from, ObjectNode into, String path, HclFile base) {
        from.fields().forEachRemaining(field -> {
            String fieldPath = path + "/" + field.getKey();
            JsonNode own = into.get(field.getKey());
            if (own == null) {
                into.set(field.getKey(), field.getValue());
                inheritLocations(fieldPath, base);
            } else if (own instanceof ObjectNode ownObject && field.getValue() instanceof ObjectNode baseObject) {
                inherit(baseObject, ownObject, fieldPath, base);
            }
        });
    }

    private void inheritLocations(String path, HclFile base) {
        base.locations.forEach((key, location) -> {
            if (key.equals(path) || key.startsWith(path + "/")) {
                locations.put(key, location);
                inheritedFrom.put(key, base.name);
            }
        });
    }

    /**
     * The prefix of an error message about a path: {@code file:line:column: block key }. A path without a location gets that of
     * the innermost enclosing block.
     */
    public String locate(String path) {
        String known = path;
        while (!known.isEmpty() && !locations.containsKey(known)) {
            known = known.substring(0, known.lastIndexOf('/'));
        }
        SourceLocation location = locations.getOrDefault(known, SourceLocation.START);
        String key = path.isEmpty() ? "the file" : path.substring(1).replace('/', ' ');
        return inheritedFrom.getOrDefault(known, name) + ":" + location + ": " + key + " ";
    }

    /** The whole file. */
    public JsonNode root() {
        return root;
    }
}
