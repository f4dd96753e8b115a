package garnetreel.codec.http;

import garnetreel.codec.ProtocolException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Header fields in the order they came. Names compare without regard to case (RFC 9110, 5.1). */
public final class Fields {
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    /** Adds a field line as received, without its line end. */
    void addLine(String line) throws ProtocolException {
        int colon = line.indexOf(':');
        if (colon <= 0) {
            throw new ProtocolException("header line without a name");
        }
        for (int i = 0; i < colon; i++) {
            if (!tokenMark(line.charAt(i))) {
                throw new ProtocolException("header name holds a mark that is none of a token");
            }
        }
        add(line.substring(0, colon), line.substring(colon + 1).strip());
    }

    public Fields add(String name, String value) {
        names.add(name.toLowerCase(Locale.ROOT));
        values.add(value);
        return this;
    }

    static boolean tokenMark(char mark) {
        return mark >= 'a' && mark <= 'z' || mark >= 'A' && mark <= 'Z' || mark >= '0' && mark <= '9'
                || TOKEN_MARKS.indexOf(mark) >= 0;
    }

    /** The value of a field that may be there once at most; null where it is not. */
    public String only(String name) throws ProtocolException {
        String found = null;
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                if (found != null) {
                    throw new ProtocolException(name + " is there twice");
                }
                found = values.get(i);
            }
        }
        return found;
    }

    /** The first value of a field; null where there is none. */
    public String first(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    public boolean has(String name) {
        return first(name) != null;
    }

    /** Whether one of the values of a list field is this token. */
    public boolean holds(String name, String token) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                for (String part : values.get(i).split(",")) {
                    if (part.strip().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    public int size() {
        return names.size();
    }
}
