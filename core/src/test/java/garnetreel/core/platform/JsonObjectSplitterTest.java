package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetreel.codec.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** JSON objects are found by their braces, regardless of how the stream is divided into pieces. */
class JsonFrameSplitterTest {
    private static final int MAX_BYTES = 40;
    private static final String STREAM = " {\"a\":{\"b\":\"}\\\"{\"}}\r\n\t{}{\n\"c\":\n1}\n";
    private static final List<String> OBJECTS = List.of("{\"a\":{\"b\":\"}\\\"{\"}}", "{}", "{\n\"c\":\n1}");

    private static List<String> split(JsonFrameSplitter splitter, String piece) throws ProtocolException {
        List<String> objects = new ArrayList<>();
        for (byte[] object : splitter.next(piece.getBytes(StandardCharsets.UTF_8))) {
            objects.add(new String(object, StandardCharsets.UTF_8));
        }
        return objects;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 100})
    void piecesOfAnySizeGiveTheSameObjects(int size) throws ProtocolException {
        JsonFrameSplitter splitter = new JsonFrameSplitter(MAX_BYTES);
        List<String> objects = new ArrayList<>();
        for (int from = 0; from < STREAM.length(); from += size) {
            objects.addAll(split(splitter, STREAM.substring(from, Math.min(STREAM.length(), from + size))));
        }
        assertEquals(OBJECTS, objects);
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "}", "[", "\"", "{}1"})
    void onlyWhitespaceIsAllowedBetweenObjects(String stream) {
        JsonFrameSplitter splitter = new JsonFrameSplitter(MAX_BYTES);
        assertThrows(ProtocolException.class, () -> split(splitter, stream));
    }

    @Test
    void theSizeOfAnObjectIsLimited() throws ProtocolException {
        JsonFrameSplitter splitter = new JsonFrameSplitter(MAX_BYTES);
        String longest = "{" + " ".repeat(MAX_BYTES - 2) + "}";
        assertEquals(List.of(longest, longest), split(splitter, longest + longest));
        ProtocolException thrown =
                assertThrows(ProtocolException.class, () -> split(splitter, "{" + " ".repeat(MAX_BYTES)));
        assertEquals("a JSON object of more than 40 bytes", thrown.getMessage());
    }
}
