package garnetreel.net;

import garnetreel.core.io.NetEvent;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * One connection. Received bytes are delivered in chunks, with limits on those that the state machine has not handled
 * yet, for each connection and for all of the loop ({@link ReceiveBudget}), so that a slow state machine exerts
 * backpressure on its peers. Writes are attempted at the end of a turn, as most fit into the send buffer of the socket;
 * the rest is written when the socket becomes writable.
 *
 * <p>The state machine decides whether a connection is closed, this class how. A graceful close sends all queued bytes,
 * shuts down the sending side, then reads and discards until the peer's end of stream (RFC 9112, 9.6). A close while
 * received bytes are unread, or while bytes arrive, would be a reset, and a reset can destroy a response that the peer
 * has not read yet.
 */
final class SocketConnection {
    /** Number of received chunks that the state machine has not handled at which the socket is no longer read. */
    static final int MAX_UNHANDLED_CHUNKS = 4;
    /** Largest chunk; also the size of the read buffer of an I/O thread. */
    static final int MAX_CHUNK_BYTES = 128 << 10;
    /** Maximum time to send the queued bytes in a graceful close; then the connection is aborted. */
    private static final long SEND_TIMEOUT_MILLIS = 5_000;
    /** Maximum wait for the peer's end of stream after the shutdown of the sending side. */
    static final long LINGER_TIMEOUT_MILLIS = 1_000;
    /** Maximum number of bytes discarded while waiting for the peer's end of stream. */
    private static final int MAX_LINGER_BYTES = 1 << 20;

