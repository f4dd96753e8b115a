package garnetreel.settings;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads one JSON object into maps, lists, numbers and strings. The objects and arrays that are open are kept in a list
 * of their own instead of on the thread's stack, so the nesting of input from peers can't overflow that stack. The
 * parser bounds the nesting.
 */
final class JsonTreeReader {
    private final JsonParser parser;
    /** The objects and arrays that are open, the innermost first. */
    private final Deque<Container> open = new ArrayDeque<>();

    /** An object or array whose end is not read yet. */
    private sealed interface Container permits ObjectContainer, ArrayContainer {
        /** @param name of the field; null in an array */
        void add(String name, Object value);
    }

    private record ObjectContainer(Map<String, Object> fields) implements Container {
        @Override
        public void add(String name, Object value) {
            fields.put(name, value);
        }
    }

    private record ArrayContainer(List<Object> items) implements Container {
        @Override
        public void add(String name, Object value) {
            items.add(value);
        }
    }

    /** @param parser its current token is the start of the object */
    JsonTreeReader(JsonParser parser) {
        this.parser = parser;
    }

    /**
     * Reads up to the end of the object and returns its fields in their order.
     *
     * @throws IOException if the input is malformed, cut off or nested too deeply
     */
    Map<String, Object> readObject() throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        open.push(new ObjectContainer(fields));
        while (!open.isEmpty()) {
            parser.nextToken();
            readToken();
        }
        return fields;
    }

    private void readToken() throws IOException {
        switch (parser.currentToken()) {
            case FIELD_NAME -> {
                // The parser tells the name again with the value.
            }
            case START_OBJECT -> {
                Map<String, Object> fields = new LinkedHashMap<>();
                enter(new ObjectContainer(fields), fields);
            }
            case START_ARRAY -> {
                List<Object> items = new ArrayList<>();
                enter(new ArrayContainer(items), items);
            }
            case END_OBJECT, END_ARRAY -> open.pop();
            default -> open.element().add(parser.currentName(), readScalar());
        }
    }

    private void enter(Container container, Object value) throws IOException {
        open.element().add(parser.currentName(), value);
        open.push(container);
    }

    private Object readScalar() throws IOException {
        switch (parser.currentToken()) {
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) parser.getDoubleValue()
                        : (Object) parser.getLongValue();
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
}
