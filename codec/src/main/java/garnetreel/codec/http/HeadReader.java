package garnetreel.codec.http;

import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads the start line and the header section up to the empty line. Strict: lines end with CRLF, and there is no control
 * character, no folded line and no empty start line, so that two readers of one head can't read two things into it.
 */
final class HeadReader {
    private static final int FIRST_ROOM = 512;

    private final int most;
    private final int mostFields;
    private byte[] bytes = new byte[0];
    private int length;
    private int lineStart;
    private String startLine;
    private Fields fields = new Fields();

    HeadReader(int most, int mostFields) {
        this.most = most;
        this.mostFields = mostFields;
    }

    /** Takes bytes up to and including the empty line; true once that has come. */
    boolean read(ByteBuffer in) throws ProtocolException {
        while (in.hasRemaining()) {
            byte one = in.get();
            if (length == most) {
                throw new ProtocolException("head of more than " + most + " bytes");
            }
            if (length == bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.min(most, Math.max(FIRST_ROOM, 2 * bytes.length)));
            }
            boolean afterReturn = length > lineStart && bytes[length - 1] == '\r';
            bytes[length++] = one;
            if (afterReturn != (one == '\n') || (one & 0xff) < ' ' && one != '\t' && one != '\r' && one != '\n' || one == 0x7f) {
                throw new ProtocolException("control character in a head, or a line that does not end with CRLF");
            }
            if (one == '\n' && lineEnded()) {
                return true;
            }
        }
        return false;
    }

    private boolean lineEnded() throws ProtocolException {
        int end = length - 2;
        if (end == lineStart) {
            if (startLine == null) {
                throw new ProtocolException("empty start line");
            }
            return true;
        }
        String line = new String(bytes, lineStart, end - lineStart, StandardCharsets.ISO_8859_1);
        if (startLine == null) {
            startLine = line;
        } else if (fields.size() == mostFields) {
            throw new ProtocolException("more than " + mostFields + " header fields");
        } else {
            fields.addLine(line);
        }
        lineStart = length;
        return false;
    }

    /** Whether a byte of a head has come. */
    boolean begun() {
        return length > 0;
    }

    String startLine() {
        return startLine;
    }

    Fields fields() {
        return fields;
    }

    /** Makes ready for the next head. */
    void reset() {
        bytes = new byte[0];
        length = 0;
        lineStart = 0;
        startLine = null;
        fields = new Fields();
    }
}
