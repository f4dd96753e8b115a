package garnetreel.cli.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The values of a settings file by their paths ({@code /block/label/key}), and the problems found in them. The schema has checked
 * the types; a missing key has the default that the caller passes.
 */
final class SettingsValues {
    private final HclFile file;
    private final JsonNode root;
    private final List<String> problems = new ArrayList<>();

    SettingsValues(HclFile file) {
        this.file = file;
        root = file.root();
    }

    JsonNode root() {
        return root;
    }

    boolean has(String path) {
        return !root.at(path).isMissingNode();
    }

    double number(String path, double defaultValue) {
        return root.at(path).asDouble(defaultValue);
    }

    int integer(String path, int defaultValue) {
        return (int) number(path, defaultValue);
    }

    /** A text; an empty one is replaced by the default too. */
    String text(String path, String defaultValue) {
        String text = root.at(path).asText(defaultValue);
        return text.isEmpty() ? defaultValue : text;
    }

    boolean flag(String path, boolean defaultValue) {
        return root.at(path).asBoolean(defaultValue);
    }

    long micros(String path, String defaultValue) {
        return Quantities.micros(text(path, defaultValue));
    }

    /** A size; one that overflows a long is reported as a problem. */
    long bytes(String path, String defaultValue) {
        try {
            return Quantities.bytes(text(path, defaultValue));
        } catch (ArithmeticException e) {
            problems.add(file.locate(path) + "is " + text(path, defaultValue) + ", too large a size");
            return 0;
        }
    }

    List<Integer> integers(String path) {
        List<Integer> integers = new ArrayList<>();
        root.at(path).forEach(value -> integers.add(value.asInt()));
        return integers;
    }

    /** Calls {@code action} for each block of a kind, with its label and its path. */
    void forEach(String kind, BiConsumer<String, String> action) {
        root.path(kind).fieldNames().forEachRemaining(label -> action.accept(label, block(kind, label)));
    }

    /** The path of a block; a label may hold characters that a JSON pointer escapes. */
    static String block(String kind, String label) {
        return "/" + kind + "/" + label.replace("~", "~0").replace("/", "~1");
    }

    /** Records a problem with the value at a path unless the condition holds. */
    void check(boolean holds, String path, String problem) {
        if (!holds) {
            problems.add(file.locate(path) + problem);
        }
    }

    /** The location of a path in the file, as the prefix of an error message. */
    String locate(String path) {
        return file.locate(path);
    }

    /** Throws an exception with all problems that were recorded, if there are any. */
    void throwProblems() throws SettingsException {
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
    }
}
