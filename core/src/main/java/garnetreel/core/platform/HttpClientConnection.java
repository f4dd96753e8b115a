package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpRequest;
import garnetreel.codec.http.HttpRequestParser;
import garnetreel.core.ending.ConnectionEnding;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * The connection of one client: its state, the buffered input, and the count of requests received over the limit on
 * buffered input. Only {@link HttpClientConnectionTable} changes the state, because it orders connections by it.
 */
final class HttpClientConnection {
    /** The states, in the order in which their time limits are checked. */
    enum State {
        /** Accepted; nothing has been received yet. */
        AWAITING_REQUEST,
        /** Between a response and the first byte of the next request. */
        IDLE,
        /** Part of a request has been received. */
        READING_REQUEST,
        /** A complete request has been received and has no response yet. */
        PROCESSING,
        /** A response is being written; then the next request is parsed. */
        WRITING_RESPONSE,
        /** The last response is being written; then the connection is closed. */
        CLOSING
    }

    /** Received bytes that wait to be parsed. */
    private record ReceivedBytes(ByteBuffer data, long receivedAt) {}

    final long id;
    /** Bytes of the response that have not been written to the client's socket. */
    int unsentBytes;
    /** Memory of the partial request, as it was last added to that of all connections. */
    int accountedPartialBytes;
    /** Bytes that wait to be parsed, as they were last added to those of all connections. */
    int accountedPendingBytes;

    private HttpRequestParser parser = new HttpRequestParser();
    private final ArrayDeque<ReceivedBytes> pendingInput = new ArrayDeque<>(1);
    /** Why the connection is closed after the response; null if it stays open. */
    private ConnectionEnding ending;

    private State state = State.AWAITING_REQUEST;
    private long stateSince;
    /**
     * When the first bytes of the partial request were received, possibly during another request. Over the input limit:
     * when the latest bytes were received.
     */
    private long partialRequestSince;

    private int pendingInputBytes;
    /**
     * The limit on buffered input was exceeded: until the counted requests are rejected, further ones are only counted.
     */
    private boolean overInputLimit;

    private int requestsToReject;
    private String malformedInputReason;

    HttpClientConnection(long id) {
        this.id = id;
    }

    State state() {
        return state;
    }

    /** The time from which the time limit of the current state counts. */
    long stateSince() {
        return stateSince;
    }

    /**
     * Called by the table only, while the connection is in none of its sorted sets, which are ordered by these values.
     */
    void setState(State newState, long since) {
        state = newState;
        stateSince = since;
    }

    /** The connection is closed after the response, for this reason unless there is one; no further request is parsed. */
    void endAfterResponse(ConnectionEnding cause) {
        ending = ending == null ? cause : ending;
    }

    boolean closesAfterResponse() {
        return ending != null;
    }

    /** Why the connection is closed after the response; null if it stays open. */
    ConnectionEnding ending() {
        return ending;
    }

    /** Number of requests that have been taken up or counted, and not answered. */
    int unansweredRequests() {
        return (state == State.PROCESSING ? 1 : 0) + requestsToReject;
    }

    /** Whether the next request may be parsed, which is not the case until the previous response has been written. */
    boolean acceptsNextRequest() {
        return state == State.AWAITING_REQUEST || state == State.IDLE || state == State.READING_REQUEST;
    }

    // ---------------------------------------------------------------- input

    void addInput(ByteBuffer data, long receivedAt) {
        pendingInput.add(new ReceivedBytes(data, receivedAt));
        pendingInputBytes += data.remaining();
    }

    boolean hasPendingInput() {
        return !pendingInput.isEmpty();
    }

    int pendingInputBytes() {
        return pendingInputBytes;
    }

    /** When the oldest buffered bytes were received. */
    long nextInputReceivedAt() {
        return pendingInput.peekFirst().receivedAt();
    }

    /** Parses the oldest buffered bytes up to the end of a request; null if the request is still incomplete. */
    HttpRequest parseNext() throws ProtocolException {
        ReceivedBytes input = pendingInput.peekFirst();
        int sizeBefore = input.data().remaining();
        boolean continuesPartialRequest = parser.hasPartialMessage();
        HttpRequest request = parser.next(input.data());
        if (!continuesPartialRequest || request != null) {
            partialRequestSince = input.receivedAt();
        }
        pendingInputBytes -= sizeBefore - input.data().remaining();
        if (!input.data().hasRemaining()) {
            pendingInput.removeFirst();
        }
        return request;
    }

    boolean hasPartialRequest() {
        return parser.hasPartialMessage();
    }

    long partialRequestSince() {
        return partialRequestSince;
    }

    void discardInput() {
        pendingInputBytes = 0;
        pendingInput.clear();
    }

    /** Memory of the request received in part, in bytes. */
    int partialRequestBytes() {
        return parser.heldBytes();
    }

    /** Discards the request received in part; no further one is parsed. */
    void discardPartialRequest() {
        parser = new HttpRequestParser();
    }

    // ---------------------------------------------------------------- requests over the input limit

    /** Whether requests are only counted, to be rejected later. */
    boolean overInputLimit() {
        return overInputLimit;
    }

    /** Counts the buffered requests and discards their content; from now on requests are only counted. */
    void enterOverInputLimit(long receivedAt) {
        overInputLimit = true;
        for (ReceivedBytes input : pendingInput) {
            countRequests(input.data(), receivedAt);
        }
        discardInput();
    }

    /** Counts the requests in {@code data} without storing them: each must get a response, but must not use memory. */
    void countRequests(ByteBuffer data, long receivedAt) {
        try {
            while (data.hasRemaining() && malformedInputReason == null) {
                HttpRequest request = parser.next(data);
                if (request != null) {
                    requestsToReject++;
                }
                partialRequestSince = receivedAt;
            }
        } catch (ProtocolException e) {
            malformedInputReason = e.getMessage();
        }
    }

    boolean hasRequestsToReject() {
        return requestsToReject > 0;
    }

    /** Removes one request, which the caller rejects, from the count. */
    void decrementRequestsToReject() {
        requestsToReject--;
    }

    /** Resumes normal parsing; called when all counted requests have been rejected. */
    void leaveOverInputLimit() {
        overInputLimit = false;
    }

    /** Why the input after the counted requests could not be parsed; null if it could. */
    String malformedInputReason() {
        return malformedInputReason;
    }
}
