package garnetreel.core.connection;

import garnetreel.codec.ByteQueue;
import garnetreel.codec.node.NodeMessage;
import garnetreel.core.GatewaySettings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A connection to a node, with the attempts sent or queued on it. */
final class NodeConnection {
    /** Maximum number of ended attempts whose late answers are recognised. */
    private static final int MAX_UNANSWERED = 1024;

    final long id;
    final String node;
    final ByteQueue received = new ByteQueue();
    /** Attempts whose requests were passed to the open connection: the node may have executed them. */
    final Map<AttemptKey, NodeAttempt> sent = new LinkedHashMap<>();
    /** Attempts that ended without an answer, the oldest first; the node may still answer them. */
    final Set<AttemptKey> unanswered = new LinkedHashSet<>();
    /** Attempts that wait for the end of the handshake, the node's Welcome. */
    final List<QueuedAttempt> queued = new ArrayList<>();

    private final long openedAt;
    private long lastUsedAt;
    private boolean ready;
    /**
     * The node's clock minus the gateway's. The Welcome takes time to arrive, so this is too low by that time: a
     * gateway time converted with it is never later than what the node's clock shows at that time.
     */
    private long clockOffset;

    /** An attempt and its request, which is sent once the connection is ready. */
    record QueuedAttempt(NodeAttempt attempt, NodeMessage.Request request) {}

    NodeConnection(long id, String node, long now) {
        this.id = id;
        this.node = node;
        this.openedAt = now;
        this.lastUsedAt = now;
    }

    /** Whether the handshake is complete, so that attempts can be sent. */
    boolean ready() {
        return ready;
    }

    void handshakeCompleted(long nodeClock, long now) {
        ready = true;
        lastUsedAt = now;
        clockOffset = nodeClock - now;
    }

    void markUsed(long now) {
        lastUsedAt = now;
    }

    /** Adds an attempt that ended without an answer; beyond the limit the oldest is forgotten. */
    void addUnanswered(AttemptKey key) {
        if (unanswered.size() >= MAX_UNANSWERED) {
            unanswered.remove(unanswered.iterator().next());
        }
        unanswered.add(key);
    }

    /** Number of attempts that are sent and not ended, or queued. */
    int openAttempts() {
        return sent.size() + queued.size();
    }

    /** Converts a time of this gateway to the node's clock. */
    long toNodeClock(long time) {
        return time + clockOffset;
    }

    /** When it must be closed: because it is not ready within the connect timeout, or because it is idle. */
    long nextDeadline(GatewaySettings.ConnectionSettings settings) {
        if (!ready) {
            return openedAt + settings.connectTimeout();
        }
        return sent.isEmpty() ? lastUsedAt + settings.idleTimeout() : Long.MAX_VALUE;
    }
}
