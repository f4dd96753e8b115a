package garnetreel.codec;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Bytes received and not yet parsed, held in the buffers they arrived in. Parsers read from the front only; nothing is
 * copied until a field or payload is taken. All integers are big-endian, as in the protocols that use this class.
 *
 * <p>The queue itself is unbounded: its owner stops reading from the socket while {@link #size()} exceeds the
 * connection's bound.
 */
public final class ByteQueue {
    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
    private int size;

    /** Appends a buffer and takes ownership of it; the caller must not use it again. */
    public void add(ByteBuffer buffer) {
        if (buffer.hasRemaining()) {
            buffers.add(buffer);
            size += buffer.remaining();
        }
    }

    /** Number of bytes in the queue. */
    public int size() {
        return size;
    }

    /** The unsigned byte at an offset from the front, without removing it; the caller has checked {@link #size()}. */
    public int peek(int offset) {
        int remaining = offset;
        for (ByteBuffer buffer : buffers) {
            if (remaining < buffer.remaining()) {
                return buffer.get(buffer.position() + remaining) & 0xff;
            }
            remaining -= buffer.remaining();
        }
        throw new IndexOutOfBoundsException("byte " + offset + " of " + size);
    }

    /** The big-endian integer of {@code bytes} bytes at an offset from the front, unsigned if shorter than 8 bytes. */
    public long peekInt(int offset, int bytes) {
        ByteBuffer first = buffers.peekFirst();
        if (first != null && first.remaining() >= offset + bytes) {
            int at = first.position() + offset;
            switch (bytes) {
                case 2:
                    return first.getShort(at) & 0xffffL;
                case 4:
                    return first.getInt(at) & 0xffffffffL;
                case 8:
                    return first.getLong(at);
                default:
                    break;
            }
        }
        long value = 0;
        for (int i = 0; i < bytes; i++) {
            value = value << 8 | peek(offset + i);
        }
        return value;
    }

    public int takeU8() {
        int value = peek(0);
        skip(1);
        return value;
    }

    public int takeU16() {
        int value = (int) peekInt(0, 2);
        skip(2);
        return value;
    }

    public long takeU32() {
        long value = peekInt(0, 4);
        skip(4);
        return value;
    }

    public long takeLong() {
        long value = peekInt(0, 8);
        skip(8);
        return value;
    }

    /** Moves up to {@code length} bytes to {@code target}; returns the number of bytes moved. */
    public int take(byte[] target, int offset, int length) {
        int done = 0;
        while (done < length && !buffers.isEmpty()) {
            ByteBuffer buffer = buffers.peekFirst();
            int count = Math.min(length - done, buffer.remaining());
            buffer.get(target, offset + done, count);
            done += count;
            removeIfEmpty(buffer);
        }
        size -= done;
        return done;
    }

    /** Removes and returns the next {@code length} bytes; the caller has checked {@link #size()}. */
    public byte[] take(int length) {
        byte[] bytes = new byte[length];
        if (take(bytes, 0, length) != length) {
            throw new IndexOutOfBoundsException("fewer bytes in the queue than requested");
        }
        return bytes;
    }

    /** Discards up to {@code length} bytes; returns the number of bytes discarded. */
    public int skip(int length) {
        int done = 0;
        while (done < length && !buffers.isEmpty()) {
            ByteBuffer buffer = buffers.peekFirst();
            int count = Math.min(length - done, buffer.remaining());
            buffer.position(buffer.position() + count);
            done += count;
            removeIfEmpty(buffer);
        }
        size -= done;
        return done;
    }

    private void removeIfEmpty(ByteBuffer buffer) {
        if (!buffer.hasRemaining()) {
            buffers.removeFirst();
        }
    }
}
