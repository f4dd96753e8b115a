package garnetreel.codec.rsync;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Output buffer that encodes the primitive types of rsync protocol 30; its contents are taken as they are or as a
 * frame.
 */
public final class RsyncOut {
    private byte[] bytes = new byte[1024];
    private int size;
    private int previousIndex = -1;
    private int previousNegativeIndex = 1;

    /** Number of collected bytes. */
    public int size() {
        return size;
    }

    private void ensureCapacity(int additional) {
        if (size + additional > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + additional));
        }
    }

    /** Writes an 8-bit number. */
    public RsyncOut u8(int value) {
        ensureCapacity(1);
        bytes[size++] = (byte) value;
        return this;
    }

    /** Writes a 16-bit number, least significant byte first. */
    public RsyncOut u16(int value) {
        return u8(value).u8(value >> 8);
    }

    /** Writes a 32-bit number, least significant byte first. */
    public RsyncOut i32(int value) {
        return u16(value).u16(value >> 16);
    }

    /** Writes a part of an array. */
    public RsyncOut bytes(byte[] from, int offset, int length) {
        ensureCapacity(length);
        System.arraycopy(from, offset, bytes, size, length);
        size += length;
        return this;
    }

    /** Writes all bytes of an array. */
    public RsyncOut bytes(byte[] from) {
        return bytes(from, 0, from.length);
    }

    /** Writes a string, one byte per character, without its length. */
    public RsyncOut text(String text) {
        return bytes(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes a 32-bit number in the variable-length encoding. */
    public RsyncOut varint(int value) {
        return variable(value & 0xffffffffL, 4, 1);
    }

    /** Writes a 64-bit number in the variable-length encoding, with at least {@code minLength} bytes. */
    public RsyncOut varlong(long value, int minLength) {
        return variable(value, 8, minLength);
    }

    private RsyncOut variable(long value, int maxLength, int minLength) {
        int count = maxLength;
        while (count > minLength && (value >>> 8 * (count - 1) & 0xff) == 0) {
            count--;
        }
        int highByte = (int) (value >>> 8 * (count - 1) & 0xff);
        int highBit = 1 << 7 - count + minLength;
        int lowBytes = count - 1;
        if (highByte >= highBit) {
            u8(~(highBit - 1));
            lowBytes = count;
        } else {
            u8(count > minLength ? highByte | ~(2 * highBit - 1) : highByte);
        }
        for (int i = 0; i < lowBytes; i++) {
            u8((int) (value >>> 8 * i));
        }
        return this;
    }

    /** Writes a file index as its difference from the previous one. */
    public RsyncOut index(int index) {
        if (index == Rsync.PHASE_END) {
            return u8(0);
        }
        int value = Math.abs(index);
        int difference = value - (index < 0 ? previousNegativeIndex : previousIndex);
        if (index < 0) {
            u8(0xff);
            previousNegativeIndex = value;
        } else {
            previousIndex = value;
        }
        if (difference > 0 && difference < 0xfe) {
            return u8(difference);
        }
        return difference < 0 || difference > 0x7fff
                ? u8(0xfe).u8(value >> 24 | 0x80).u8(value).u8(value >> 8).u8(value >> 16)
                : u8(0xfe).u8(difference >> 8).u8(difference);
    }

    /** Writes a string after its length of one or two bytes. */
    public RsyncOut vstring(String text) {
        int length = text.length();
        return (length > 0x7f ? u8(length >> 8 | 0x80).u8(length) : u8(length)).text(text);
    }

    /**
     * Alters the last collected bytes, so that a file's checksum there does not match: the receiver then discards a
     * file that could not be read.
     */
    public void corrupt(int length) {
        for (int i = size - length; i < size; i++) {
            bytes[i] ^= 0x5a;
        }
    }

    /** Takes the collected bytes without a frame; null if there are none. */
    public ByteBuffer take() {
        if (size == 0) {
            return null;
        }
        ByteBuffer contents = ByteBuffer.wrap(Arrays.copyOf(bytes, size));
        size = 0;
        return contents;
    }

    /** Takes the collected bytes as one data frame; null if there are none. */
    public ByteBuffer takeFrame() {
        if (size == 0) {
            return null;
        }
        ByteBuffer frame = frame(Rsync.DATA, bytes, size);
        size = 0;
        return frame;
    }

    /** Builds a frame, such as a message. */
    public static ByteBuffer frame(int kind, byte[] body, int length) {
        if (length > Rsync.MAX_FRAME_LENGTH) {
            throw new IllegalArgumentException("frame too long: " + length + " bytes");
        }
        int header = kind + Rsync.KIND_BASE << 24 | length;
        return ByteBuffer.allocate(4 + length)
                .put((byte) header)
                .put((byte) (header >> 8))
                .put((byte) (header >> 16))
                .put((byte) (header >> 24))
                .put(body, 0, length)
                .flip();
    }
}
