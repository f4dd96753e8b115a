package garnetreel.codec.nbd;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes the server's messages. */
public final class NbdWriter {
    private static final int CHUNK_HEADER_BYTES = 20;
    private static final byte[] EMPTY = new byte[0];
    /** Maximum bytes of the message in an error chunk, beyond which it is truncated; the specification allows 4,096. */
    private static final int MAX_MESSAGE_BYTES = 1024;

    private NbdWriter() {}

    /** Length and base:allocation flags of an extent in a block status reply. */
    public record Extent(int length, int flags) {}

    /** The server's first message. */
    public static ByteBuffer greeting() {
        return ByteBuffer.allocate(18)
                .putLong(Nbd.MAGIC)
                .putLong(Nbd.OPTION_MAGIC)
                .putShort((short) (Nbd.FIXED_NEWSTYLE | Nbd.NO_ZEROES))
                .flip();
    }

    /** Reply to EXPORT_NAME, which has no reply header and ends with zeroes unless the client set NO_ZEROES. */
    public static ByteBuffer exportName(long size, int flags, boolean zeroes) {
        ByteBuffer out =
                ByteBuffer.allocate(10 + (zeroes ? 124 : 0)).putLong(size).putShort((short) flags);
        return out.position(out.capacity()).flip();
    }

    /** A reply to an option. */
    public static ByteBuffer optionReply(int option, int type, byte[] data) {
        return ByteBuffer.allocate(20 + data.length)
                .putLong(Nbd.OPTION_REPLY_MAGIC)
                .putInt(option)
                .putInt(type)
                .putInt(data.length)
                .put(data)
                .flip();
    }

    /** The reply that completes an option successfully. */
    public static ByteBuffer optionAck(int option) {
        return optionReply(option, Nbd.REP_ACK, EMPTY);
    }

    /** An error reply to an option, with a human-readable message. */
    public static ByteBuffer optionError(int option, int type, String message) {
        return optionReply(option, type, message.getBytes(StandardCharsets.UTF_8));
    }

    /** An export in the reply to LIST. */
    public static ByteBuffer optionServer(int option, String name) {
        byte[] text = name.getBytes(StandardCharsets.UTF_8);
        return optionReply(
                option,
                Nbd.REP_SERVER,
                ByteBuffer.allocate(4 + text.length)
                        .putInt(text.length)
                        .put(text)
                        .array());
    }

    /** Size and transmission flags of an export. */
    public static ByteBuffer infoExport(int option, long size, int flags) {
        return optionReply(
                option,
                Nbd.REP_INFO,
                ByteBuffer.allocate(12)
                        .putShort((short) Nbd.INFO_EXPORT)
                        .putLong(size)
                        .putShort((short) flags)
                        .array());
    }

    /** Textual information about an export, such as its name. */
    public static ByteBuffer infoText(int option, int info, String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        return optionReply(
                option,
                Nbd.REP_INFO,
                ByteBuffer.allocate(2 + text.length)
                        .putShort((short) info)
                        .put(text)
                        .array());
    }

    /** The block sizes of an export. */
    public static ByteBuffer infoBlockSize(int option, int minimum, int preferred, int maximum) {
        return optionReply(
                option,
                Nbd.REP_INFO,
                ByteBuffer.allocate(14)
                        .putShort((short) Nbd.INFO_BLOCK_SIZE)
                        .putInt(minimum)
                        .putInt(preferred)
                        .putInt(maximum)
                        .array());
    }

    /** A metadata context, and the id that refers to it in block status replies. */
    public static ByteBuffer metaContext(int option, int id, String name) {
        byte[] text = name.getBytes(StandardCharsets.UTF_8);
        return optionReply(
                option,
                Nbd.REP_META_CONTEXT,
                ByteBuffer.allocate(4 + text.length).putInt(id).put(text).array());
    }

    /** A simple reply, positioned at its data; there must be data only if {@code error} is 0. */
    public static ByteBuffer simpleReply(int error, long cookie, int dataLength) {
        return ByteBuffer.allocate(16 + dataLength)
                .putInt(Nbd.SIMPLE_REPLY_MAGIC)
                .putInt(error)
                .putLong(cookie);
    }

    /** A chunk whose header is written, positioned at its payload. */
    public static ByteBuffer chunk(boolean done, int type, long cookie, int length) {
        return ByteBuffer.allocate(CHUNK_HEADER_BYTES + length)
                .putInt(Nbd.CHUNK_MAGIC)
                .putShort((short) (done ? Nbd.CHUNK_DONE : 0))
                .putShort((short) type)
                .putLong(cookie)
                .putInt(length);
    }

    /** Header of a data chunk; the caller sends the data after it. */
    public static ByteBuffer dataChunkHeader(boolean done, long cookie, long offset, int length) {
        return chunk(done, Nbd.CHUNK_DATA, cookie, 8)
                .putInt(CHUNK_HEADER_BYTES - 4, 8 + length)
                .putLong(offset)
                .flip();
    }

    /** An empty chunk that ends a reply. */
    public static ByteBuffer done(long cookie) {
        return chunk(true, Nbd.CHUNK_NONE, cookie, 0).flip();
    }

    /** A chunk for a range that reads as zeroes. */
    public static ByteBuffer holeChunk(boolean done, long cookie, long offset, int length) {
        return chunk(done, Nbd.CHUNK_HOLE, cookie, 12)
                .putLong(offset)
                .putInt(length)
                .flip();
    }

    /** An error chunk, which ends the reply; a negative {@code offset} means that the error is not about an offset. */
    public static ByteBuffer errorChunk(long cookie, int error, String message, long offset) {
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(MAX_MESSAGE_BYTES, text.length);
        boolean hasOffset = offset >= 0;
        ByteBuffer out = chunk(
                true, hasOffset ? Nbd.CHUNK_ERROR_OFFSET : Nbd.CHUNK_ERROR, cookie, 6 + length + (hasOffset ? 8 : 0));
        out.putInt(error).putShort((short) length).put(text, 0, length);
        return (hasOffset ? out.putLong(offset) : out).flip();
    }

    /** A chunk with the status of consecutive extents, which ends the reply. */
    public static ByteBuffer blockStatus(long cookie, int context, List<Extent> extents) {
        ByteBuffer out = chunk(true, Nbd.CHUNK_BLOCK_STATUS, cookie, 4 + 8 * extents.size())
                .putInt(context);
        extents.forEach(e -> out.putInt(e.length()).putInt(e.flags()));
        return out.flip();
    }
}
