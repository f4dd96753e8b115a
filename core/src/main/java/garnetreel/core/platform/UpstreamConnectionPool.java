package garnetreel.core.platform;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpResponse;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.io.ConnectionHandler;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.core.platform.GatewayCounters.Event;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Sends attempts and health checks to endpoints over pooled HTTP connections, each of which carries one request at a
 * time. The pool reports the completion of each attempt exactly once.
 *
 * <p>Only the pool knows whether an attempt has started: its bytes are encoded and written once its connection is open.
 * Until they are written completely it can be withdrawn, because its client disconnected or its request was answered,
 * or while connecting because its endpoint changed. A withdrawn attempt never starts, or its connection is aborted.
 * {@link SendGuard} denies a late start.
 *
 * <p>The outcome decides whether a retry is allowed. An attempt that was not completely written to an open connection
 * was not executed, on the assumption that endpoints execute a request only after its last byte. Its outcome is
 * {@link Outcome#ERROR} if a premature or malformed response arrived, {@link Outcome#CONNECT_FAILED} if the connection
 * failed at the endpoint or the attempt timed out or was cancelled, and {@link Outcome#NOT_STARTED} in all other cases.
 * One that was completely written may have been executed, unless its response shows that it was not. A connection is
 * reused only after a complete response that is not followed by further bytes.
 */
final class UpstreamConnectionPool implements ConnectionHandler {
    /** Receives the results of attempts and health checks. */
    interface Listener {
        /** Whether the client that an attempt serves is still waiting for its response. */
        boolean isClientWaiting(UpstreamAttempt attempt);

        /** @param response the complete response; null if there was none */
        void attemptCompleted(UpstreamAttempt attempt, Outcome outcome, HttpResponse response);

        void healthCheckCompleted(HealthCheckCompleted event);
    }

    private final Listener listener;
    private final GatewayCounters counters;
    private final SendGuard sendGuard;
    private final UpstreamEndpoints endpoints = new UpstreamEndpoints();
    private final UpstreamConnectionTable connections;
    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final HealthChecks healthChecks = new HealthChecks();
    /**
     * Attempts for which no connection could be acquired. They complete in the next turn, because {@link #send} is
     * called while the scheduler's actions are being executed.
     */
    private final ArrayDeque<UpstreamAttempt> attemptsWithoutConnection = new ArrayDeque<>();

    private final MalformedResponseLog malformedResponses = new MalformedResponseLog();
    private List<NetAction> actions = new ArrayList<>();
    private long now;

    UpstreamConnectionPool(
            PlatformSettings settings,
            ResourceLimits limits,
            ConnectionIdAllocator connectionIds,
            GatewayCounters counters,
            Listener listener) {
        this.counters = counters;
        this.listener = listener;
        this.sendGuard = new SendGuard(counters, endpoints::acceptsRequests, listener::isClientWaiting);
        this.connections = new UpstreamConnectionTable(settings, limits, connectionIds, endpoints);
    }

    /**
     * Starts a turn, that is one call of {@link PlatformGateway#handle}: sets the current time and the list to which
     * actions are added.
     */
    void beginTurn(long time, List<NetAction> turnActions) {
        now = time;
        actions = turnActions;
        connections.beginTurn(time, turnActions);
    }

    @Override
    public boolean owns(long id) {
        return connections.contains(id);
    }

    /** Number of connections, open or connecting. */
    int connections() {
        return connections.size();
    }

    /** Number of attempts that have not completed. */
    int pendingAttempts() {
        return inFlight.size() + attemptsWithoutConnection.size();
    }

    /** Number of endpoints in the endpoint list. */
    int endpointCount() {
        return endpoints.size();
    }

    /**
     * Applies an update of the endpoint list. When an endpoint was removed or restarted, or its address or state
     * changed, idle connections to it are closed, and connections that are being established to it are aborted.
     * Attempts assigned to the aborted connections end as not started. The aborted connections are counted, whether an
     * attempt is assigned or not.
     */
    void applyUpdate(EndpointListUpdate update) {
        Set<String> changedEndpoints = endpoints.apply(update);
        for (String endpoint : changedEndpoints) {
            connections.closeIdle(endpoint);
        }
        for (UpstreamConnection connection : connections.connectingTo(changedEndpoints)) {
            counters.count(Event.ATTEMPT_ENDPOINT_CHANGED);
            connections.abort(connection);
            complete(connection, Outcome.NOT_STARTED, null);
        }
    }

    void closeIdle(String endpoint) {
        connections.closeIdle(endpoint);
    }

    /** Sends an attempt: at once on an open connection, otherwise when its connection opens. */
    void send(UpstreamAttempt attempt) {
        UpstreamConnection connection = connections.acquire(attempt.endpoint);
        if (connection == null) {
            attemptsWithoutConnection.add(attempt);
            return;
        }
        connection.assign(attempt);
        inFlight.add(attempt, connection);
        writeRequest(connection);
    }

    void checkHealth(String endpoint) {
        UpstreamConnection connection = connections.acquire(endpoint);
        if (connection == null) {
            listener.healthCheckCompleted(HealthChecks.notConnected(endpoint));
            return;
        }
        healthChecks.assign(connection);
        writeRequest(connection);
    }

    /** Writes the request assigned to a connection; does nothing if there is none or the connection is not open yet. */
    private void writeRequest(UpstreamConnection connection) {
        if (!connection.isOpen() || !connection.isAssigned()) {
            return;
        }
        UpstreamAttempt attempt = connection.attempt();
        if (attempt != null && !sendGuard.mayStart(attempt, connection.address, now)) {
            complete(connection, Outcome.NOT_STARTED, null);
            connections.keepIdle(connection);
            return;
        }
        ByteBuffer request = attempt == null ? HealthChecks.request() : attempt.encode(now);
        connection.requestWriteStarted(request.remaining(), now);
        actions.add(new NetAction.Write(connection.id, request));
    }

    /** Cancels an attempt. Its connection is aborted, which signals the cancellation to the endpoint. */
    void cancel(long request, int number) {
        for (UpstreamAttempt attempt : inFlight.ofRequest(request)) {
            if (attempt.number == number) {
                abortAttempt(attempt, Outcome.CANCELLED);
            }
        }
    }

    /**
     * Withdraws the attempts of a request that have not been sent completely. A connection that is still being
     * established is kept for the next attempt.
     */
    void withdraw(long request) {
        for (UpstreamAttempt attempt : inFlight.ofRequest(request)) {
            UpstreamConnection connection = inFlight.connectionOf(attempt);
            if (!connection.isRequestSent()) {
                if (connection.isOpen()) {
                    connections.abort(connection); // a partly sent request is never executed
                }
                counters.count(Event.ATTEMPT_WITHDRAWN);
                complete(connection, Outcome.NOT_STARTED, null);
            }
        }
    }

    /**
     * Aborts the connection of an attempt and completes the attempt.
     *
     * @param outcome the outcome if the request was sent completely; otherwise it is {@link Outcome#CONNECT_FAILED}
     */
    private void abortAttempt(UpstreamAttempt attempt, Outcome outcome) {
        UpstreamConnection connection = inFlight.connectionOf(attempt);
        boolean requestSent = connection.isRequestSent();
        connections.abort(connection);
        complete(connection, requestSent ? outcome : Outcome.CONNECT_FAILED, null);
    }

    @Override
    public void connected(long id) {
        UpstreamConnection connection = connections.get(id);
        connections.opened(connection);
        if (connection.isAssigned()) {
            writeRequest(connection);
        } else {
            connections.keepIdle(connection);
        }
    }

    @Override
    public void written(long id, int bytes) {
        connections.get(id).bytesWritten(bytes);
    }

    @Override
    public void closed(NetEvent.Closed event) {
        if (event.localFailure()) {
            connectFailedLocally(event.connectionId());
        } else {
            closed(event.connectionId(), event.endOfStream());
        }
    }

    /**
     * Handles a connection that could not be opened for lack of a local resource. Nothing was executed, and the failure
     * must not count against the endpoint. It is counted whether an attempt is assigned or not.
     */
    private void connectFailedLocally(long id) {
        UpstreamConnection connection = connections.get(id);
        counters.count(Event.ATTEMPT_NO_CONNECTION);
        connections.remove(connection);
        complete(connection, Outcome.NOT_STARTED, null);
    }

    /**
     * Handles the end of a connection.
     *
     * @param orderly true if the endpoint closed its side in order, which completes a response without a stated length;
     *     false for a reset, after which such a response may be truncated
     */
    private void closed(long id, boolean orderly) {
        UpstreamConnection connection = connections.get(id);
        connections.remove(connection);
        if (!connection.isAssigned()) {
            return;
        }
        boolean requestSent = connection.isRequestSent();
        HttpResponse response = orderly && requestSent ? connection.responseCompletedByClose() : null;
        if (response != null) {
            complete(connection, ResponseClassifier.outcome(response), response);
        } else {
            complete(connection, requestSent ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }
    }

    @Override
    public void received(long id, ByteBuffer data) {
        UpstreamConnection connection = connections.get(id);
        if (!connection.isAssigned()) {
            connections.abort(connection); // unsolicited bytes: no request is outstanding
            return;
        }
        HttpResponse response;
        try {
            response = connections.read(connection, data);
        } catch (ProtocolException e) {
            counters.count(Event.RESPONSE_MALFORMED);
            malformedResponses.report(connection.endpoint, e.getMessage(), now, actions);
            connections.abort(connection);
            complete(connection, Outcome.ERROR, null);
            return;
        }
        if (response != null) {
            handleResponse(connection, response, data.hasRemaining());
        }
    }

    /**
     * Handles a complete response. One that arrives before its request was sent completely can't belong to that
     * request.
     */
    private void handleResponse(UpstreamConnection connection, HttpResponse response, boolean hasTrailingBytes) {
        boolean premature = connection.hasUnsentBytes();
        if (premature || hasTrailingBytes || !response.reusable()) {
            connections.abort(connection);
        }
        if (premature) {
            complete(connection, Outcome.ERROR, null);
        } else {
            complete(connection, ResponseClassifier.outcome(response), response);
        }
        if (connections.contains(connection.id)) {
            connections.keepIdle(connection);
        }
    }

    /**
     * Completes the attempt or health check assigned to a connection, if any, and notifies the listener; the connection
     * is up to the caller.
     */
    private void complete(UpstreamConnection connection, Outcome outcome, HttpResponse response) {
        UpstreamAttempt attempt = connection.attempt();
        if (attempt != null) {
            connection.release();
            inFlight.remove(attempt);
            listener.attemptCompleted(attempt, outcome, response);
        } else if (connection.isHealthCheck()) {
            healthChecks.release(connection);
            long elapsed = now - connection.lastTransitionAt();
            listener.healthCheckCompleted(HealthChecks.result(connection.endpoint, outcome, elapsed, response));
        }
    }

    /** The time at which {@link #expire} next has to be called. */
    long nextDeadline() {
        if (!attemptsWithoutConnection.isEmpty()) {
            return now;
        }
        long requestDeadline =
                Math.min(inFlight.nextDeadline(), healthChecks.inFlight().nextDeadline());
        return Math.min(requestDeadline, connections.nextDeadline());
    }

    /** Ends attempts, health checks, connection set-ups and idle connections that have reached their time limits. */
    void expire() {
        completeAttemptsWithoutConnection();
        expireAttempts();
        abortExpired(connections.connecting(), Outcome.CONNECT_FAILED);
        abortExpired(healthChecks.inFlight(), Outcome.TIMEOUT);
        connections.closeExpiredIdle();
    }

    /**
     * Completes the attempts that got no connection. Attempts that the listener adds meanwhile wait for the next turn.
     */
    private void completeAttemptsWithoutConnection() {
        for (int remaining = attemptsWithoutConnection.size(); remaining > 0; remaining--) {
            counters.count(Event.ATTEMPT_NO_CONNECTION);
            listener.attemptCompleted(attemptsWithoutConnection.poll(), Outcome.NOT_STARTED, null);
        }
    }

    private void expireAttempts() {
        UpstreamAttempt attempt = inFlight.expired(now);
        while (attempt != null) {
            abortAttempt(attempt, Outcome.TIMEOUT);
            attempt = inFlight.expired(now);
        }
    }

    private void abortExpired(ConnectionsByAge candidates, Outcome outcome) {
        UpstreamConnection connection = candidates.expired(now);
        while (connection != null) {
            connections.abort(connection);
            complete(connection, outcome, null);
            connection = candidates.expired(now);
        }
    }
}
