package garnetreel.codec.http;

import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads a message's head: the start line and the header section, up to the empty line. It is strict, so that two
 * parsers cannot interpret the same head differently: lines end with CRLF, and control characters and folded lines are
 * rejected.
 */
final class HeadReader {
    private static final int INITIAL_CAPACITY = 512;
    private static final byte DELETE = 0x7f;
    /** Memory that a field takes besides its characters: two strings with their arrays. */
    private static final int FIELD_OVERHEAD_BYTES = 112;

    private final int maxBytes;
    private final int maxFields;
    private final String requiredPrefix;
    private byte[] bytes = new byte[0];
    private int length;
    private int lineStart;
    private String startLine;
    private Fields fields = new Fields();

    /**
     * @param requiredPrefix start of every valid head; other data is rejected at its first byte rather than buffered
     */
    HeadReader(int maxBytes, int maxFields, String requiredPrefix) {
        this.requiredPrefix = requiredPrefix;
        this.maxBytes = maxBytes;
        this.maxFields = maxFields;
    }

    /** Consumes bytes up to and including the empty line; true once that has been received. */
    boolean read(ByteBuffer in) throws ProtocolException {
        int count = Math.min(in.remaining(), maxBytes - length);
        if (count == 0 && in.hasRemaining()) {
            throw new ProtocolException("head of more than " + maxBytes + " bytes");
        }
        if (length + count > bytes.length) {
            bytes = Arrays.copyOf(
                    bytes, Math.min(maxBytes, Math.max(length + count, Math.max(INITIAL_CAPACITY, 2 * bytes.length))));
        }
        in.get(bytes, length, count);
        int end = length + count;
        for (int at = length; at < end; at++) {
            byte value = bytes[at];
            boolean afterCarriageReturn = at > lineStart && bytes[at - 1] == '\r';
            if (afterCarriageReturn != (value == '\n')
                    || value >= 0 && value < ' ' && value != '\t' && value != '\r' && value != '\n'
                    || value == DELETE
                    || at < requiredPrefix.length() && value != requiredPrefix.charAt(at)) {
                throw new ProtocolException(
                        "no head: control character, line that does not end with CRLF, or another protocol");
            }
            if (value == '\n' && endLine(at - 1)) {
                in.position(in.position() - (end - at - 1));
                length = at + 1;
                return true;
            }
        }
        length = end;
        if (in.hasRemaining()) {
            throw new ProtocolException("head of more than " + maxBytes + " bytes");
        }
        return false;
    }

    private boolean endLine(int end) throws ProtocolException {
        if (end == lineStart) {
            if (startLine != null) {
                return true;
            }
            if (lineStart > 0) {
                throw new ProtocolException("more than one empty line ahead of a start line");
            }
            lineStart = end + 2; // a single empty line before the start line is ignored (RFC 9112, 2.2)
            return false;
        }
        if (startLine == null) {
            startLine = new String(bytes, lineStart, end - lineStart, StandardCharsets.ISO_8859_1);
        } else if (fields.size() == maxFields) {
            throw new ProtocolException("more than " + maxFields + " header fields");
        } else {
            fields.addLine(bytes, lineStart, end);
        }
        lineStart = end + 2;
        return false;
    }

    /** Whether a byte of the head has been received, apart from empty lines before it. */
    boolean hasStarted() {
        return startLine != null || length > lineStart;
    }

    String startLine() {
        return startLine;
    }

    Fields fields() {
        return fields;
    }

    /** Memory that the head takes so far, in bytes: what was received, and the fields made of it. */
    int heldBytes() {
        return bytes.length + lineStart + fields.size() * FIELD_OVERHEAD_BYTES;
    }

    /** Prepares for the next head. */
    void reset() {
        bytes = new byte[0];
        length = 0;
        lineStart = 0;
        startLine = null;
        fields = new Fields();
    }
}
