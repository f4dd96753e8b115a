package garnetreel.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One JSON value of the wire, read by streaming into plain maps, lists, numbers and strings, with typed access. */
final class Json {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final Map<String, Object> fields;
    private final String where;

    private Json(Map<String, Object> fields, String where) {
        this.fields = fields;
        this.where = where;
    }

    /** Reads a line that must hold one object and nothing else. */
    static Json parse(byte[] buffer, int from, int length, long line) throws WireException {
        String where = "line " + line;
        try (JsonParser parser = FACTORY.createParser(buffer, from, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new WireException(where + ": not a JSON object");
            }
            Map<String, Object> fields = object(parser);
            if (parser.nextToken() != null) {
                throw new WireException(where + ": more than one JSON value");
            }
            return new Json(fields, where);
        } catch (IOException e) {
            throw new WireException(where + ": not JSON");
        }
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, value(parser));
        }
        return fields;
    }

    private static Object value(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return object(parser);
            case START_ARRAY:
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    items.add(value(parser));
                }
                return items;
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) parser.getDoubleValue() : (Object) parser.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            default:
                return null;
        }
    }

    private WireException bad(String name, String what) {
        return new WireException(where + ": field \"" + name + "\" " + what);
    }

    private <T> T get(String name, Class<T> type, T otherwise) throws WireException {
        Object value = fields.get(name);
        if (value == null) {
            return otherwise;
        }
        if (!type.isInstance(value)) {
            throw bad(name, "has the wrong form");
        }
        return type.cast(value);
    }

    Json need(String name) throws WireException {
        if (fields.get(name) == null) {
            throw bad(name, "is missing");
        }
        return this;
    }

    String text(String name, String otherwise) throws WireException {
        return get(name, String.class, otherwise);
    }

    long whole(String name, long otherwise) throws WireException {
        return get(name, Number.class, otherwise).longValue();
    }

    double number(String name, double otherwise) throws WireException {
        return get(name, Number.class, otherwise).doubleValue();
    }

    /** A time, in seconds on the wire, as microseconds. */
    long micros(String name, double otherwise) throws WireException {
        return Math.round(number(name, otherwise) * 1e6);
    }

    boolean flag(String name, boolean otherwise) throws WireException {
        return get(name, Boolean.class, otherwise);
    }

    /** A nested object; an empty one when absent. */
    Json child(String name) throws WireException {
        Map<?, ?> value = get(name, Map.class, Map.of());
        return wrap(value, name);
    }

    /** A list of nested objects; empty when absent. */
    List<Json> children(String name) throws WireException {
        List<Json> children = new ArrayList<>();
        for (Object item : get(name, List.class, List.of())) {
            if (!(item instanceof Map<?, ?> map)) {
                throw bad(name, "holds something that is no object");
            }
            children.add(wrap(map, name));
        }
        return children;
    }

    /** A list of flags; empty when absent. */
    List<Boolean> flags(String name) throws WireException {
        List<Boolean> flags = new ArrayList<>();
        for (Object item : get(name, List.class, List.of())) {
            flags.add(Boolean.TRUE.equals(item));
        }
        return flags;
    }

    /** A nested object's numbers by name; whatever is no number is skipped. */
    Map<String, Double> numbers(String name) throws WireException {
        if (!(fields.get(name) instanceof Map<?, ?> map)) {
            return Map.of();
        }
        Map<String, Double> numbers = new LinkedHashMap<>();
        for (Map.Entry<?, ?> entry : map.entrySet()) {
            if (entry.getValue() instanceof Number number) {
                numbers.put((String) entry.getKey(), number.doubleValue());
            }
        }
        return numbers;
    }

    private Json wrap(Map<?, ?> map, String name) {
        Map<String, Object> copy = new LinkedHashMap<>();
        map.forEach((key, value) -> copy.put((String) key, value));
        return new Json(copy, where + ", in \"" + name + "\"");
    }
}
