package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpResponse;
import garnetreel.codec.http.HttpResponseParser;
import java.nio.ByteBuffer;
import java.util.List;

/** One HTTP call to discovery in flight, a watch or a poll: its received data and its deadline. */
final class DiscoveryCall {
    /** Maximum size of a JSON object. An indented list of 3,200 endpoints with long names takes 0.9 MiB. */
    private static final int MAX_OBJECT_BYTES = 2 << 20;

    private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;

    /**
     * Maximum time to wait for the first data of a response, in microseconds. Discovery handles calls one after the
     * other; it rejects a call with status 503 after 1 to 2 s in its queue. A caller that gives up earlier wastes its
     * place in the queue and calls again, so that an overloaded discovery makes no progress: with a time of 1.3 s, a
     * trial with nineteen gateways had 239 futile calls where 21 calls were enough.
     */
    private static final long RESPONSE_TIMEOUT_MICROS = 2_600_000;

    private static final int STATUS_OK = 200;

    /** Id of the connection that carries the call. */
    final long connectionId;

    /** True for a watch, false for a poll. */
    final boolean watch;

    private final long silenceTimeoutMicros;
    private final HttpResponseParser parser = new HttpResponseParser(MAX_OBJECT_BYTES);
    private final JsonObjectSplitter splitter = new JsonObjectSplitter(MAX_OBJECT_BYTES);
    private boolean connected;
    private boolean streaming;
    private boolean updateReceived;
    private long lastActivityAt;
    private long connectedAt;

    /** @param silenceTimeoutMicros how long a watch may receive no data once its response has started */
    DiscoveryCall(long connectionId, boolean watch, long silenceTimeoutMicros, long now) {
        this.connectionId = connectionId;
        this.watch = watch;
        this.silenceTimeoutMicros = silenceTimeoutMicros;
        this.lastActivityAt = now;
    }

    void markConnected(long now) {
        connected = true;
        connectedAt = now;
        lastActivityAt = now;
    }

    boolean isConnected() {
        return connected;
    }

    /** Time at which its connection was established; 0 before. */
    long connectedAt() {
        return connectedAt;
    }

    /** Whether a complete list or changes to it were received on this call. */
    boolean isUpdateReceived() {
        return updateReceived;
    }

    void markUpdateReceived() {
        updateReceived = true;
    }

    /**
     * Parses received bytes.
     *
     * @return the response once it is complete; null before
     */
    HttpResponse read(ByteBuffer data, long now) throws ProtocolException {
        lastActivityAt = now;
        HttpResponse response = parser.next(data);
        if (watch && parser.status() == STATUS_OK) {
            streaming = true;
        }
        return response;
    }

    /** Whether this is a watch that discovery has accepted, so that its response is the stream of updates. */
    boolean isStreaming() {
        return streaming;
    }

    /** Returns the JSON objects completed by the last bytes read, while the response as a whole is incomplete. */
    List<byte[]> takeObjects() throws ProtocolException {
        return splitter.next(parser.takeReceivedBody());
    }

    /** Returns the JSON objects of the body of a complete response that were not returned before. */
    List<byte[]> objectsOf(HttpResponse response) throws ProtocolException {
        return splitter.next(response.body());
    }

    /** The response without a stated length that the end of the connection completes; null if there is none. */
    HttpResponse responseCompletedByClose() {
        return parser.connectionEnded();
    }

    /** The time at which the call fails unless it makes progress before. */
    long deadline() {
        if (streaming) {
            return lastActivityAt + silenceTimeoutMicros;
        }
        return lastActivityAt + (connected ? RESPONSE_TIMEOUT_MICROS : CONNECT_TIMEOUT_MICROS);
    }
}
