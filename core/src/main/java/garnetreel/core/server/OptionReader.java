package garnetreel.core.server;

import garnetreel.codec.nbd.Nbd;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Reads the fields of a handshake option's data in order. */
final class OptionReader {
    private final ByteBuffer data;

    OptionReader(byte[] data) {
        this.data = ByteBuffer.wrap(data);
    }

    /** Reads an unsigned 16-bit number. */
    int unsignedShort() throws InvalidOptionException {
        require(Short.BYTES);
        return data.getShort() & 0xffff;
    }

    /** Reads a 32-bit number; the result is negative from 2^31 on. */
    int integer() throws InvalidOptionException {
        require(Integer.BYTES);
        return data.getInt();
    }

    /** Reads a text preceded by its length. */
    String text() throws InvalidOptionException {
        int length = integer();
        if (length < 0) {
            throw truncated();
        }
        return text(length);
    }

    /** Reads all remaining data as a text. */
    String remainingText() throws InvalidOptionException {
        return text(data.remaining());
    }

    private String text(int length) throws InvalidOptionException {
        require(length);
        if (length > Nbd.MAX_STRING_BYTES) {
            throw new InvalidOptionException("a name of " + length + " bytes, " + Nbd.MAX_STRING_BYTES + " at most");
        }
        ByteBuffer text = data.slice(data.position(), length);
        data.position(data.position() + length);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(text).toString();
        } catch (CharacterCodingException e) {
            throw new InvalidOptionException("a name is not UTF-8");
        }
    }

    /** Checks that no data remains. */
    void end() throws InvalidOptionException {
        if (data.hasRemaining()) {
            throw new InvalidOptionException("the option has " + data.remaining() + " bytes too many");
        }
    }

    private void require(int bytes) throws InvalidOptionException {
        if (bytes > data.remaining()) {
            throw truncated();
        }
    }

    private static InvalidOptionException truncated() {
        return new InvalidOptionException("the option is cut short");
    }
}
