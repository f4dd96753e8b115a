package garnetreel.cli.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/** Checks settings files against their JSON schema, and phrases violations for the authors of such files. */
final class SettingsSchema {
    private static final int MAX_SHOWN_CHARACTERS = 60;
    private static final JsonSchema SCHEMA = load();

    private SettingsSchema() {}

    private static JsonSchema load() {
        try (InputStream in = SettingsSchema.class.getResourceAsStream("/garnetreel/cli/settings.schema.json")) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Checks a file.
     *
     * @param locate returns the prefix of an error message for a path
     * @throws SettingsException with all violations of the schema, ordered by path
     */
    static void check(JsonNode root, UnaryOperator<String> locate) throws SettingsException {
        List<ValidationMessage> messages = new ArrayList<>(SCHEMA.validate(root));
        messages.sort(
                Comparator.comparing(message -> message.getInstanceLocation().toString()));
        Set<String> problems = new LinkedHashSet<>();
        for (ValidationMessage message : messages) {
            String path = path(message);
            problems.add(locate.apply(isUnknownKey(message) ? path + "/" + message.getProperty() : path)
                    + describe(message, root.at(path)));
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(List.copyOf(problems));
        }
    }

    private static boolean isUnknownKey(ValidationMessage message) {
        return message.getType().equals("additionalProperties")
                || message.getType().equals("unevaluatedProperties");
    }

    private static String describe(ValidationMessage message, JsonNode found) {
        return switch (message.getType()) {
            case "additionalProperties", "unevaluatedProperties" -> "is not a known key here";
            case "required" -> "lacks \"" + message.getProperty() + "\"";
            case "type" -> "is " + abbreviated(found) + "; a " + message.getArguments()[1] + " is expected";
            case "pattern" -> "is " + abbreviated(found) + "; " + expectedForm(message) + " is expected";
            case "enum" -> "is " + abbreviated(found) + "; one of " + message.getArguments()[0] + " is expected";
            case "minProperties" -> "is empty";
            default -> "is " + abbreviated(found) + "; " + message.getError();
        };
    }

    private static String path(ValidationMessage message) {
        StringBuilder path = new StringBuilder();
        for (int i = 0; i < message.getInstanceLocation().getNameCount(); i++) {
            path.append('/').append(message.getInstanceLocation().getName(i));
        }
        return path.toString();
    }

    /** Describes a pattern of the schema; those of durations and sizes are recognized by their units. */
    private static String expectedForm(ValidationMessage message) {
        JsonNode schema = message.getSchemaNode();
        String pattern = schema == null ? "" : schema.asText();
        if (pattern.contains("us|ms")) {
            return "a duration such as \"250ms\", \"2.5s\" or \"10m\"";
        }
        return pattern.contains("KiB") ? "a size such as \"4KiB\" or \"64MiB\"" : "a text of the form " + pattern;
    }

    private static String abbreviated(JsonNode found) {
        boolean integer = found.isNumber() && found.asDouble() == Math.rint(found.asDouble());
        String text = integer ? Long.toString(found.asLong()) : found.toString();
        return text.length() > MAX_SHOWN_CHARACTERS ? text.substring(0, MAX_SHOWN_CHARACTERS) + "..." : text;
    }
}
