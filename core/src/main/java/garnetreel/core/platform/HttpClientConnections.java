package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpRequest;
import garnetreel.codec.http.HttpWriter;
import garnetreel.core.ending.ClosedConnections;
import garnetreel.core.ending.ConnectionEnding;
import garnetreel.core.io.ConnectionHandler;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.platform.GatewayCounters.Event;
import garnetreel.core.platform.GatewayCounters.Invariant;
import garnetreel.core.platform.HttpClientConnection.State;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The HTTP connections of clients. Each has at most one request in progress. Bytes of pipelined requests are buffered
 * up to a limit; beyond it requests are only counted and then rejected in order, since every received request must get
 * a response, except requests that follow one after whose response the connection is closed. Bytes are read even when
 * no further request is parsed, because a close by the client would otherwise go unnoticed. Malformed input is answered
 * with an error, after which the connection is closed.
 */
final class HttpClientConnections implements ConnectionHandler {
    /** Limit on the buffered input of one connection: hundreds of small pipelined requests, or a few of the largest. */
    private static final int MAX_PENDING_INPUT_BYTES = 256 << 10;

    private static final State[] STATES = State.values();
    /**
     * States with unsent response bytes, in the order in which their connections are closed when the limit on unsent
     * bytes is exceeded.
     */
    private static final State[] WRITING_STATES = {State.WRITING_RESPONSE, State.CLOSING};

    /** Receives the requests, and is notified of clients that disconnect while one is in progress. */
    interface Listener {
        /** @param receivedAt when the last byte was received; the request may have waited for the previous one since */
        void requestReceived(long connectionId, HttpRequest request, long receivedAt);

        /** A request exceeded the limit on buffered input and must be rejected. */
        void requestOverLimit(long connectionId);

        /** The client of a request in progress has disconnected. */
        void clientDisconnected(long connectionId);
    }

    private final ResourceLimits limits;
    private final GatewayCounters counters;
    private final Listener listener;
    private final HttpClientConnectionTable connections;
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    /** The time at which the input of this turn counts as received; after a process pause, earlier than now. */
    private long receivedAt;
    /** Total response bytes that have not been written to the clients' sockets. */
    private int unsentBytes;

    private final HttpInputMemory inputMemory = new HttpInputMemory();

    private final ClosedConnections closedConnections = new ClosedConnections();
    private final long longestTimeLimit;
    /** When the connections are no longer read, during the shutdown. */
    private long readUntil = Long.MAX_VALUE;

    /** @param longestTimeLimit of a request class, in microseconds */
    HttpClientConnections(ResourceLimits limits, GatewayCounters counters, long longestTimeLimit, Listener listener) {
        this.limits = limits;
        this.counters = counters;
        this.longestTimeLimit = longestTimeLimit;
        this.listener = listener;
        this.connections = new HttpClientConnectionTable(limits.maxClients());
    }

    /**
     * Starts a turn, that is one call of {@link PlatformGateway#handle}.
     *
     * @param inputReceivedAt earliest time at which the input of this turn may have been received; it counts as
     *     received then
     * @param turnActions receives the actions of this turn
     */
    void beginTurn(long time, long inputReceivedAt, List<NetAction> turnActions) {
        now = time;
        receivedAt = inputReceivedAt;
        actions = turnActions;
    }

    @Override
    public boolean owns(long connectionId) {
        return connections.contains(connectionId);
    }

    /** The number of connections; all of them count towards the limit. */
    int size() {
        return connections.size();
    }

    /** Whether no connection is left, so that no client waits for a response or is still sending a request. */
    boolean isEmpty() {
        return connections.isEmpty();
    }

    // ---------------------------------------------------------------- opening and closing

    /** Adds a connection; the limit on connections is applied once all input of this turn has been read. */
    void accepted(long connectionId) {
        connections.add(new HttpClientConnection(connectionId), now);
    }

    @Override
    public void closed(NetEvent.Closed event) {
        HttpClientConnection connection = connections.get(event.connectionId());
        closedConnections.count(ConnectionEnding.PEER_GONE, connection.unansweredRequests());
        remove(connection);
        if (connection.state() == State.PROCESSING) {
            listener.clientDisconnected(connection.id);
        }
    }

    /**
     * Closes a connection. Every close that the gateway initiates goes through this method or, after a last response,
     * through {@link #write}; it detects a close before a response that was owed.
     */
    private void close(HttpClientConnection connection, ConnectionEnding ending) {
        counters.count(eventOf(ending));
        int unanswered = connection.unansweredRequests();
        if (unanswered > 0 && ending.owesAnswers()) {
            counters.recordViolation(Invariant.CLOSED_BEFORE_RESPONSE);
        }
        closedConnections.count(ending, unanswered);
        actions.add(new NetAction.Close(connection.id, ending.resetsConnection()));
        remove(connection);
    }

