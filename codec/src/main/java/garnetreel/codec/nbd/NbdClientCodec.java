package garnetreel.codec.nbd;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The client's side of NBD: what it says in the handshake, and the replies it reads. */
public final class NbdReplies {
    private static final int CHUNK_MOST = 64 << 20;

    private enum State {
        GREETING,
        OPTIONS,
        TRANSMISSION
    }

    /** Something the server said. */
    public sealed interface Said {}

    /** The handshake is over and requests may be sent. */
    public record Ready() implements Said {}

    /** A reply, or one chunk of it. Data chunks and holes bring {@code offset}; a hole has no data. */
    public record Piece(long cookie, boolean done, int error, String message, long offset, byte[] data, int hole)
            implements Said {}

    private State state = State.GREETING;
    private int acks;

    /** All the client says after the greeting: structured replies, and the export. */
    public static ByteBuffer opening(String export) {
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

    /** A request's bytes. */
    public static ByteBuffer request(int type, int flags, long cookie, long offset, int length, byte[] data) {
        ByteBuffer out = ByteBuffer.allocate(28 + (data == null ? 0 : data.length));
        out.putInt(Nbd.REQUEST_MAGIC)
                .putShort((short) flags)
                .putShort((short) type)
                .putLong(cookie)
                .putLong(offset)
                .putInt(length);
        return (data == null ? out : out.put(data)).flip();
    }

    /** The next thing the server said, or null while it has not all come; data of READs are in data chunks only. */
    public Said next(ByteQueue in) throws ProtocolException {
        return switch (state) {
            case GREETING -> {
                if (in.size() < 18) {
                    yield null;
                }
                if (in.takeLong() != Nbd.MAGIC || in.takeLong() != Nbd.OPTION_MAGIC) {
                    throw new ProtocolException("no NBD server");
                }
                in.skip(2);
                state = State.OPTIONS;
                yield next(in);
            }
            case OPTIONS -> option(in);
            case TRANSMISSION -> reply(in);
        };
    }

    private Said option(ByteQueue in) throws ProtocolException {
        while (in.size() >= 20) {
            long length = in.peekInt(16, 4);
            if (in.size() < 20 + length) {
                return null;
            }
            if (in.takeLong() != Nbd.OPTION_REPLY_MAGIC) {
                throw new ProtocolException("option reply magic differs");
            }
            in.skip(4);
            int type = (int) in.takeU32();
            in.skip(4);
            byte[] data = in.take((int) length);
            if (type < 0) {
                throw new ProtocolException("option refused: " + new String(data, StandardCharsets.UTF_8));
            }
            if (type == Nbd.REP_ACK && ++acks == 2) {
                state = State.TRANSMISSION;
                return new Ready();
            }
        }
        return null;
    }

    private Said reply(ByteQueue in) throws ProtocolException {
        if (in.size() < 16) {
            return null;
        }
        int magic = (int) in.peekInt(0, 4);
        if (magic == Nbd.SIMPLE_REPLY_MAGIC) {
            in.skip(4);
            int error = (int) in.takeU32();
            return new Piece(in.takeLong(), true, error, "", 0, null, 0);
        }
        if (magic != Nbd.CHUNK_MAGIC) {
            throw new ProtocolException("reply magic is 0x" + Integer.toHexString(magic));
        }
        if (in.size() < 20) {
            return null;
        }
        long length = in.peekInt(16, 4);
        if (length > CHUNK_MOST) {
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
                return new Piece(cookie, done, 0, "", offset, data, 0);
            }
            case Nbd.CHUNK_HOLE -> {
                return new Piece(cookie, done, 0, "", body.getLong(), null, body.getInt());
            }
            case Nbd.CHUNK_ERROR, Nbd.CHUNK_ERROR_OFFSET -> {
                int error = body.getInt();
                byte[] text = new byte[body.getShort() & 0xffff];
                body.get(text);
                return new Piece(cookie, done, error, new String(text, StandardCharsets.UTF_8), 0, null, 0);
            }
            default -> {
                return new Piece(cookie, done, 0, "", 0, null, 0);
            }
        }
    }
}
