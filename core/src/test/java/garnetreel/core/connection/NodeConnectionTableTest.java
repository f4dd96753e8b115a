package garnetreel.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.core.GatewaySettings;
import java.util.List;
import org.junit.jupiter.api.Test;

class NodeConnectionTableTest {
    private static final String NODE = "n:1";
    private static final long IDLE = 1000;
    private static final long CONNECT_TIMEOUT = 50;

    /** At most two connections per node and two attempts per connection. */
    private final GatewaySettings.ConnectionSettings settings =
            new GatewaySettings.ConnectionSettings(2, 2, IDLE, CONNECT_TIMEOUT, 0, 0, true);

    private final NodeConnectionTable table = new NodeConnectionTable(settings);
    private final NodeConnection first = new NodeConnection(-1, NODE, 0);
    private final NodeConnection second = new NodeConnection(-2, NODE, 0);

    private static void addAttempt(NodeConnection connection, int index) {
        NodeAttempt attempt = new NodeAttempt(1, index, NODE, 0, 10);
        connection.sent.put(attempt.key(), attempt);
    }

    @Test
    void readyConnectionIsPreferredToOneBeingOpened() {
        table.add(first);
        table.add(second);
        second.handshakeCompleted(0, 0);
        addAttempt(second, 0);
        assertSame(second, table.leastLoaded(NODE));
    }

    @Test
    void leastLoadedConnectionIsChosenAndTheOlderOneIfEqual() {
        table.add(first);
        table.add(second);
        first.handshakeCompleted(0, 0);
        second.handshakeCompleted(0, 0);
        assertSame(first, table.leastLoaded(NODE));
        addAttempt(first, 0);
        assertSame(second, table.leastLoaded(NODE));
    }

    @Test
    void fullConnectionsAreNotChosen() {
        table.add(first);
        first.handshakeCompleted(0, 0);
        addAttempt(first, 0);
        addAttempt(first, 1);
        assertNull(table.leastLoaded(NODE));
        assertTrue(table.mayOpen(NODE));
        table.add(second);
        assertFalse(table.mayOpen(NODE));
    }

    @Test
    void connectionsAreListedInOrderOfOpening() {
        table.add(first);
        table.add(second);
        assertEquals(List.of(first, second), table.all());
        table.remove(first);
        assertEquals(List.of(second), table.of(NODE));
        table.remove(second);
        assertEquals(List.of(), table.of(NODE));
    }

    @Test
    void deadlineIsTheConnectTimeoutAndThenTheIdleTime() {
        table.add(first);
        assertEquals(CONNECT_TIMEOUT, table.nextDeadline());
        first.handshakeCompleted(0, 20);
        assertEquals(20 + IDLE, table.nextDeadline());
        addAttempt(first, 0);
        assertEquals(Long.MAX_VALUE, table.nextDeadline());
    }
}
