package garnetreel.cli.map;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.ProtocolException;
import garnetreel.net.Addresses;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;

/**
 * A client connection for tools that wait for each response: sends whole messages, and reads until a message is decoded.
 *
 * @param <M> type of the received messages
 */
final class BlockingConnection<M> implements AutoCloseable {
    /** An incremental decoder of a protocol. */
    interface Decoder<M> {
        /** Removes the next message from the queue; null while it is incomplete. */
        M next(ByteQueue received) throws ProtocolException;
    }

    private final Socket socket = new Socket();
    private final ByteQueue received = new ByteQueue();
    private final byte[] buffer;
    private final String peer;
    private final Decoder<M> decoder;

    /**
     * Connects.
     *
     * @param peer kind of peer, for error messages
     * @param address HOST:PORT
     * @param timeoutMillis limits connecting and each read
     * @param readBytes largest number of bytes of one read
     */
    BlockingConnection(String peer, String address, int timeoutMillis, int readBytes, Decoder<M> decoder)
            throws IOException {
        this.peer = peer + " at " + address;
        this.decoder = decoder;
        buffer = new byte[readBytes];
        socket.connect(Addresses.parse(address), timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
    }

    void send(ByteBuffer bytes) throws IOException {
        socket.getOutputStream().write(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
    }

    /**
     * Waits for the next message.
     *
     * @throws IOException when the peer closes the connection, sends nothing within the time limit or violates the protocol
     */
    M receive() throws IOException {
        try {
            M message = decoder.next(received);
            while (message == null) {
                int count = socket.getInputStream().read(buffer);
                if (count < 0) {
                    throw new IOException(peer + " closed the connection");
                }
                received.add(ByteBuffer.wrap(buffer.clone(), 0, count));
                message = decoder.next(received);
            }
            return message;
        } catch (ProtocolException e) {
            throw new IOException(peer + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
