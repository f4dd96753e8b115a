package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpResponse;
import garnetreel.codec.http.HttpResponseParser;
import java.nio.ByteBuffer;

/**
 * The state of one connection to an endpoint. A connection is unassigned, or carries one attempt or one health check,
 * which may be assigned before the connection is open.
 */
final class UpstreamConnection {
    final long id;

    /** Name of the endpoint in the endpoint list. */
    final String endpoint;

    /** Remote address. It is kept in addition to the name, because the address of an endpoint may change. */
    final String address;

    private final HttpResponseParser parser;
    private UpstreamAttempt attempt;
    private boolean healthCheck;
    private boolean open;
    private int unsentBytes;
    private int bufferedBytes;
    private long lastTransitionAt;

    /** @param maxResponseBytes maximum size of a response body; a larger one counts as malformed */
    UpstreamConnection(long id, String endpoint, String address, int maxResponseBytes, long now) {
        this.parser = new HttpResponseParser(maxResponseBytes);
        this.id = id;
        this.endpoint = endpoint;
        this.address = address;
        this.lastTransitionAt = now;
    }

    /**
     * The latest of: the start of connecting, the last write of a request, and the time at which it last became idle.
     * The time limits of the connection count from then.
     */
    long lastTransitionAt() {
        return lastTransitionAt;
    }

    boolean isOpen() {
        return open;
    }

    void opened() {
        open = true;
    }

    void becameIdle(long now) {
        lastTransitionAt = now;
    }

    boolean isAssigned() {
        return attempt != null || healthCheck;
    }

    /** The assigned attempt; null if there is none. */
    UpstreamAttempt attempt() {
        return attempt;
    }

    boolean isHealthCheck() {
        return healthCheck;
    }

    void assign(UpstreamAttempt assigned) {
        attempt = assigned;
    }

    void assignHealthCheck() {
        healthCheck = true;
    }

    void release() {
        attempt = null;
        healthCheck = false;
    }

    /** Records that the write of a request of this size has started. */
    void requestWriteStarted(int bytes, long now) {
        lastTransitionAt = now;
        unsentBytes = bytes;
    }

    /** Records that bytes of the request were passed to the socket. */
    void bytesWritten(int bytes) {
        unsentBytes -= bytes;
    }

    boolean hasUnsentBytes() {
        return unsentBytes > 0;
    }

    /** Whether the request was sent completely, so that the endpoint may execute it. */
    boolean isRequestSent() {
        return open && !hasUnsentBytes();
    }

    /** Parses received bytes up to the end of a response. Returns null while the response is incomplete. */
    HttpResponse read(ByteBuffer data) throws ProtocolException {
        return parser.next(data);
    }

    /** The response without a stated length that the end of the connection completes; null if there is none. */
    HttpResponse responseCompletedByClose() {
        return parser.connectionEnded();
    }

    /** Bytes of an incomplete response that the parser buffers at present. */
    int parserBufferedBytes() {
        return parser.bufferedBytes();
    }

    /** The value of {@link #parserBufferedBytes} that is included in the total over all connections. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    void setBufferedBytes(int bytes) {
        bufferedBytes = bytes;
    }
}
