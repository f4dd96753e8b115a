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
final class JsonFrameSplitter {
    private static final int INITIAL_CAPACITY_BYTES = 64;

    private final int maxObjectBytes;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);
    /** Number of open braces; 0 between objects. */
    private int depth;

    private boolean inString;
    private boolean escaped;

    /** @param maxObjectBytes maximum size of an object; a larger one is a protocol error */
    JsonFrameSplitter(int maxObjectBytes) {
        this.maxObjectBytes = maxObjectBytes;
    }

    /** Consumes the next piece of the stream. Returns the objects that it completes. */
    List<byte[]> next(byte[] piece) throws ProtocolException {
        List<byte[]> complete = new ArrayList<>(1);
        for (byte octet : piece) {
            if (depth == 0 && octet != '{') {
                requireWhitespace(octet);
            } else if (append(octet)) {
                complete.add(object.toByteArray());
                object.reset();
            }
        }
        return complete;
    }

    private static void requireWhitespace(byte octet) throws ProtocolException {
        if (octet != '\n' && octet != '\r' && octet != ' ' && octet != '\t') {
            String text = new String(new byte[] {octet}, StandardCharsets.ISO_8859_1);
            throw new ProtocolException("expected the start of a JSON object, got: " + text);
        }
    }

    /** Appends a byte to the current object. Returns true if the byte completes the object. */
    private boolean append(byte octet) throws ProtocolException {
        if (object.size() == maxObjectBytes) {
            throw new ProtocolException("a JSON object of more than " + maxObjectBytes + " bytes");
        }
        object.write(octet);
        if (escaped) {
            escaped = false;
        } else if (inString) {
            escaped = octet == '\\';
            inString = octet != '"';
        } else if (octet == '"') {
            inString = true;
        } else if (octet == '{') {
            depth++;
        } else if (octet == '}') {
            depth--;
            return depth == 0;
        }
        return false;
    }
}
