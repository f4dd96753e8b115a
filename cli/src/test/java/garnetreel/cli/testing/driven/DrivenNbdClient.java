package garnetreel.cli.testing.driven;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.nbd.Nbd;
import garnetreel.core.Gateway;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

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
    private final List<Integer> optionReplies = new ArrayList<>();
    private final Map<Long, Long> unanswered = new TreeMap<>();
    private boolean greeted;
    private boolean transmitting;
    private boolean closed;
    private long closedAt;
    private long lastCookie;
    private int repliesTwice;

    /** Connects and opens an export. */
    DrivenNbdClient(DrivenGateway gateway, String export) {
        this(gateway);
        sendGo(export);
    }

    /** Connects, and sends the flags that begin the negotiation. */
    DrivenNbdClient(DrivenGateway gateway) {
        this.gateway = gateway;
        connectionId = gateway.connect(Gateway.NBD, this);
        gateway.send(
                connectionId,
                ByteBuffer.allocate(Integer.BYTES)
                        .putInt(Nbd.FIXED_NEWSTYLE | Nbd.NO_ZEROES)
                        .flip());
    }

    /** Sends the option that opens an export. */
    void sendGo(String export) {
        sendBytes(goOption(export));
    }

    /** The bytes of the option that opens an export. */
    static byte[] goOption(String export) {
        byte[] name = export.getBytes(StandardCharsets.UTF_8);
        int length = Integer.BYTES + name.length + Short.BYTES;
        return ByteBuffer.allocate(16 + length)
                .putLong(Nbd.OPTION_MAGIC)
                .putInt(Nbd.OPT_GO)
                .putInt(length)
                .putInt(name.length)
                .put(name)
                .putShort((short) 0)
                .array();
    }

    /** Types of the replies to options, in order. */
    List<Integer> optionReplies() {
        return optionReplies;
    }

    /** Reads nothing that the gateway sends from now on. */
    void stopReading() {
        gateway.stopReading(connectionId);
    }

    /** Resets the connection. */
    void disconnect() {
        gateway.disconnect(connectionId);
    }

    /** Sends bytes as they are. */
    void sendBytes(byte[] bytes) {
        gateway.send(connectionId, ByteBuffer.wrap(bytes));
    }

    /** Sends the request that ends the connection. */
    void sendDisconnect() {
        gateway.send(connectionId, request(Nbd.CMD_DISC, ++lastCookie, 0, 0, new byte[0]));
    }

    /** Cookies of requests sent this long or longer before the connection's end, or now, that have no reply. */
    List<Long> unanswered(long sentBeforeMicros) {
        long end = closed ? closedAt : gateway.now();
        return unanswered.entrySet().stream()
                .filter(sent -> end - sent.getValue() >= sentBeforeMicros)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Number of replies to requests that had one already. */
    int repliesTwice() {
        return repliesTwice;
    }

    /** Cookie of the last request that was sent. */
    long lastCookie() {
        return lastCookie;
    }

    /** Number of replies to requests. */
    int replies() {
        return replies.size();
    }

    /** Sends a write and returns its cookie. */
    long write(long offset, byte[] data) {
        return send(Nbd.CMD_WRITE, offset, data.length, data);
    }

    /** Sends the header of a write and the beginning of its data, and returns its cookie. */
    long beginWrite(long offset, int length, int sent) {
        readLengths.put(++lastCookie, 0);
        unanswered.put(lastCookie, gateway.now());
        gateway.send(connectionId, request(Nbd.CMD_WRITE, lastCookie, offset, length, new byte[sent]));
        return lastCookie;
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
        unanswered.put(cookie, gateway.now());
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
        closedAt = gateway.now();
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
        optionReplies.add(type);
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
        if (replies.put(cookie, new Reply(error, input.take(length))) != null) {
            repliesTwice++;
        }
        unanswered.remove(cookie);
        return true;
    }
}
