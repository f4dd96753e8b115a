package garnetreel.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.conduits.ConduitStreamSinkChannel;

/** Buffers of one connection that are not written to its socket yet, in order. Guarded by the connection's lock. */
final class OutboundQueue {
    /** Maximum number of buffers in one gathering write. */
    private static final int MAX_GATHERED_BUFFERS = 64;

    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();

    void add(ByteBuffer buffer) {
        buffers.add(buffer);
    }

    boolean isEmpty() {
        return buffers.isEmpty();
    }

    /**
     * Makes one write call with the first buffers, and removes those that are written completely.
     *
     * @return bytes written, 0 if the send buffer of the socket is full
     * @throws IOException if the connection is broken
     */
    long writeTo(ConduitStreamSinkChannel sink) throws IOException {
        long written = writeFirst(sink);
        while (!buffers.isEmpty() && !buffers.peek().hasRemaining()) {
            buffers.poll();
        }
        return written;
    }

    private long writeFirst(ConduitStreamSinkChannel sink) throws IOException {
        ByteBuffer[] gathered = new ByteBuffer[Math.min(MAX_GATHERED_BUFFERS, buffers.size())];
        int count = 0;
        for (ByteBuffer buffer : buffers) {
            if (count == gathered.length) {
                break;
            }
            gathered[count++] = buffer;
        }
        return count == 1 ? writeBounded(sink, gathered[0]) : sink.write(gathered, 0, count);
    }

    /**
     * Writes at most {@link SocketConnection#MAX_CHUNK_BYTES} of a buffer. The JDK copies a heap buffer into a direct
     * buffer of the same size and caches that for the thread; the bound keeps the cached buffer small.
     */
    private static int writeBounded(ConduitStreamSinkChannel sink, ByteBuffer buffer) throws IOException {
        int limit = buffer.limit();
        buffer.limit(Math.min(limit, buffer.position() + SocketConnection.MAX_CHUNK_BYTES));
        try {
            return sink.write(buffer);
        } finally {
            buffer.limit(limit);
        }
    }

    /** Removes all buffers and returns how many of their bytes were not written. */
    int discard() {
        int unsent = 0;
        for (ByteBuffer buffer : buffers) {
            unsent += buffer.remaining();
        }
        buffers.clear();
        return unsent;
    }
}
