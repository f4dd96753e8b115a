package garnetreel.core.connection;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.node.NodeCodec;
import garnetreel.codec.node.NodeMessage;
import garnetreel.codec.node.NodeMessage.Answer;
import garnetreel.codec.node.NodeMessage.Hello;
import garnetreel.codec.node.NodeMessage.Probe;
import garnetreel.codec.node.NodeMessage.ProbeReply;
import garnetreel.codec.node.NodeMessage.Welcome;
import garnetreel.core.GatewaySettings;
import garnetreel.core.connection.HealthCheckTracker.HealthCheck;
import garnetreel.core.connection.NodeConnection.QueuedAttempt;
import garnetreel.core.io.ConnectionHandler;
import garnetreel.core.io.NetAction;
import garnetreel.core.io.NetEvent;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The connections to nodes and the attempts on them. An attempt ends exactly once: by its answer, timeout,
 * cancellation, or the end of its connection. An answer is matched by connection, sub-request id and attempt index
 * only.
 *
 * <p>The outcome tells whether an attempt may have been executed, and so whether a retry is safe:
 * <ul>
 * <li>OK, ERROR: the node answered so;
 * <li>OVERLOADED: the node's queue is full, so it was not executed;
 * <li>NOT_STARTED: the node does not serve the shard or the version of the extent, so it was not executed;
 * <li>CANCELLED: it was cancelled, and if it had been sent, it may have been executed;
 * <li>CONNECT_FAILED: its request was never passed to a ready connection, so it was not executed;
 * <li>RESET: the connection ended after the request was passed to it, so it may have been executed;
 * <li>TIMEOUT: there was no answer in time, so it may have been executed. An answer that arrives later ends no attempt;
 *     it is counted as late, and tells that the node does not work on the attempt any more.
 * </ul>
 *
 * <p>A health check ends as NOT_STARTED if there is no connection for it or too many checks are in flight, and as
 * CONNECT_FAILED if the connection is not ready yet.
 */
public final class NodeConnectionPool implements ConnectionHandler {
    /** Is notified of the ends of attempts and health checks. */
    public interface Listener {
        /** An attempt ended; {@code answer} is null if the node gave none. */
        void attemptEnded(NodeAttempt attempt, Outcome outcome, Answer answer);

        /** A node answered an attempt that had ended without an answer: it does not work on it any more. */
        void answeredLate(long subRequestId, int attemptIndex);

        /** A health check ended. */
        void healthCheckEnded(HealthCheckCompleted result);
    }

    private final GatewaySettings settings;
    private final ConnectionIdAllocator connectionIds;
    private final NodeConnectionTable connections;
    private final AttemptTracker attempts = new AttemptTracker();
    private final HealthCheckTracker healthChecks = new HealthCheckTracker();
    /** Attempts without a connection; reported in the next turn, as the scheduler's turn is still running. */
    private final List<NodeAttempt> unsendable = new ArrayList<>();

    private Listener listener;
    private List<NetAction> actions = new ArrayList<>();
    private long now;
    private long lateAnswers;

    /** A pool that opens connections when they are needed. */
    public NodeConnectionPool(GatewaySettings settings, ConnectionIdAllocator connectionIds) {
        this.settings = settings;
        this.connectionIds = connectionIds;
        this.connections = new NodeConnectionTable(settings.connections());
    }

    /** Sets the listener; to be called once, before the first turn. */
    public void listener(Listener newListener) {
        listener = newListener;
    }

    /** Begins a turn at this time, whose actions are added to {@code turnActions}. */
    public void beginTurn(long time, List<NetAction> turnActions) {
        now = time;
        actions = turnActions;
    }

    /** Number of answers that arrived after their attempt had ended. */
    public long lateAnswers() {
        return lateAnswers;
    }

    /** Number of connections that are open or being opened. */
    public int connections() {
        return connections.size();
    }

    @Override
    public boolean owns(long connectionId) {
        return connections.contains(connectionId);
    }

    // ---------------------------------------------------------------- scheduler actions

    /** Sends an attempt, or queues it until a connection is ready. */
    public void send(NodeAttempt attempt, NodeMessage.Request request) {
        NodeConnection connection = connectionFor(attempt.node());
        if (connection == null) {
            unsendable.add(attempt);
            return;
        }
        attempts.add(attempt, connection.id);
        connection.markUsed(now);
        if (connection.ready()) {
            sendNow(connection, attempt, request);
        } else {
            connection.queued.add(new QueuedAttempt(attempt, request));
        }
    }

