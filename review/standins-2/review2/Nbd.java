package review2;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An NBD client with fixed newstyle handshake and simple replies; one request at a time. */
public final class Nbd implements AutoCloseable {
    private final Record record;
    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final DataOutputStream out;
    private long cookie;

    public Nbd(Record record, int port, String export) throws IOException {
        this.record = record;
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(60_000);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
        in.readLong();
        in.readLong();
        in.readUnsignedShort();
        out.writeInt(3);
        byte[] name = export.getBytes(StandardCharsets.UTF_8);
        out.writeLong(0x49484156454F5054L);
        out.writeInt(1);
        out.writeInt(name.length);
        out.write(name);
        out.flush();
        long size = in.readLong();
        int flags = in.readUnsignedShort();
        record.line("nbd client: connected, export %s of %d bytes, flags 0x%x%s", export, size, flags,
                (flags & 0x100) != 0 ? " (CAN_MULTI_CONN)" : "");
    }

    private int request(int type, int flags, long offset, int length, byte[] data, byte[] into) throws IOException {
        out.writeInt(0x25609513);
        out.writeShort(flags);
        out.writeShort(type);
        out.writeLong(++cookie);
        out.writeLong(offset);
        out.writeInt(length);
        if (data != null) {
            out.write(data);
        }
        out.flush();
        in.readInt();
        int error = in.readInt();
        in.readLong();
        if (into != null && error == 0) {
            in.readFully(into);
        }
        return error;
    }

    public int write(long offset, byte[] data, boolean fua) throws IOException {
        int error = request(1, fua ? 1 : 0, offset, data.length, data, null);
        record.line("nbd client: WRITE offset %d%s %s: %s", offset, fua ? " FUA" : "", Case.start(data), result(error));
        return error;
    }

    public int flush() throws IOException {
        int error = request(3, 0, 0, 0, null, null);
        record.line("nbd client: FLUSH: %s", result(error));
        return error;
    }

    /** The bytes; null if the read failed. */
    public byte[] read(long offset, int length) throws IOException {
        byte[] bytes = new byte[length];
        int error = request(0, 0, offset, length, null, bytes);
        record.line("nbd client: READ offset %d length %d: %s%s", offset, length, result(error),
                error == 0 ? ", " + Case.start(bytes) : "");
        return error == 0 ? bytes : null;
    }

    private static String result(int error) {
        return error == 0 ? "served" : "error " + error;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
