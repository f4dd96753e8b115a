package garnetreel.core.connection;

import garnetreel.core.GatewaySettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The connections to nodes, and the choice of one for an attempt. */
final class NodeConnectionTable {
    private final GatewaySettings.ConnectionSettings settings;
    /** In the order of opening, as ids count down from -1. */
    private final Map<Long, NodeConnection> byId = new TreeMap<>(Comparator.reverseOrder());

    private final Map<String, List<NodeConnection>> byNode = new HashMap<>();

    NodeConnectionTable(GatewaySettings.ConnectionSettings settings) {
        this.settings = settings;
    }

    NodeConnection get(long id) {
        return byId.get(id);
    }

    boolean contains(long id) {
        return byId.containsKey(id);
    }

    int size() {
        return byId.size();
    }

    /** A copy of all connections in the order of opening; connections may be removed while it is iterated. */
    List<NodeConnection> all() {
        return List.copyOf(byId.values());
    }

    /** A copy of the connections to a node. */
    List<NodeConnection> of(String node) {
        return List.copyOf(byNode.getOrDefault(node, List.of()));
    }

    void add(NodeConnection connection) {
        byId.put(connection.id, connection);
        byNode.computeIfAbsent(connection.node, unused -> new ArrayList<>()).add(connection);
    }

    void remove(NodeConnection connection) {
        byId.remove(connection.id);
        List<NodeConnection> ofNode = byNode.get(connection.node);
        ofNode.remove(connection);
        if (ofNode.isEmpty()) {
            byNode.remove(connection.node);
        }
    }

    /** The least loaded connection with capacity, ready ones before those being opened; null if there is none. */
    NodeConnection leastLoaded(String node) {
        NodeConnection best = null;
        for (NodeConnection connection : byNode.getOrDefault(node, List.of())) {
            if (connection.openAttempts() < settings.maxAttempts()
                    && (best == null || isPreferable(connection, best))) {
                best = connection;
            }
        }
        return best;
    }

    private static boolean isPreferable(NodeConnection candidate, NodeConnection best) {
        if (candidate.ready() != best.ready()) {
            return candidate.ready();
        }
        return candidate.openAttempts() < best.openAttempts();
    }

    /** Whether another connection to a node may be opened. */
    boolean mayOpen(String node) {
        return byNode.getOrDefault(node, List.of()).size() < settings.maxPerNode();
    }

    /** When the next connection is to be closed as idle or not ready; {@link Long#MAX_VALUE} for never. */
    long nextDeadline() {
        long next = Long.MAX_VALUE;
        for (NodeConnection connection : byId.values()) {
            next = Math.min(next, connection.nextDeadline(settings));
        }
        return next;
    }
}
