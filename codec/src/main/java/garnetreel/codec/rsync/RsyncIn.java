package garnetreel.codec.rsync;

import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Input buffer that decodes the primitive types of rsync protocol 30. The caller marks the start of an element of the
 * input with {@link #mark}. If the element is incomplete, {@link IncompleteInputException} is thrown; the caller then
 * returns to the mark with {@link #reset}, to retry with more bytes.
 *
 * <p>Integers are little-endian; the varint, varlong and index encodings are those of rsync's io.c, as documented and
 * as seen in captured traffic.
 */
public final class RsyncIn {
    /** Thrown if the input ends within an element. */
    public static final class IncompleteInputException extends Exception {
        private static final long serialVersionUID = 1;
        private static final IncompleteInputException INSTANCE = new IncompleteInputException();

        private IncompleteInputException() {
            super(null, null, false, false);
        }
    }

    private static final int INITIAL_CAPACITY = 4096;

    private byte[] bytes = new byte[INITIAL_CAPACITY];
    private int readPosition;
    private int writePosition;
    private int markedPosition;
    private int previousIndex = -1;
    private int previousNegativeIndex = 1;
    private int markedPreviousIndex;
    private int markedPreviousNegativeIndex;

    /** Number of unread bytes. */
    public int size() {
        return writePosition - readPosition;
    }

    /** Appends received bytes. */
    public void add(ByteBuffer data) {
        ensureCapacity(data.remaining());
        int length = data.remaining();
        data.get(bytes, writePosition, length);
        writePosition += length;
    }

    private void ensureCapacity(int additional) {
        if (writePosition + additional <= bytes.length) {
            return;
        }
        int unread = size();
        byte[] next =
                unread + additional > bytes.length ? new byte[Math.max(2 * bytes.length, unread + additional)] : bytes;
        System.arraycopy(bytes, readPosition, next, 0, unread);
        bytes = next;
        readPosition = 0;
        writePosition = unread;
    }

    /** Marks the start of a unit. */
    public void mark() {
        markedPosition = readPosition;
        markedPreviousIndex = previousIndex;
        markedPreviousNegativeIndex = previousNegativeIndex;
    }

    /** Returns to the start of the unit. */
    public void reset() {
        readPosition = markedPosition;
        previousIndex = markedPreviousIndex;
        previousNegativeIndex = markedPreviousNegativeIndex;
    }

    private int advance(int count) throws IncompleteInputException {
        if (size() < count) {
            throw IncompleteInputException.INSTANCE;
        }
        readPosition += count;
        return readPosition - count;
    }

    /** Reads an unsigned 8-bit number. */
    public int u8() throws IncompleteInputException {
        return bytes[advance(1)] & 0xff;
    }

    /** Reads an unsigned 16-bit number. */
    public int u16() throws IncompleteInputException {
        int start = advance(2);
        return bytes[start] & 0xff | (bytes[start + 1] & 0xff) << 8;
    }

    /** Reads a 32-bit number. */
    public int i32() throws IncompleteInputException {
        return (int) littleEndian(advance(4), 4);
    }

    private long littleEndian(int start, int count) {
        long value = 0;
        for (int i = count - 1; i >= 0; i--) {
            value = value << 8 | bytes[start + i] & 0xff;
        }
        return value;
    }

    /** Reads {@code count} bytes. */
    public byte[] take(int count) throws IncompleteInputException {
        int start = advance(count);
        return Arrays.copyOfRange(bytes, start, start + count);
    }

    /** Number of bytes that follow the first byte of a variable-length number, given by its leading bits. */
    private static int extraBytes(int first) {
        return first < 0x80
                ? 0
                : first < 0xc0 ? 1 : first < 0xe0 ? 2 : first < 0xf0 ? 3 : first < 0xf8 ? 4 : first < 0xfc ? 5 : 6;
    }

    /** Reads a 32-bit number in the variable-length encoding. */
    public int varint() throws IncompleteInputException, ProtocolException {
        int first = u8();
        int extraBytes = extraBytes(first);
        if (extraBytes > 4) {
            throw new ProtocolException("number of " + (extraBytes + 1) + " bytes where 32 bits are expected");
        }
        long value = littleEndian(advance(extraBytes), extraBytes);
        return (int) (value | (long) (first & (1 << 8 - extraBytes) - 1 & 0xff) << 8 * extraBytes);
    }

    /**
     * Reads a 64-bit number in the variable-length encoding.
     *
     * @param minLength minimum length of the number in bytes, which the writer must use too
     */
    public long varlong(int minLength) throws IncompleteInputException, ProtocolException {
        int first = u8();
        int extraBytes = extraBytes(first);
        if (minLength + extraBytes > 9) {
            throw new ProtocolException("number of " + (minLength + extraBytes) + " bytes");
        }
        int lowBytes = minLength - 1 + extraBytes;
        long value = littleEndian(advance(lowBytes), lowBytes);
        long high = first & (1 << 8 - extraBytes) - 1 & 0xff;
        return lowBytes >= 8 ? value : value | high << 8 * lowBytes;
    }

    /** Reads a file index, sent as its difference from the previous one; {@link Rsync#PHASE_END} at the end of a phase. */
    public int index() throws IncompleteInputException {
        int first = u8();
        if (first == 0) {
            return Rsync.PHASE_END;
        }
        boolean negative = first == 0xff;
        int difference = negative ? u8() : first;
        int value = difference + (negative ? previousNegativeIndex : previousIndex);
        if (difference == 0xfe) {
            int start = advance(2);
            int firstByte = bytes[start] & 0xff;
            int secondByte = bytes[start + 1] & 0xff;
            if ((firstByte & 0x80) != 0) {
                int following = advance(2);
                value = secondByte
                        | (bytes[following] & 0xff) << 8
                        | (bytes[following + 1] & 0xff) << 16
                        | (firstByte & 0x7f) << 24;
            } else {
                value = (firstByte << 8) + secondByte + (negative ? previousNegativeIndex : previousIndex);
            }
        }
        if (negative) {
            previousNegativeIndex = value;
            return -value;
        }
        previousIndex = value;
        return value;
    }

    /** Reads a string after its length, which has one byte, or two if the top bit of the first is set. */
    public String vstring() throws IncompleteInputException {
        int length = u8();
        if ((length & 0x80) != 0) {
            length = (length & 0x7f) << 8 | u8();
        }
        return text(length);
    }

    /** Reads {@code length} bytes as a string of one character per byte, so that any name is preserved. */
    public String text(int length) throws IncompleteInputException {
        int start = advance(length);
        return new String(bytes, start, length, StandardCharsets.ISO_8859_1);
    }

    /** Reads a string up to a terminator, which is consumed; null while the terminator has not arrived. */
    public String until(char end, int maxLength) throws ProtocolException {
        for (int i = readPosition; i < writePosition; i++) {
            if (bytes[i] == end) {
                String text = new String(bytes, readPosition, i - readPosition, StandardCharsets.ISO_8859_1);
                readPosition = i + 1;
                return text;
            }
        }
        if (size() > maxLength) {
            throw new ProtocolException("a line of more than " + maxLength + " bytes");
        }
        return null;
    }
}