    private static Event eventOf(ConnectionEnding ending) {
        return switch (ending) {
            case SHUTDOWN -> Event.CLOSED_AT_SHUTDOWN;
            case EVICTED -> Event.CLOSED_OVER_LIMIT;
            case REPLIES_UNREAD -> Event.CLOSED_RESPONSE_UNREAD;
            case IDLE -> Event.CLOSED_IDLE;
            default -> throw new IllegalArgumentException("closed with its last response: " + ending);
        };
    }

    /** Number of connections that were closed, and of requests on them that had no response. */
    ClosedConnections closedConnections() {
        return closedConnections;
    }

    private void remove(HttpClientConnection connection) {
        unsentBytes -= connection.unsentBytes;
        connection.unsentBytes = 0;
        inputMemory.discard(connection);
        connections.remove(connection);
    }

    // ---------------------------------------------------------------- requests

    @Override
    public void received(long connectionId, ByteBuffer data) {
        HttpClientConnection connection = connections.get(connectionId);
        if (connection.closesAfterResponse()) {
            return; // no further request on this connection is answered
        }
        if (connection.overInputLimit()) {
            connection.countRequests(data, receivedAt);
            inputMemory.account(connection);
            return;
        }
        connection.addInput(data, receivedAt);
        inputMemory.account(connection);
        readRequests(connection);
        limitPartialRequests(); // at once: a turn may bring parts of requests on every connection
        if (connection.pendingInputBytes() > MAX_PENDING_INPUT_BYTES
                || inputMemory.pendingInputBytes() > limits.maxBufferedBytes()) {
            connection.enterOverInputLimit(receivedAt);
            inputMemory.account(connection);
        }
    }

    /** Parses requests from the buffered input until one is in progress. */
    private void readRequests(HttpClientConnection connection) {
        try {
            while (connection.acceptsNextRequest()
                    && connection.hasPendingInput()
                    && connections.contains(connection.id)) {
                readNextRequest(connection);
            }
        } catch (ProtocolException e) {
            answerMalformed(connection, e.getMessage());
        }
    }

    private void readNextRequest(HttpClientConnection connection) throws ProtocolException {
        long inputReceivedAt = connection.nextInputReceivedAt();
        HttpRequest request = connection.parseNext();
        inputMemory.account(connection);
        if (request != null) {
            connections.move(connection, State.PROCESSING, now);
            if (request.fields().hasToken("Connection", "close")) {
                connection.endAfterResponse(ConnectionEnding.COMPLETED);
            }
            listener.requestReceived(connection.id, request, inputReceivedAt);
        } else if (connection.hasPartialRequest() && connection.state() != State.READING_REQUEST) {
            // On a new connection the time limit for the first request counts from when it was accepted.
            long since = connection.state() == State.AWAITING_REQUEST
                    ? connection.stateSince()
                    : connection.partialRequestSince();
            connections.move(connection, State.READING_REQUEST, connections.draining() ? now : since);
        }
    }

    /** Rejects the next counted request, or malformed input after them; false if nothing remains to be rejected. */
    private boolean rejectNextCounted(HttpClientConnection connection) {
        if (connection.hasRequestsToReject()) {
            connection.decrementRequestsToReject();
            connections.move(connection, State.PROCESSING, now);
            listener.requestOverLimit(connection.id);
            return true;
        }
        connection.leaveOverInputLimit();
        if (connection.malformedInputReason() != null) {
            answerMalformed(connection, connection.malformedInputReason());
            return true;
        }
        return false;
    }

    private void answerMalformed(HttpClientConnection connection, String reason) {
        connection.endAfterResponse(ConnectionEnding.PROTOCOL_ERROR);
        write(connection, HttpWriter.response(HttpResponses.BAD_REQUEST), reason.getBytes(StandardCharsets.UTF_8));
    }

    // ---------------------------------------------------------------- responses

    /** Answers the request in progress on a connection; does nothing if the connection has been closed. */
    void respond(long connectionId, HttpWriter response, byte[] body) {
        HttpClientConnection connection = connections.get(connectionId);
        if (connection == null) {
            return;
        }
        if (connection.state() == State.PROCESSING) {
            write(connection, response, body);
        } else {
            counters.recordViolation(Invariant.DUPLICATE_RESPONSE);
        }
    }

    private void write(HttpClientConnection connection, HttpWriter response, byte[] body) {
        // While draining, the connection is closed after this response unless further requests were received, whose
        // responses the client waits for.
        boolean lastResponse = connection.closesAfterResponse()
                || connections.draining() && !connection.hasPendingInput() && !connection.overInputLimit();
        if (lastResponse) {
            response.field("Connection", "close");
            connection.endAfterResponse(ConnectionEnding.SHUTDOWN);
            inputMemory.discard(connection);
        }
        ByteBuffer responseBytes = response.body(body, true);
        connection.unsentBytes = responseBytes.remaining();
        unsentBytes += connection.unsentBytes;
        actions.add(new NetAction.Write(connection.id, responseBytes));
        if (lastResponse) {
            actions.add(new NetAction.Close(connection.id, false));
        }
        connections.move(connection, lastResponse ? State.CLOSING : State.WRITING_RESPONSE, now);
        limitUnsentBytes();
    }