    private static final ThreadLocal<ByteBuffer> READ_BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(MAX_CHUNK_BYTES));

    /** Is notified of the steps of a close; on the I/O thread, or on the thread that closes the loop. */
    interface Listener {
        /** All bytes are sent and the sending side is shut down; the peer's end of stream is awaited. */
        void lingering(SocketConnection connection);

        /** The socket is closed. */
        void closed(SocketConnection connection);

        /** Runs a channel listener of the connection's socket, whose errors end the event loop. */
        void runChannelListener(Runnable channelListener);
    }

    private enum Phase {
        OPEN,
        /** Closed by the state machine; the queued bytes are sent before the shutdown of the sending side. */
        SENDING,
        /** The sending side is shut down; awaits the peer's end of stream. */
        LINGERING,
        CLOSED
    }

    /** Identifier of this connection in the events and actions of the state machine. */
    final long id;

    private final EventQueue events;
    private final StreamConnection stream;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final Listener listener;
    private final ReceiveBudget budget;
    /** Guarded by this object's lock, as are all fields below. */
    private final OutboundQueue outbound = new OutboundQueue();

    private Phase phase = Phase.OPEN;
    /** Number of chunks that may be read before the state machine has handled another one. */
    private int readCredits = MAX_UNHANDLED_CHUNKS;

    private boolean readInterest = true;
    private boolean awaitingWritable;
    private boolean peerEnded;
    /** Bytes written to the socket for which no {@link NetEvent.Written} was queued yet. */
    private int drainedBytes;

    private int discardedBytes;
    private XnioExecutor.Key closeTimeout;

    SocketConnection(long id, StreamConnection stream, EventQueue events, ReceiveBudget budget, Listener listener) {
        this.id = id;
        this.events = events;
        this.stream = stream;
        this.budget = budget;
        this.listener = listener;
        this.source = stream.getSourceChannel();
        this.sink = stream.getSinkChannel();
    }

    void start() {
        source.setReadListener(any -> listener.runChannelListener(this::onReadable));
        sink.setWriteListener(any -> listener.runChannelListener(this::onWritable));
        source.resumeReads();
    }

    // ---------------------------------------------------------------- reading

    private void onReadable() {
        ByteBuffer buffer = READ_BUFFER.get();
        while (continueReading()) {
            int chunkBytes = nextChunkBytes();
            if (chunkBytes == 0) {
                return; // reads stay resumed: the socket is selected again after the turn that is requested
            }
            buffer.clear().limit(chunkBytes);
            int count;
            try {
                count = source.read(buffer);
            } catch (IOException e) {
                fail(false, e.getMessage());
                return;
            }
            if (count == 0) {
                return;
            }
            if (count < 0) {
                onEndOfStream();
                return;
            }
            if (!deliver(buffer.flip())) {
                return;
            }
        }
    }

    /** Whether the socket is to be read now; if not, its read events are suspended. */
    private synchronized boolean continueReading() {
        boolean paused = phase == Phase.OPEN && (!readInterest || readCredits == 0);
        if (phase == Phase.CLOSED || paused) {
            source.suspendReads();
            return false;
        }
        return true;
    }

    /** How many bytes may be read next; any number if they are discarded. */
    private synchronized int nextChunkBytes() {
        return phase == Phase.OPEN ? budget.nextChunkBytes(readCredits < MAX_UNHANDLED_CHUNKS) : MAX_CHUNK_BYTES;
    }

    /** Delivers a chunk, or discards it if the state machine has closed the connection. Returns whether to read on. */
    private boolean deliver(ByteBuffer received) {
        synchronized (this) {
            if (phase != Phase.OPEN) {
                discardedBytes += received.remaining();
                if (discardedBytes > MAX_LINGER_BYTES) {
                    abort();
                }
                return phase != Phase.CLOSED;
            }
            readCredits--;
        }
        budget.acquire(received.remaining());
        ByteBuffer chunk = ByteBuffer.allocate(received.remaining());
        events.add(new NetEvent.Received(id, chunk.put(received).flip()));
        return true;
    }

    /**
     * Called when the state machine has handled a chunk: returns its read credit, and resumes reading if none was left.
     */
    synchronized void releaseReadCredit() {
        if (readCredits++ == 0 && readInterest && phase == Phase.OPEN) {
            source.resumeReads();
        }
    }

    /** Pauses or resumes reading for the state machine. */
    synchronized void setReadInterest(boolean enabled) {
        readInterest = enabled;
        if (enabled && readCredits > 0 && phase == Phase.OPEN) {
            source.resumeReads();
        }
    }

    // ---------------------------------------------------------------- writing

    /** Queues bytes until the next flush. */
    synchronized void write(ByteBuffer data) {
        if (phase == Phase.OPEN) {
            outbound.add(data);
        }
    }

    /** Writes queued bytes, after a turn. Returns the written bytes for which no event was queued yet. */
    synchronized int flush() {
        if (!awaitingWritable && phase != Phase.CLOSED) {
            writeOutbound();
        }
        return takeDrainedBytes();
    }

    private int takeDrainedBytes() {
        int bytes = drainedBytes;
        drainedBytes = 0;
        return bytes;
    }

    private void onWritable() {
        int bytes;
        synchronized (this) {
            if (phase == Phase.CLOSED) {
                sink.suspendWrites();
                return;
            }
            writeOutbound();
            bytes = takeDrainedBytes();
        }
        if (bytes > 0) {
            events.add(new NetEvent.Written(id, bytes));
        }
    }

    /** Writes until the send buffer of the socket is full or no bytes are queued. Guarded by the lock. */
    private void writeOutbound() {
        try {
            long written = -1;
            while (written != 0 && !outbound.isEmpty()) {
                written = outbound.writeTo(sink);
                drainedBytes += (int) written;
            }
            awaitWritable(!outbound.isEmpty());
            if (outbound.isEmpty() && phase == Phase.SENDING) {
                shutDownSending();
            }
        } catch (IOException e) {
            fail(false, e.getMessage());
        }
    }

    private void awaitWritable(boolean wanted) {
        if (wanted == awaitingWritable) {
            return;
        }
        awaitingWritable = wanted;
        if (wanted) {
            sink.resumeWrites();
        } else {
            sink.suspendWrites();
        }
    }

    // ---------------------------------------------------------------- closing

    /**
     * Closes the connection for the state machine: gracefully, or with {@code abort} immediately. If its peer has ended
     * it in the same turn, nothing is left to be closed.
     *
     * @return whether a graceful close is in progress, whose end the {@link Listener} is told
     */
    synchronized boolean close(boolean abort) {
        if (abort) {
            abort();
        } else if (phase == Phase.OPEN) {
            beginGracefulClose();
        }
        return phase != Phase.CLOSED;
    }

    private void beginGracefulClose() {
        phase = Phase.SENDING;
        abortAfter(SEND_TIMEOUT_MILLIS);
        if (!peerEnded) {
            source.resumeReads(); // also if the state machine has paused reading
        }
        if (!awaitingWritable) {
            writeOutbound();
        }
    }

    /** Shuts down the sending side after all bytes were sent. Guarded by the lock. */
    private void shutDownSending() throws IOException {
        sink.shutdownWrites();
        sink.flush();
        if (peerEnded) {
            abort();
            return;
        }
        phase = Phase.LINGERING;
        abortAfter(LINGER_TIMEOUT_MILLIS);
        listener.lingering(this);
    }

    private void abortAfter(long millis) {
        cancelCloseTimeout();
        closeTimeout = stream.getIoThread().executeAfter(this::abort, millis, TimeUnit.MILLISECONDS);
    }

    private void cancelCloseTimeout() {
        if (closeTimeout != null) {
            closeTimeout.remove();
            closeTimeout = null;
        }
    }

    /**
     * Closes the socket immediately, if it is open. If all received bytes are read and all queued bytes sent, the peer
     * can't distinguish this from a graceful close.
     */
    void abort() {
        synchronized (this) {
            if (phase == Phase.CLOSED) {
                return;
            }
            phase = Phase.CLOSED;
            cancelCloseTimeout();
            int unreported = takeDrainedBytes() + outbound.discard();
            IoUtils.safeClose(stream);
            if (unreported > 0) {
                // Unsent bytes count as drained: the state machine's count of undrained bytes must return to zero.
                events.add(new NetEvent.Written(id, unreported));
            }
        }
        listener.closed(this);
    }

    private void onEndOfStream() {
        synchronized (this) {
            if (phase == Phase.SENDING) {
                peerEnded = true; // the peer may still read
                source.suspendReads();
                return;
            }
        }
        fail(true, "closed by the peer");
    }

    /** Handles the end of the connection by its peer or the network. */
    private void fail(boolean endOfStream, String reason) {
        boolean wasOpen;
        synchronized (this) {
            wasOpen = phase == Phase.OPEN;
            if (wasOpen) {
                phase = Phase.CLOSED;
                outbound.discard();
                IoUtils.safeClose(stream);
            }
        }
        if (wasOpen) {
            events.add(new NetEvent.Closed(id, true, endOfStream, reason == null ? "broken" : reason));
        } else {
            abort();
        }
    }
}
