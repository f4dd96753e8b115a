package garnetreel.core.server;

/** The bytes that one connection holds of the {@link ByteBudget}: requests in progress, and replies not yet sent. */
final class ConnectionBytes {
    private final ByteBudget budget;
    private final long maxBytes;
    private long reserved;
    private long unsent;

    /** @param maxBytes limit for this connection */
    ConnectionBytes(ByteBudget budget, long maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /** Whether the connection may take further requests. */
    boolean hasCapacity() {
        return reserved + unsent < maxBytes;
    }

    /** Whether replies that need no reservation may be written: they don't wait for those in progress. */
    boolean hasReplyCapacity() {
        return unsent < maxBytes;
    }

    /** Reserves bytes for a request; if there is no capacity, the listener is notified when there may be. */
    boolean tryReserve(long bytes, ByteBudget.CapacityListener listener) {
        if (!budget.tryReserve(bytes, reserved + unsent == 0, listener)) {
            return false;
        }
        reserved += bytes;
        return true;
    }

    /** Releases the bytes of a request. */
    void release(long bytes) {
        reserved -= bytes;
        budget.release(bytes);
    }

    /** A reply was written; its bytes count even beyond the limits, as replies are bounded by their requests. */
    void replyWritten(int bytes) {
        unsent += bytes;
        budget.release(-bytes);
    }

    /** Bytes of replies were sent. */
    void replySent(int bytes) {
        unsent -= bytes;
        budget.release(bytes);
    }

    /** Bytes of replies that were written and not yet sent. */
    long unsent() {
        return unsent;
    }

    /** Releases all bytes, as the connection has ended. */
    void releaseAll() {
        budget.release(reserved + unsent);
        reserved = 0;
        unsent = 0;
    }
}
