package garnetreel.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object with typed access to its fields. It is parsed into maps, lists, numbers and strings. A field whose
 * value is {@code null} counts as absent.
 */
public final class Json {
    /** Objects and arrays within each other beyond which input is malformed. */
    private static final int MAX_NESTING_DEPTH = 1_000;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build();

    private final Map<String, Object> fields;
    private final String source;

    private Json(Map<String, Object> fields, String source) {
        this.fields = fields;
        this.source = source;
    }

    /**
     * Parses a line that must contain exactly one object.
     *
     * @param line number of the line, for error messages
     */
    public static Json parse(byte[] buffer, int from, int length, long line) throws JsonException {
        return parse(buffer, from, length, "line " + line);
    }

    /**
     * Parses bytes that must contain exactly one object.
     *
     * @param source name of the input, for error messages
     */
    public static Json parse(byte[] buffer, int from, int length, String source) throws JsonException {
        try (JsonParser parser = FACTORY.createParser(buffer, from, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new JsonException(source + ": not a JSON object");
            }
            Map<String, Object> fields = new JsonTreeReader(parser).readObject();
            if (parser.nextToken() != null) {
                throw new JsonException(source + ": more than one JSON value");
            }
            return new Json(fields, source);
        } catch (IOException e) {
            throw new JsonException(source + ": malformed JSON");
        }
    }

    private JsonException fieldError(String name, String what) {
        return new JsonException(source + ": field \"" + name + "\" " + what);
    }

    private <T> T get(String name, Class<T> type, T defaultValue) throws JsonException {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!type.isInstance(value)) {
            throw fieldError(name, "has the wrong type");
        }
        return type.cast(value);
    }

    /**
     * Checks that a field is present, and returns this object.
     *
     * @throws JsonException if the field is absent
     */
    public Json require(String name) throws JsonException {
        if (fields.get(name) == null) {
            throw fieldError(name, "is missing");
        }
        return this;
    }

    /** Whether the field is present. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** The string in a field, or the default if it is absent. */
    public String text(String name, String defaultValue) throws JsonException {
        return get(name, String.class, defaultValue);
    }

    /**
     * The number in a field without its fraction, or the default if it is absent. A number beyond the range of a long
     * gives the end of that range.
     */
    public long integer(String name, long defaultValue) throws JsonException {
        return get(name, Number.class, defaultValue).longValue();
    }

    /** The number in a field, or the default if it is absent. */
    public double number(String name, double defaultValue) throws JsonException {
        return get(name, Number.class, defaultValue).doubleValue();
    }

    /** The time in a field, converted from seconds to microseconds; the default is in seconds too. */
    public long micros(String name, double defaultValue) throws JsonException {
        return Math.round(number(name, defaultValue) * 1e6);
    }

    public boolean flag(String name, boolean defaultValue) throws JsonException {
        return get(name, Boolean.class, defaultValue);
    }

    /** The object in a field; an empty one if it is absent. */
    public Json child(String name) throws JsonException {
        Map<?, ?> value = get(name, Map.class, Map.of());
        return nested(value, name);
    }

    /** The array of objects in a field; empty if it is absent. */
    public List<Json> children(String name) throws JsonException {
        List<Json> children = new ArrayList<>();
        for (Object item : get(name, List.class, List.of())) {
            if (!(item instanceof Map<?, ?> map)) {
                throw fieldError(name, "contains an element that is not an object");
            }
            children.add(nested(map, name));
        }
        return children;
    }

    /** The array of booleans in a field; empty if it is absent. Elements of other types count as false. */
    public List<Boolean> flags(String name) throws JsonException {
        List<Boolean> flags = new ArrayList<>();
        for (Object item : get(name, List.class, List.of())) {
            flags.add(Boolean.TRUE.equals(item));
        }
        return flags;
    }

    /** The numeric fields of the object in a field, by name; empty if there is no such object. */
    public Map<String, Double> numbers(String name) {
        return fields.get(name) instanceof Map<?, ?> map ? numericEntries(map) : Map.of();
    }

    /** The numeric fields of this object, by name. */
    public Map<String, Double> numbers() {
        return numericEntries(fields);
    }

    private static Map<String, Double> numericEntries(Map<?, ?> map) {
        Map<String, Double> numbers = new LinkedHashMap<>();
        for (Map.Entry<?, ?> entry : map.entrySet()) {
            if (entry.getValue() instanceof Number number) {
                numbers.put((String) entry.getKey(), number.doubleValue());
            }
        }
        return numbers;
    }

    private Json nested(Map<?, ?> map, String name) {
        Map<String, Object> copy = new LinkedHashMap<>();
        map.forEach((key, value) -> copy.put((String) key, value));
        return new Json(copy, source + ", in \"" + name + "\"");
    }
}
