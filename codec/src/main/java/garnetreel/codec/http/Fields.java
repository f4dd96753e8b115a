package garnetreel.codec.http;

import garnetreel.codec.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Header fields in the order received. Names are case-insensitive (RFC 9110, 5.1).
 *
 * <p>This class and the parsers use loops instead of streams or patterns: in the first second of a gateway the JVM
 * still interprets the code, and they would cost some tenths of a millisecond per request.
 */
public final class Fields {
    private static final boolean[] TOKEN_CHARS = new boolean[128];

    static {
        for (char c = 0; c < TOKEN_CHARS.length; c++) {
            TOKEN_CHARS[c] = c >= 'a' && c <= 'z'
                    || c >= 'A' && c <= 'Z'
                    || c >= '0' && c <= '9'
                    || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
        }
    }

    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /** Adds a field line as received, without its line terminator. */
    void addLine(byte[] bytes, int from, int to) throws ProtocolException {
        int colon = from;
        while (colon < to && bytes[colon] != ':') {
            if (bytes[colon] < 0 || !TOKEN_CHARS[bytes[colon]]) {
                throw new ProtocolException("header name holds a mark that is none of a token");
            }
            colon++;
        }
        if (colon == from || colon == to) {
            throw new ProtocolException("header line without a name");
        }
        int start = colon + 1;
        int end = to;
        while (start < end && isBlank(bytes[start])) {
            start++;
        }
        while (end > start && isBlank(bytes[end - 1])) {
            end--;
        }
        add(
                new String(bytes, from, colon - from, StandardCharsets.ISO_8859_1),
                new String(bytes, start, end - start, StandardCharsets.ISO_8859_1));
    }

    private static boolean isBlank(byte value) {
        return value == ' ' || value == '\t';
    }

    public Fields add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** Whether a text is a token (RFC 9110, 5.6.2). */
    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= TOKEN_CHARS.length || !TOKEN_CHARS[text.charAt(i)]) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private int find(String name, int from) {
        for (int i = from; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return i;
            }
        }
        return -1;
    }

    /** The value of a field that may occur at most once; null if it is absent. */
    public String singleValue(String name) throws ProtocolException {
        int index = find(name, 0);
        if (index >= 0 && find(name, index + 1) >= 0) {
            throw new ProtocolException(name + " is there twice");
        }
        return index < 0 ? null : values.get(index);
    }

    /** The first value of a field; null if it is absent. */
    public String first(String name) {
        int index = find(name, 0);
        return index < 0 ? null : values.get(index);
    }

    public boolean has(String name) {
        return find(name, 0) >= 0;
    }

    /** Whether the values of a list field contain this token, in any case. */
    public boolean hasToken(String name, String token) {
        for (int index = find(name, 0); index >= 0; index = find(name, index + 1)) {
            for (String part : values.get(index).split(",")) {
                if (part.strip().equalsIgnoreCase(token)) {
                    return true;
                }
            }
        }
        return false;
    }

    public int size() {
        return names.size();
    }

    String name(int index) {
        return names.get(index);
    }

    String value(int index) {
        return values.get(index);
    }
}
