package garnetreel.codec;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Frames of the node, node list and map protocols (docs/node-protocol.md). Integers are big-endian:
 *
 * <pre>
 * 0  u32 magic     "GRN1"
 * 4  u8  kind
 * 5  u8  reserved, 0
 * 6  u16 reserved, 0
 * 8  u32 length    bytes of the body that follows the header
 * 12 u32 crc       CRC32C of bytes 4 to 11 and of the body
 * </pre>
 */
public final class LengthPrefixedFrames {
    /** "GRN1". */
    public static final int MAGIC = 0x47524e31;

    public static final int HEADER_BYTES = 16;
    /** Largest body: the largest payload of a sub-request and its fields. A greater length means a corrupt stream. */
    public static final int MAX_BODY_BYTES = (4 << 20) + 4096;

    private LengthPrefixedFrames() {}

    /** A decoded frame: the kind of its message, and its body. */
    public record Frame(int kind, ByteBuffer body) {}

    /** The next frame, or null until it has been received completely. */
    public static Frame next(ByteQueue in) throws ProtocolException {
        return next(in, MAX_BODY_BYTES);
    }

    /** The next frame of a protocol whose bodies have another maximum size. */
    public static Frame next(ByteQueue in, int maxBodyBytes) throws ProtocolException {
        if (in.size() < HEADER_BYTES) {
            return null;
        }
        if ((int) in.peekInt(0, 4) != MAGIC) {
            throw new ProtocolException("invalid frame magic 0x" + Long.toHexString(in.peekInt(0, 4)));
        }
        long length = in.peekInt(8, 4);
        if (length > maxBodyBytes) {
            throw new ProtocolException(
                    "frame body of " + length + " bytes exceeds the maximum of " + maxBodyBytes + " bytes");
        }
        if (in.size() < HEADER_BYTES + length) {
            return null;
        }
        byte[] bytes = in.take(HEADER_BYTES + (int) length);
        ByteBuffer frame = ByteBuffer.wrap(bytes);
        if (crc(bytes) != frame.getInt(12)) {
            throw new ProtocolException("frame checksum mismatch");
        }
        return new Frame(
                bytes[4] & 0xff,
                ByteBuffer.wrap(bytes, HEADER_BYTES, (int) length).slice());
    }

    /** Allocates a frame for a body of {@code length} bytes, positioned at the start of the body. */
    public static ByteBuffer begin(int kind, int length) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + length);
        frame.putInt(MAGIC)
                .put((byte) kind)
                .put((byte) 0)
                .putShort((short) 0)
                .putInt(length)
                .putInt(0);
        return frame;
    }

    /** Writes the checksum of a frame whose body is complete, and prepares the buffer for reading. */
    public static ByteBuffer finish(ByteBuffer frame) {
        if (frame.hasRemaining()) {
            throw new IllegalStateException("frame body is incomplete, missing bytes: " + frame.remaining());
        }
        frame.putInt(12, crc(frame.array()));
        frame.flip();
        return frame;
    }

    private static int crc(byte[] frame) {
        CRC32C crc = new CRC32C();
        crc.update(frame, 4, 8);
        crc.update(frame, HEADER_BYTES, frame.length - HEADER_BYTES);
        return (int) crc.getValue();
    }
}