    private void sendNow(NodeConnection connection, NodeAttempt attempt, NodeMessage.Request request) {
        connection.sent.put(attempt.key(), attempt);
        write(connection, request.withDeadline(connection.toNodeClock(request.deadline())));
    }

    /** A connection with capacity, newly opened if necessary; null if the limits don't allow one. */
    private NodeConnection connectionFor(String node) {
        NodeConnection connection = connections.leastLoaded(node);
        if (connection == null && connections.mayOpen(node)) {
            connection = new NodeConnection(connectionIds.next(), node, now);
            connections.add(connection);
            actions.add(new NetAction.Connect(connection.id, node));
        }
        return connection;
    }

    private void write(NodeConnection connection, NodeMessage message) {
        actions.add(new NetAction.Write(connection.id, NodeCodec.frame(message)));
    }

    /** Ends an attempt as cancelled. If it was sent, the node is notified and may drop it if it has not started it. */
    public void cancel(long subRequestId, int attemptIndex) {
        AttemptKey key = new AttemptKey(subRequestId, attemptIndex);
        Long connectionId = attempts.connectionId(key);
        if (connectionId == null) {
            return;
        }
        NodeConnection connection = connections.get(connectionId);
        NodeAttempt attempt = connection.sent.get(key);
        if (attempt != null) {
            write(connection, new NodeMessage.Cancel(subRequestId, attemptIndex));
            endSent(connection, attempt, Outcome.CANCELLED, null);
        } else {
            endQueued(connection, key, Outcome.CANCELLED);
        }
    }

    /** Sends a health check to a node; the check does not wait in the node's request queue. */
    public void checkHealth(String node) {
        NodeConnection connection = healthChecks.isFull() ? null : connectionFor(node);
        if (connection == null) {
            listener.healthCheckEnded(new HealthCheckCompleted(node, Outcome.NOT_STARTED, 0, Map.of()));
        } else if (!connection.ready()) {
            listener.healthCheckEnded(new HealthCheckCompleted(node, Outcome.CONNECT_FAILED, 0, Map.of()));
        } else {
            write(connection, new Probe(healthChecks.begin(node, connection.id, now)));
        }
    }

    /** Closes the connections to a node that have no attempts. */
    public void closeIdle(String node) {
        for (NodeConnection connection : connections.of(node)) {
            if (connection.openAttempts() == 0) {
                close(connection, false);
            }
        }
    }

    // ---------------------------------------------------------------- network events

    @Override
    public void connected(long connectionId) {
        write(connections.get(connectionId), new Hello(settings.gatewayNumber(), settings.incarnation()));
    }

    @Override
    public void written(long connectionId, int bytes) {
        // Needs no flow control: the data in flight is bounded by the number of attempts per connection.
    }

    @Override
    public void closed(NetEvent.Closed event) {
        remove(connections.get(event.connectionId()));
    }

    @Override
    public void received(long connectionId, ByteBuffer data) {
        NodeConnection connection = connections.get(connectionId);
        connection.received.add(data);
        try {
            NodeMessage message;
            while ((message = NodeCodec.next(connection.received)) != null) {
                handle(connection, message);
            }
        } catch (ProtocolException e) {
            actions.add(new NetAction.Log(
                    NetAction.Level.WARN, "node " + connection.node + ": " + e.getMessage() + "; closing connection"));
            close(connection, true);
        }
    }

    private void handle(NodeConnection connection, NodeMessage message) throws ProtocolException {
        if (message instanceof Welcome welcome && !connection.ready()) {
            handshakeCompleted(connection, welcome);
        } else if (message instanceof Answer answer) {
            answered(connection, answer);
        } else if (message instanceof ProbeReply reply) {
            healthCheckAnswered(reply);
        } else {
            throw new ProtocolException(
                    "unexpected message " + message.getClass().getSimpleName());
        }
    }

    /** The handshake is complete and the node's clock is known: sends the queued attempts. */
    private void handshakeCompleted(NodeConnection connection, Welcome welcome) {
        connection.handshakeCompleted(welcome.clock(), now);
        for (QueuedAttempt queued : connection.queued) {
            sendNow(connection, queued.attempt(), queued.request());
        }
        connection.queued.clear();
    }

