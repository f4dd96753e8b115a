package garnetreel.net;

/**
 * Bounds the received bytes of all connections of one event loop that the state machine has not handled yet. Without it
 * the bytes of one selection would depend on how much all peers have sent since the previous one. At the bound a
 * connection is read on in small chunks, one at a time, so that no peer can keep the others from being read. Used on
 * the I/O thread.
 */
class ReceiveBudget {
    /** Largest chunk at the bound, enough for the usual request of a client. */
    static final int RESERVED_CHUNK_BYTES = 8 << 10;
    /** Part of the heap that unhandled bytes may take, in addition to the reserved chunks. */
    private static final int HEAP_DIVISOR = 16;

    private final long maxBytes;
    private long unhandledBytes;

    /** @param maxBytes bound on the unhandled bytes, in addition to the reserved chunks */
    ReceiveBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The bound for this process. */
    static long defaultMaxBytes() {
        return Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
    }

    /**
     * How many bytes a connection may receive next. After 0 it is to be read again once a turn has handled events.
     *
     * @param hasUnhandledChunk whether a chunk of this connection is not handled yet
     */
    int nextChunkBytes(boolean hasUnhandledChunk) {
        if (maxBytes - unhandledBytes >= SocketConnection.MAX_CHUNK_BYTES) {
            return SocketConnection.MAX_CHUNK_BYTES;
        }
        return hasUnhandledChunk ? 0 : RESERVED_CHUNK_BYTES;
    }

    /** Records that a chunk was received. */
    void acquire(int bytes) {
        unhandledBytes += bytes;
    }

    /** Records that the state machine has handled a chunk. */
    void release(int bytes) {
        unhandledBytes -= bytes;
    }
}
