package garnetreel.core.platform;

/** Memory of the input of all client connections: bytes that wait to be parsed, and requests received in part. */
final class HttpInputMemory {
    private long pendingInputBytes;
    private long partialRequestBytes;

    /** Updates the totals after the input of a connection may have changed. */
    void account(HttpClientConnection connection) {
        int pending = connection.pendingInputBytes();
        pendingInputBytes += pending - connection.accountedPendingBytes;
        connection.accountedPendingBytes = pending;
        int partial = connection.partialRequestBytes();
        partialRequestBytes += partial - connection.accountedPartialBytes;
        connection.accountedPartialBytes = partial;
    }

    /** Discards all input of a connection. */
    void discard(HttpClientConnection connection) {
        connection.discardInput();
        connection.discardPartialRequest();
        account(connection);
    }

    /** Received bytes that wait to be parsed. */
    long pendingInputBytes() {
        return pendingInputBytes;
    }

    /** Memory of all requests that have been received in part. */
    long partialRequestBytes() {
        return partialRequestBytes;
    }
}