    private void answered(NodeConnection connection, Answer answer) {
        NodeAttempt attempt = connection.sent.get(new AttemptKey(answer.id(), answer.attempt()));
        if (attempt == null) {
            lateAnswers++;
            if (connection.unanswered.remove(new AttemptKey(answer.id(), answer.attempt()))) {
                listener.answeredLate(answer.id(), answer.attempt());
            }
            return;
        }
        connection.markUsed(now);
        endSent(connection, attempt, outcomeOf(answer.result()), answer);
    }

    private static Outcome outcomeOf(NodeMessage.Result result) {
        return switch (result) {
            case OK -> Outcome.OK;
            case ERROR -> Outcome.ERROR;
            case FULL -> Outcome.OVERLOADED;
            case UNKNOWN_SHARD, STALE -> Outcome.NOT_STARTED;
        };
    }

    private void healthCheckAnswered(ProbeReply reply) {
        HealthCheck check = healthChecks.complete(reply.id());
        if (check != null) {
            endHealthCheck(check, Outcome.OK, reply.load());
        }
    }

    private void endHealthCheck(HealthCheck check, Outcome outcome, Map<String, Double> load) {
        listener.healthCheckEnded(new HealthCheckCompleted(check.node(), outcome, now - check.sentAt(), load));
    }

    // ---------------------------------------------------------------- ends of attempts and connections

    private void endSent(NodeConnection connection, NodeAttempt attempt, Outcome outcome, Answer answer) {
        connection.sent.remove(attempt.key());
        if (answer == null) {
            connection.addUnanswered(attempt.key());
        }
        attempts.remove(attempt);
        listener.attemptEnded(attempt, outcome, answer);
    }

    private void endQueued(NodeConnection connection, AttemptKey key, Outcome outcome) {
        for (QueuedAttempt queued : List.copyOf(connection.queued)) {
            if (queued.attempt().key().equals(key)) {
                connection.queued.remove(queued);
                attempts.remove(queued.attempt());
                listener.attemptEnded(queued.attempt(), outcome, null);
            }
        }
    }

    private void close(NodeConnection connection, boolean abort) {
        actions.add(new NetAction.Close(connection.id, abort));
        remove(connection);
    }

    /** Removes a connection and ends its attempts and health checks. */
    private void remove(NodeConnection connection) {
        connections.remove(connection);
        for (QueuedAttempt queued : connection.queued) {
            attempts.remove(queued.attempt());
            listener.attemptEnded(queued.attempt(), Outcome.CONNECT_FAILED, null);
        }
        connection.queued.clear();
        for (NodeAttempt attempt : List.copyOf(connection.sent.values())) {
            endSent(connection, attempt, Outcome.RESET, null);
        }
        for (HealthCheck check : healthChecks.removeAllOn(connection.id)) {
            endHealthCheck(check, Outcome.RESET, Map.of());
        }
    }

    // ---------------------------------------------------------------- deadlines

    /** When {@link #expire()} must be called next; {@link Long#MAX_VALUE} for never. */
    public long nextDeadline() {
        return unsendable.isEmpty() ? Math.min(attempts.nextDeadline(), connections.nextDeadline()) : now;
    }

    /** Ends attempts that timed out or could not be sent, and closes connections that are idle or not ready in time. */
    public void expire() {
        failUnsendable();
        expireAttempts();
        for (NodeConnection connection : connections.all()) {
            if (connection.nextDeadline(settings.connections()) <= now) {
                close(connection, !connection.ready());
            }
        }
    }

    private void failUnsendable() {
        for (NodeAttempt attempt : List.copyOf(unsendable)) {
            unsendable.remove(attempt);
            listener.attemptEnded(attempt, Outcome.CONNECT_FAILED, null);
        }
    }

    private void expireAttempts() {
        NodeAttempt attempt;
        while ((attempt = attempts.firstTimedOut(now)) != null) {
            AttemptKey key = attempt.key();
            NodeConnection connection = connections.get(attempts.connectionId(key));
            if (connection.sent.containsKey(key)) {
                connection.markUsed(now);
                endSent(connection, attempt, Outcome.TIMEOUT, null);
            } else {
                // The connection has not become ready, so nothing was sent.
                endQueued(connection, key, Outcome.CONNECT_FAILED);
            }
        }
    }
}
