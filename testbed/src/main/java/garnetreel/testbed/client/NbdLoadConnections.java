package garnetreel.testbed.client;

import garnetreel.core.io.NetAction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The connections of an NBD load generator, assigned round robin to the gateways that it uses. */
final class NbdLoadConnections {
    static final long RECONNECT_DELAY = 100_000;
    /**
     * Shares of the requests that the gateways get. The last one gets the remainder; with these, a fourth gets none.
     */
    private static final double[] GATEWAY_WEIGHTS = {0.6, 0.25, 0.15};

    private final int gatewayCount;
    private final List<NbdLoadConnection> connections = new ArrayList<>();
    private final Map<Long, NbdLoadConnection> byConnectionId = new HashMap<>();
    private long lastConnectionId;

    NbdLoadConnections(NbdLoadSettings settings) {
        gatewayCount = settings.gateways().size();
        for (int i = 0; i < settings.connections(); i++) {
            NbdLoadSettings.GatewayAddress gateway = settings.gateways().get(i % gatewayCount);
            connections.add(new NbdLoadConnection(gateway.gateway(), gateway.address()));
        }
    }

    void connectDue(long now, List<NetAction> actions) {
        for (NbdLoadConnection connection : connections) {
            if (connection.connectionId == 0 && now >= connection.reconnectAt) {
                connection.beginConnect(- ++lastConnectionId);
                byConnectionId.put(connection.connectionId, connection);
                actions.add(new NetAction.Connect(connection.connectionId, connection.address));
            }
        }
    }

    /** The connection with an id; null if it is closed. */
    NbdLoadConnection find(long connectionId) {
        return byConnectionId.get(connectionId);
    }

    void markClosed(NbdLoadConnection connection, long now) {
        byConnectionId.remove(connection.connectionId);
        connection.markClosed(now + RECONNECT_DELAY);
    }

    /** The first ready connection with requests in flight; null if there is none. */
    NbdLoadConnection firstBusy() {
        for (NbdLoadConnection connection : connections) {
            if (connection.ready && !connection.inFlight.isEmpty()) {
                return connection;
            }
        }
        return null;
    }

    /** The connection over which a slot is verified. */
    NbdLoadConnection forSlot(long slot) {
        return connections.get((int) (slot % connections.size()));
    }

    /** Picks a random gateway by weight, then a random connection to it. */
    NbdLoadConnection pick(SplittableRandom random) {
        double draw = random.nextDouble();
        int gateway = 0;
        while (gateway + 1 < gatewayCount && draw > weight(gateway)) {
            draw -= weight(gateway);
            gateway++;
        }
        int connectionsOfGateway = (connections.size() - gateway + gatewayCount - 1) / gatewayCount;
        int index = gateway + gatewayCount * random.nextInt(Math.max(1, connectionsOfGateway));
        return connections.get(Math.min(connections.size() - 1, index));
    }

    private static double weight(int gateway) {
        return GATEWAY_WEIGHTS[Math.min(gateway, GATEWAY_WEIGHTS.length - 1)];
    }

    long nextDeadline() {
        long next = Long.MAX_VALUE;
        for (NbdLoadConnection connection : connections) {
            if (connection.connectionId == 0) {
                next = Math.min(next, connection.reconnectAt);
            }
        }
        return next;
    }
}