    /**
     * While the unsent response bytes exceed the limit, closes the connection that has been writing for longest; those
     * that are closed after their response come last.
     */
    private void limitUnsentBytes() {
        for (State state : WRITING_STATES) {
            HttpClientConnection oldest = connections.oldest(state);
            while (unsentBytes > limits.maxBufferedBytes() && oldest != null) {
                close(oldest, ConnectionEnding.REPLIES_UNREAD);
                oldest = connections.oldest(state);
            }
        }
    }

    @Override
    public void written(long connectionId, int bytes) {
        HttpClientConnection connection = connections.get(connectionId);
        connection.unsentBytes -= bytes;
        unsentBytes -= bytes;
        if (connection.unsentBytes > 0) {
            return;
        }
        if (connection.state() == State.CLOSING) {
            closedConnections.count(connection.ending(), connection.unansweredRequests());
            remove(connection);
        } else if (connection.state() == State.WRITING_RESPONSE) {
            responseWritten(connection);
        }
    }

    private void responseWritten(HttpClientConnection connection) {
        connections.move(connection, State.IDLE, now);
        if (connection.overInputLimit() && rejectNextCounted(connection)) {
            return;
        }
        readRequests(connection);
        if (connection.hasPartialRequest() && connection.state() == State.IDLE) {
            connections.move(connection, State.READING_REQUEST, connection.partialRequestSince());
        }
        if (connections.draining() && connection.state() == State.IDLE) {
            close(connection, ConnectionEnding.SHUTDOWN);
        }
    }

    // ---------------------------------------------------------------- time limits

    /**
     * Closes idle connections. From now on a connection is closed after its response unless more requests were received
     * on it. A new connection, or one with a partial request, gets a short time to complete its request. Clients that
     * send without end are read for as long as a request received before may take.
     */
    void startDraining() {
        connections.startDraining();
        readUntil = now + longestTimeLimit;
        HttpClientConnection idle = connections.oldest(State.IDLE);
        while (idle != null) {
            close(idle, ConnectionEnding.SHUTDOWN);
            idle = connections.oldest(State.IDLE);
        }
        for (HttpClientConnection connection : connections.allIn(State.READING_REQUEST)) {
            connections.move(connection, State.READING_REQUEST, now);
        }
    }

    private void stopReading() {
        readUntil = Long.MAX_VALUE;
        connections.stopReading();
        for (State state : STATES) {
            for (HttpClientConnection connection : connections.allIn(state)) {
                actions.add(new NetAction.SetReadInterest(connection.id, false));
            }
        }
    }

    /** When {@link #expire} must be called next. */
    long nextDeadline() {
        return Math.min(readUntil, connections.nextDeadline());
    }

    /** Applies the limit on connections, then the time limits; called after all events of a turn have been handled. */
    void expire() {
        if (now >= readUntil) {
            stopReading();
        }
        evictOverLimit();
        for (State state : STATES) {
            HttpClientConnection expired = connections.oldestExpired(state, now);
            while (expired != null) {
                handleTimeout(expired);
                expired = connections.oldestExpired(state, now);
            }
        }
    }

    /** Closes connections without a pending response until their number is within the limit or none of them is left. */
    private void evictOverLimit() {
        while (connections.overLimit()) {
            HttpClientConnection candidate = connections.evictionCandidate(now);
            if (candidate == null) {
                return;
            }
            close(candidate, ConnectionEnding.EVICTED);
        }
    }

    /** While requests received in part take too much memory, rejects the one that has been coming for longest. */
    private void limitPartialRequests() {
        HttpClientConnection oldest = connections.oldest(State.READING_REQUEST);
        while (inputMemory.partialRequestBytes() > limits.maxBufferedBytes() && oldest != null) {
            counters.count(Event.REQUEST_REJECTED_OVER_LIMIT);
            oldest.endAfterResponse(ConnectionEnding.EVICTED);
            write(oldest, HttpWriter.response(HttpResponses.SERVICE_UNAVAILABLE), HttpResponses.NO_BODY);
            oldest = connections.oldest(State.READING_REQUEST);
        }
    }

    private void handleTimeout(HttpClientConnection connection) {
        State state = connection.state();
        if (state == State.WRITING_RESPONSE || state == State.CLOSING) {
            close(connection, ConnectionEnding.REPLIES_UNREAD);
        } else if (state == State.IDLE || state == State.AWAITING_REQUEST && connections.draining()) {
            close(connection, connections.draining() ? ConnectionEnding.SHUTDOWN : ConnectionEnding.IDLE);
        } else {
            counters.count(Event.REQUEST_TIMED_OUT);
            connection.endAfterResponse(ConnectionEnding.STALLED);
            write(connection, HttpWriter.response(HttpResponses.REQUEST_TIMEOUT), HttpResponses.NO_BODY);
        }
    }
}
