package garnetreel.cli.map;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdReplies;
import garnetreel.net.Addresses;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;

/** Reads an export through a head, one request at a time. */
final class NbdReader implements AutoCloseable {
    private static final int TIMEOUT_MS = 30_000;

    /** The head did not serve a read. */
    static final class Refused extends IOException {
        private static final long serialVersionUID = 1;

        Refused(String why) {
            super(why);
        }
    }

    private final Socket socket = new Socket();
    private final ByteQueue in = new ByteQueue();
    private final NbdReplies replies = new NbdReplies();
    private final byte[] buffer = new byte[1 << 17];
    private final String address;
    private long cookie;

    NbdReader(String address, String export) throws IOException {
        this.address = address;
        socket.connect(Addresses.parse(address), TIMEOUT_MS);
        socket.setSoTimeout(TIMEOUT_MS);
        say(NbdReplies.opening(export));
        while (!(next() instanceof NbdReplies.Ready)) {
            // options are answered before the export is open
        }
    }

    byte[] read(long offset, int length) throws IOException {
        say(NbdReplies.request(Nbd.CMD_READ, 0, ++cookie, offset, length, null));
        byte[] data = new byte[length];
        while (true) {
            NbdReplies.Piece piece = (NbdReplies.Piece) next();
            if (piece.error() != 0) {
                throw new Refused("read at " + offset + " was not served: "
                        + (piece.message().isEmpty() ? "error " + piece.error() : piece.message()));
            }
            if (piece.data() != null) {
                System.arraycopy(piece.data(), 0, data, (int) (piece.offset() - offset), piece.data().length);
            }
            if (piece.done()) {
                return data;
            }
        }
    }

    private void say(ByteBuffer bytes) throws IOException {
        socket.getOutputStream().write(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
    }

    private NbdReplies.Said next() throws IOException {
        try {
            NbdReplies.Said said;
            while ((said = replies.next(in)) == null) {
                int got = socket.getInputStream().read(buffer);
                if (got < 0) {
                    throw new IOException("the head at " + address + " closed the connection");
                }
                in.add(ByteBuffer.wrap(buffer.clone(), 0, got));
            }
            return said;
        } catch (ProtocolException e) {
            throw new IOException("the head at " + address + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
