package garnetreel.codec.nbd;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The client side of NBD: encodes its handshake and requests, and parses the server's messages. */
public final class NbdClientCodec {
    private static final int MAX_CHUNK_BYTES = 64 << 20;

    private enum State {
        GREETING,
        OPTIONS,
        TRANSMISSION
    }

    /** A message of the server. */
    public sealed interface ServerMessage {}

    /** The handshake is complete and requests may be sent. */
    public record Ready() implements ServerMessage {}

    /**
     * A simple reply, or a chunk of a structured reply.
     *
     * @param last whether this is the last chunk of the reply
     * @param offset offset of the data or hole
     * @param data data of a data chunk, else null
     * @param holeBytes length of a hole, else 0
     */
    public record ReplyChunk(
            long cookie, boolean last, int error, String message, long offset, byte[] data, int holeBytes)
            implements ServerMessage {}

    private State state = State.GREETING;
    private int acks;

    /** All messages of the client's handshake: its flags, and options for structured replies and the export. */
    public static ByteBuffer encodeHandshake(String export) {
        byte[] name = export.getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(4 + 16 + 16 + 4 + name.length + 2);
        out.putInt(Nbd.FIXED_NEWSTYLE | Nbd.NO_ZEROES);
        out.putLong(Nbd.OPTION_MAGIC).putInt(Nbd.OPT_STRUCTURED_REPLY).putInt(0);
        out.putLong(Nbd.OPTION_MAGIC)
                .putInt(Nbd.OPT_GO)
                .putInt(4 + name.length + 2)
                .putInt(name.length)
                .put(name)
                .putShort((short) 0);
        return out.flip();
    }

    /** Encodes a request; {@code data} is null unless it has a payload. */
    public static ByteBuffer encodeRequest(int type, int flags, long cookie, long offset, int length, byte[] data) {
        ByteBuffer out = ByteBuffer.allocate(28 + (data == null ? 0 : data.length));
        out.putInt(Nbd.REQUEST_MAGIC)
                .putShort((short) flags)
                .putShort((short) type)
                .putLong(cookie)
                .putLong(offset)
                .putInt(length);
        return (data == null ? out : out.put(data)).flip();
    }

    /**
     * The next message, or null until it has been received completely. Data of a READ arrives in data chunks, and
     * zeroes in hole chunks too; a simple reply is taken to have no data.
     */
    public ServerMessage next(ByteQueue in) throws ProtocolException {
        return switch (state) {
            case GREETING -> {
                if (in.size() < 18) {
                    yield null;
                }
                if (in.takeLong() != Nbd.MAGIC || in.takeLong() != Nbd.OPTION_MAGIC) {
                    throw new ProtocolException("the peer is not an NBD server");
                }
                in.skip(2);
                state = State.OPTIONS;
                yield next(in);
            }
            case OPTIONS -> readOption(in);
            case TRANSMISSION -> readReply(in);
        };
    }

    private ServerMessage readOption(ByteQueue in) throws ProtocolException {
        while (in.size() >= 20) {
            long length = in.peekInt(16, 4);
            if (in.size() < 20 + length) {
                return null;
            }
            if (in.takeLong() != Nbd.OPTION_REPLY_MAGIC) {
                throw new ProtocolException("invalid option reply magic");
            }
            in.skip(4);
            int type = (int) in.takeU32();
            in.skip(4);
            byte[] data = in.take((int) length);
            if (type < 0) {
                throw new ProtocolException("NBD option rejected: " + new String(data, StandardCharsets.UTF_8));
            }
            if (type == Nbd.REP_ACK && ++acks == 2) {
                state = State.TRANSMISSION;
                return new Ready();
            }
        }
        return null;
    }

    private ServerMessage readReply(ByteQueue in) throws ProtocolException {
        if (in.size() < 16) {
            return null;
        }
        int magic = (int) in.peekInt(0, 4);
        if (magic == Nbd.SIMPLE_REPLY_MAGIC) {
            in.skip(4);
            int error = (int) in.takeU32();
            return new ReplyChunk(in.takeLong(), true, error, "", 0, null, 0);
        }
        if (magic != Nbd.CHUNK_MAGIC) {
            throw new ProtocolException("invalid reply magic 0x" + Integer.toHexString(magic));
        }
        if (in.size() < 20) {
            return null;
        }
        long length = in.peekInt(16, 4);
        if (length > MAX_CHUNK_BYTES) {
            throw new ProtocolException("chunk of " + length + " bytes");
        }
        if (in.size() < 20 + length) {
            return null;
        }
        in.skip(4);
        boolean done = (in.takeU16() & Nbd.CHUNK_DONE) != 0;
        int type = in.takeU16();
        long cookie = in.takeLong();
        in.skip(4);
        ByteBuffer body = ByteBuffer.wrap(in.take((int) length));
        switch (type) {
            case Nbd.CHUNK_DATA -> {
                long offset = body.getLong();
                byte[] data = new byte[body.remaining()];
                body.get(data);
                return new ReplyChunk(cookie, done, 0, "", offset, data, 0);
            }
            case Nbd.CHUNK_HOLE -> {
                return new ReplyChunk(cookie, done, 0, "", body.getLong(), null, body.getInt());
            }
            case Nbd.CHUNK_ERROR, Nbd.CHUNK_ERROR_OFFSET -> {
                int error = body.getInt();
                byte[] text = new byte[body.getShort() & 0xffff];
                body.get(text);
                return new ReplyChunk(cookie, done, error, new String(text, StandardCharsets.UTF_8), 0, null, 0);
            }
            default -> {
                return new ReplyChunk(cookie, done, 0, "", 0, null, 0);
            }
        }
    }
}
