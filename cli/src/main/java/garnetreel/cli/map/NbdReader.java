package garnetreel.cli.map;

import garnetreel.codec.nbd.Nbd;
import garnetreel.codec.nbd.NbdClientCodec;
import java.io.IOException;

/** Reads an export through a gateway, one request at a time. */
final class NbdReader implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final int READ_BYTES = 1 << 17;

    private final BlockingConnection<NbdClientCodec.ServerMessage> connection;
    private long cookie;

    /** Connects and opens the export. */
    NbdReader(String address, String export) throws IOException {
        connection = new BlockingConnection<>(
                "the gateway", address, TIMEOUT_MILLIS, READ_BYTES, new NbdClientCodec()::next);
        connection.send(NbdClientCodec.encodeHandshake(export));
        while (!(connection.receive() instanceof NbdClientCodec.Ready)) {
            // skips the replies to the options, which precede the opening of the export
        }
    }

    /**
     * Reads a range of the export.
     *
     * @throws RequestRejectedException when the gateway does not serve the read
     */
    byte[] read(long offset, int length) throws IOException {
        connection.send(NbdClientCodec.encodeRequest(Nbd.CMD_READ, 0, ++cookie, offset, length, null));
        byte[] data = new byte[length];
        while (true) {
            NbdClientCodec.ReplyChunk chunk = (NbdClientCodec.ReplyChunk) connection.receive();
            if (chunk.error() != 0) {
                throw new RequestRejectedException("read of " + length + " bytes at " + offset + " failed: "
                        + (chunk.message().isEmpty() ? "error " + chunk.error() : chunk.message()));
            }
            if (chunk.data() != null) {
                System.arraycopy(chunk.data(), 0, data, (int) (chunk.offset() - offset), chunk.data().length);
            }
            if (chunk.last()) {
                return data;
            }
        }
    }

    @Override
    public void close() throws IOException {
        connection.close();
    }
}
