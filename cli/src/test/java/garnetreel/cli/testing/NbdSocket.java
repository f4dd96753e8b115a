package garnetreel.cli.testing;

import garnetreel.codec.nbd.Nbd;
import garnetreel.net.Addresses;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A blocking NBD client for tests, independent of the NBD client of the test bed. */
final class NbdSocket implements AutoCloseable {
    /** A complete reply, with all chunks of a structured reply. */
    static final class Reply {
        long cookie;
        int error;
        long errorOffset = -1;
        String message = "";
        byte[] data;
        List<Integer> status = new ArrayList<>();
    }

    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;
    long size;
    long nextCookie = 1;
    private final java.util.Map<Long, long[]> reads = new java.util.HashMap<>();

    private NbdSocket(String address) throws IOException {
        var parsed = Addresses.parse(address);
        socket = new Socket(parsed.getAddress(), parsed.getPort());
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
        out = new DataOutputStream(socket.getOutputStream());
    }

    /** Connects and negotiates structured replies and base:allocation. */
    static NbdSocket connect(String address, String export) throws IOException {
        NbdSocket client = new NbdSocket(address);
        try {
            client.out.write(handshake(export));
            client.readHandshakeReplies();
            return client;
        } catch (IOException e) {
            client.close();
            throw e;
        }
    }

    /** Like {@link #connect}, but writes each byte on its own. */
    static NbdSocket bytewise(String address, String export) throws IOException {
        NbdSocket client = new NbdSocket(address);
        for (byte b : handshake(export)) {
            client.out.write(b);
            client.out.flush();
        }
        client.readHandshakeReplies();
        return client;
    }

    /** Connects and sends these bytes in place of a handshake. */
    static NbdSocket raw(String address, byte[] bytes) throws IOException {
        NbdSocket client = new NbdSocket(address);
        try {
            client.out.write(bytes);
        } catch (SocketException e) {
            // the server may close the connection before it has read all bytes
        }
        return client;
    }

    static byte[] handshake(String export) {
        byte[] name = export.getBytes(StandardCharsets.UTF_8);
        byte[] context = Nbd.BASE_ALLOCATION.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(4 + 3 * 16 + 4 + name.length + 4 + 4 + context.length + 4 + name.length + 2)
                .putInt(3)
                .putLong(Nbd.OPTION_MAGIC)
                .putInt(Nbd.OPT_STRUCTURED_REPLY)
                .putInt(0)
                .putLong(Nbd.OPTION_MAGIC)
                .putInt(Nbd.OPT_SET_META_CONTEXT)
                .putInt(4 + name.length + 4 + 4 + context.length)
                .putInt(name.length)
                .put(name)
                .putInt(1)
                .putInt(context.length)
                .put(context)
                .putLong(Nbd.OPTION_MAGIC)
                .putInt(Nbd.OPT_GO)
                .putInt(4 + name.length + 2)
                .putInt(name.length)
                .put(name)
                .putShort((short) 0)
                .array();
    }

    private void readHandshakeReplies() throws IOException {
        in.readFully(new byte[18]);
        for (int acks = 0; acks < 3; ) {
            in.readLong();
            in.readInt();
            int type = in.readInt();
            byte[] data = new byte[in.readInt()];
            in.readFully(data);
            if (type < 0) {
                throw new IOException(new String(data, StandardCharsets.UTF_8));
            }
            if (type == Nbd.REP_INFO && ByteBuffer.wrap(data).getShort() == Nbd.INFO_EXPORT) {
                size = ByteBuffer.wrap(data).getLong(2);
            }
            acks += type == Nbd.REP_ACK ? 1 : 0;
        }
    }

    int greetingAndOptionReply() throws IOException {
        in.readFully(new byte[18]);
        in.readLong();
        in.readInt();
        return in.readInt();
    }

    void write(byte[] bytes) throws IOException {
        out.write(bytes);
    }

    /** Sends a request and returns its cookie. */
    long send(int type, int flags, long offset, int length, byte[] data) throws IOException {
        long cookie = nextCookie++;
        ByteBuffer request = ByteBuffer.allocate(28 + (data == null ? 0 : data.length))
                .putInt(Nbd.REQUEST_MAGIC)
                .putShort((short) flags)
                .putShort((short) type)
                .putLong(cookie)
                .putLong(offset)
                .putInt(length);
        if (data != null) {
            request.put(data);
        }
        if (type == Nbd.CMD_READ && length > 0) {
            reads.put(cookie, new long[] {offset, length});
        }
        out.write(request.array());
        return cookie;
    }

    Reply call(int type, int flags, long offset, int length, byte[] data) throws IOException {
        long cookie = send(type, flags, offset, length, data);
        Reply reply = reply();
        if (reply.cookie != cookie) {
            throw new IOException("reply has cookie " + reply.cookie + ", expected " + cookie);
        }
        return reply;
    }

    /** Retries until the request is no longer rejected; a rejection means that a retry is safe. */
    Reply callWithRetries(int type, int flags, long offset, int length, byte[] data) throws IOException {
        Reply reply;
        do {
            reply = call(type, flags, offset, length, data);
        } while (reply.error == Nbd.ENOMEM);
        return reply;
    }

    byte[] read(long offset, int length, int flags) throws IOException {
        Reply reply = callWithRetries(Nbd.CMD_READ, flags, offset, length, null);
        if (reply.error != 0) {
            throw new IOException("read failed with " + reply.error + ": " + reply.message);
        }
        return reply.data;
    }

    /** Reads the next complete reply. */
    Reply reply() throws IOException {
        Reply reply = new Reply();
        boolean done = false;
        while (!done) {
            int magic = in.readInt();
            if (magic == Nbd.SIMPLE_REPLY_MAGIC) {
                reply.error = in.readInt();
                reply.cookie = in.readLong();
                return reply;
            }
            if (magic != Nbd.CHUNK_MAGIC) {
                throw new IOException("unexpected magic " + Integer.toHexString(magic));
            }
            done = (in.readShort() & 1) != 0;
            int type = in.readShort() & 0xffff;
            reply.cookie = in.readLong();
            byte[] payload = new byte[in.readInt()];
            in.readFully(payload);
            ByteBuffer body = ByteBuffer.wrap(payload);
            long[] read = reads.get(reply.cookie);
            if (read != null && reply.data == null) {
                reply.data = new byte[(int) read[1]];
            }
            switch (type) {
                case Nbd.CHUNK_DATA -> {
                    int position = (int) (body.getLong() - read[0]);
                    body.get(reply.data, position, body.remaining());
                }
                case Nbd.CHUNK_ERROR, Nbd.CHUNK_ERROR_OFFSET -> {
                    reply.error = body.getInt();
                    byte[] text = new byte[body.getShort()];
                    body.get(text);
                    reply.message = new String(text, StandardCharsets.UTF_8);
                    reply.errorOffset = type == Nbd.CHUNK_ERROR_OFFSET ? body.getLong() : -1;
                }
                case Nbd.CHUNK_BLOCK_STATUS -> {
                    body.getInt();
                    while (body.hasRemaining()) {
                        reply.status.add(body.getInt());
                    }
                }
                default -> {}
            }
        }
        return reply;
    }

    /** Whether the server closes the connection after at most this number of further bytes. */
    boolean endsAfter(int maxBytes) throws IOException {
        try {
            for (int i = 0; i <= maxBytes; i++) {
                in.readByte();
            }
            return false;
        } catch (EOFException | SocketException e) {
            return true;
        }
    }

    /** Closes the connection without a disconnect request. */
    void closeAbruptly() throws IOException {
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
