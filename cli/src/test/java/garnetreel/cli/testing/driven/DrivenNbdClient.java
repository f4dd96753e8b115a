package garnetreel.cli.testing.driven;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.nbd.Nbd;
import garnetreel.core.Gateway;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** An NBD client of a {@link DrivenGateway}, with simple replies. */
final class DrivenNbdClient implements DrivenGateway.DrivenClient {
    private static final int GREETING_LENGTH = 18;
    private static final int OPTION_REPLY_LENGTH = 20;
    private static final int OPTION_REPLY_TYPE_OFFSET = 12;
    private static final int OPTION_REPLY_LENGTH_OFFSET = 16;
    private static final int SIMPLE_REPLY_LENGTH = 16;
    private static final int COOKIE_OFFSET = 8;

    /** The reply to a request; the data is empty unless it was a read. */
    record Reply(int error, byte[] data) {
        boolean served() {
            return error == 0;
        }
    }

    private final DrivenGateway gateway;
    private final ByteQueue input = new ByteQueue();
    private final Map<Long, Integer> readLengths = new HashMap<>();
    private final Map<Long, Reply> replies = new HashMap<>();
    private final long connectionId;
    private boolean greeted;
    private boolean transmitting;
    private boolean closed;
    private long lastCookie;

    DrivenNbdClient(DrivenGateway gateway, String export) {
        this.gateway = gateway;
        connectionId = gateway.connect(Gateway.NBD, this);
        byte[] name = export.getBytes(StandardCharsets.UTF_8);
        gateway.send(
                connectionId,
                ByteBuffer.allocate(Integer.BYTES + 16 + Integer.BYTES + name.length + Short.BYTES)
                        .putInt(Nbd.FIXED_NEWSTYLE | Nbd.NO_ZEROES)
                        .putLong(Nbd.OPTION_MAGIC)
                        .putInt(Nbd.OPT_GO)
                        .putInt(Integer.BYTES + name.length + Short.BYTES)
                        .putInt(name.length)
                        .put(name)
                        .putShort((short) 0)
                        .flip());
    }

    /** Sends a write and returns its cookie. */
    long write(long offset, byte[] data) {
        return send(Nbd.CMD_WRITE, offset, data.length, data);
    }

    /** Sends the header of a write and the beginning of its data. */
    void beginWrite(long offset, int length, int sent) {
        gateway.send(connectionId, request(Nbd.CMD_WRITE, ++lastCookie, offset, length, new byte[sent]));
    }

    /** Sends further data of a write. */
    void continueWrite(int bytes) {
        gateway.send(connectionId, ByteBuffer.allocate(bytes));
    }

    /** Whether the gateway has closed the connection. */
    boolean isClosed() {
        return closed;
    }

    /** Sends a read and returns its cookie. */
    long read(long offset, int length) {
        return send(Nbd.CMD_READ, offset, length, new byte[0]);
    }

    /** Sends a flush and returns its cookie. */
    long flush() {
        return send(Nbd.CMD_FLUSH, 0, 0, new byte[0]);
    }

    private long send(int type, long offset, int length, byte[] data) {
        long cookie = ++lastCookie;
        readLengths.put(cookie, type == Nbd.CMD_READ ? length : 0);
        gateway.send(connectionId, request(type, cookie, offset, length, data));
        return cookie;
    }

    private static ByteBuffer request(int type, long cookie, long offset, int length, byte[] data) {
        return ByteBuffer.allocate(28 + data.length)
                .putInt(Nbd.REQUEST_MAGIC)
                .putShort((short) 0)
                .putShort((short) type)
                .putLong(cookie)
                .putLong(offset)
                .putInt(length)
                .put(data)
                .flip();
    }

    /** The reply to a request; null while there is none. */
    Reply reply(long cookie) {
        return replies.get(cookie);
    }

    @Override
    public void closed() {
        closed = true;
    }

    @Override
    public void received(ByteBuffer data) {
        input.add(data);
        if (!greeted && input.size() >= GREETING_LENGTH) {
            input.skip(GREETING_LENGTH);
            greeted = true;
        }
        while (greeted && (transmitting ? readReply() : readOptionReply())) {
            // the next one follows
        }
    }

    private boolean readOptionReply() {
        if (input.size() < OPTION_REPLY_LENGTH) {
            return false;
        }
        int type = (int) input.peekInt(OPTION_REPLY_TYPE_OFFSET, Integer.BYTES);
        int length = (int) input.peekInt(OPTION_REPLY_LENGTH_OFFSET, Integer.BYTES);
        if (input.size() < OPTION_REPLY_LENGTH + length) {
            return false;
        }
        input.skip(OPTION_REPLY_LENGTH + length);
        transmitting = type == Nbd.REP_ACK;
        return true;
    }

    private boolean readReply() {
        if (input.size() < SIMPLE_REPLY_LENGTH) {
            return false;
        }
        int error = (int) input.peekInt(Integer.BYTES, Integer.BYTES);
        long cookie = input.peekInt(COOKIE_OFFSET, Long.BYTES);
        int length = error == 0 ? readLengths.getOrDefault(cookie, 0) : 0;
        if (input.size() < SIMPLE_REPLY_LENGTH + length) {
            return false;
        }
        input.skip(SIMPLE_REPLY_LENGTH);
        replies.put(cookie, new Reply(error, input.take(length)));
        return true;
    }
}
