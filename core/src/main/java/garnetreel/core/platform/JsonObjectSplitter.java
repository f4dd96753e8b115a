package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into JSON objects by matching braces. Only whitespace is allowed between objects. Lines can't
 * serve as delimiters, because an object may span several lines, a line may hold several objects, and an object may
 * arrive in several pieces. The splitter does not check that an object is valid JSON.
 */
final class JsonObjectSplitter {
    private static final int INITIAL_CAPACITY_BYTES = 64;

    private final int maxObjectBytes;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);
    /** Number of open braces; 0 between objects. */
    private int depth;

    private boolean inString;
    private boolean escaped;

    /** @param maxObjectBytes maximum size of an object; a larger one is a protocol error */
    JsonObjectSplitter(int maxObjectBytes) {
        this.maxObjectBytes = maxObjectBytes;
    }

    /** Consumes the next piece of the stream. Returns the objects that it completes. */
    List<byte[]> next(byte[] piece) throws ProtocolException {
        List<byte[]> complete = new ArrayList<>(1);
        for (byte b : piece) {
            if (depth == 0 && b != '{') {
                requireWhitespace(b);
            } else if (append(b)) {
                complete.add(object.toByteArray());
                object.reset();
            }
        }
        return complete;
    }

    private static void requireWhitespace(byte b) throws ProtocolException {
        if (b != '\n' && b != '\r' && b != ' ' && b != '\t') {
            String text = new String(new byte[] {b}, StandardCharsets.ISO_8859_1);
            throw new ProtocolException("expected the start of a JSON object, got: " + text);
        }
    }

    /** Appends a byte to the current object. Returns true if the byte completes the object. */
    private boolean append(byte b) throws ProtocolException {
        if (object.size() == maxObjectBytes) {
            throw new ProtocolException("JSON object exceeds " + maxObjectBytes + " bytes");
        }
        object.write(b);
        if (escaped) {
            escaped = false;
        } else if (inString) {
            escaped = b == '\\';
            inString = b != '"';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{') {
            depth++;
        } else if (b == '}') {
            depth--;
            return depth == 0;
        }
        return false;
    }
}
