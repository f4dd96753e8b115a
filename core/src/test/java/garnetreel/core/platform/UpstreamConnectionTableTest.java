package garnetreel.core.platform;

import static garnetreel.core.platform.UpstreamTestData.address;
import static garnetreel.core.platform.UpstreamTestData.changes;
import static garnetreel.core.platform.UpstreamTestData.completeList;
import static garnetreel.core.platform.UpstreamTestData.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetreel.codec.ProtocolException;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.core.io.NetAction;
import garnetreel.policy.event.EndpointState;
import garnetreel.settings.JsonException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which connection an attempt gets, and when connections are closed. */
class UpstreamConnectionTableTest {
    private static final int MAX_CONNECTIONS = 2;
    private static final int MAX_BUFFERED_BYTES = 100;
    private static final long REUSE_DELAY = 2_000;

    private final UpstreamEndpoints endpoints = new UpstreamEndpoints();
    private final List<NetAction> actions = new ArrayList<>();
    private UpstreamConnectionTable table;

    @BeforeEach
    void listThreeEndpoints() throws JsonException {
        ResourceLimits limits = new ResourceLimits(8, MAX_CONNECTIONS, 8, MAX_BUFFERED_BYTES, 1_000);
        table = new UpstreamConnectionTable(
                UpstreamTestData.settings(), limits, new ConnectionIdAllocator(), endpoints);
        endpoints.apply(completeList(
                1,
                entry("s-1", EndpointState.UP, 0),
                entry("s-2", EndpointState.UP, 0),
                entry("s-3", EndpointState.UP, 0)));
        table.beginTurn(0, actions);
    }

    private UpstreamConnection openIdle(String endpoint) {
        UpstreamConnection connection = table.acquire(endpoint);
        table.opened(connection);
        table.keepIdle(connection);
        return connection;
    }

    private void beginTurn(long now) {
        actions.clear();
        table.beginTurn(now, actions);
    }

    @Test
    void aConnectionIsOpenedToTheEndpointsAddress() {
        UpstreamConnection connection = table.acquire("s-1");
        assertEquals(List.of(new NetAction.Connect(connection.id, address("s-1"))), actions);
        assertSame(connection, table.get(connection.id));
        assertSame(connection, table.connecting().oldest());
        assertNull(table.acquire("s-4"), "the endpoint is not listed");
        assertEquals(1, table.size());
    }

    @Test
    void anUnassignedConnectionBeingEstablishedIsUsed() {
        UpstreamConnection connection = table.acquire("s-1");
        assertSame(connection, table.acquire("s-1"));
        connection.assign(UpstreamTestData.attempt(1, 0, 100));
        assertNotSame(connection, table.acquire("s-1"));
    }

    @Test
    void anIdleConnectionIsReusedAfterTheDelay() {
        UpstreamConnection connection = openIdle("s-1");
        beginTurn(REUSE_DELAY - 1);
        UpstreamConnection second = table.acquire("s-1");
        assertNotSame(connection, second);
        table.remove(second);
        beginTurn(REUSE_DELAY);
        assertSame(connection, table.acquire("s-1"));
        assertEquals(List.of(), actions);
    }

    @Test
    void atTheConnectionLimitTheLongestIdleConnectionIsClosed() {
        UpstreamConnection first = openIdle("s-1");
        UpstreamConnection second = openIdle("s-2");
        actions.clear();
        UpstreamConnection third = table.acquire("s-3");
        assertEquals(
                List.of(new NetAction.Close(first.id, false), new NetAction.Connect(third.id, address("s-3"))),
                actions);
        third.assign(UpstreamTestData.attempt(1, 0, 100));
        UpstreamConnection fourth = table.acquire("s-3");
        assertNotNull(fourth);
        fourth.assign(UpstreamTestData.attempt(2, 0, 100));
        assertFalse(table.contains(second.id));
        assertNull(table.acquire("s-1"), "no connection is idle");
        assertEquals(MAX_CONNECTIONS, table.size());
    }

    @Test
    void aConnectionToADrainingEndpointIsNotKept() {
        UpstreamConnection connection = table.acquire("s-1");
        table.opened(connection);
        assertEquals(Set.of("s-1"), endpoints.apply(changes(2, entry("s-1", EndpointState.DRAINING, 0))));
        actions.clear();
        table.keepIdle(connection);
        assertEquals(List.of(new NetAction.Close(connection.id, false)), actions);
        assertEquals(0, table.size());
    }

    @Test
    void closeIdleClosesOnlyIdleConnections() {
        UpstreamConnection idle = openIdle("s-1");
        UpstreamConnection connecting = table.acquire("s-2");
        actions.clear();
        table.closeIdle("s-1");
        table.closeIdle("s-2");
        assertEquals(List.of(new NetAction.Close(idle.id, false)), actions);
        assertEquals(List.of(connecting), table.connectingTo(Set.of("s-1", "s-2")));
        assertEquals(List.of(), table.connectingTo(Set.of("s-1")));
    }

    @Test
    void connectingAndIdleTimeAreLimited() {
        table.acquire("s-1");
        assertEquals(UpstreamTestData.CONNECT_TIMEOUT, table.nextDeadline());
        table.abort(table.connecting().expired(UpstreamTestData.CONNECT_TIMEOUT));
        assertEquals(Long.MAX_VALUE, table.nextDeadline());
        UpstreamConnection idle = openIdle("s-2");
        assertEquals(UpstreamTestData.IDLE_TIMEOUT, table.nextDeadline());
        beginTurn(UpstreamTestData.IDLE_TIMEOUT - 1);
        table.closeExpiredIdle();
        assertEquals(List.of(), actions);
        beginTurn(UpstreamTestData.IDLE_TIMEOUT);
        table.closeExpiredIdle();
        assertEquals(List.of(new NetAction.Close(idle.id, false)), actions);
    }

    @Test
    void bufferedBytesAreLimitedAcrossAllConnections() throws ProtocolException {
        UpstreamConnection first = table.acquire("s-1");
        UpstreamConnection second = table.acquire("s-2");
        String incomplete = "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + "x".repeat(MAX_BUFFERED_BYTES / 2);
        table.read(first, UpstreamTestData.bytes(incomplete));
        table.read(second, UpstreamTestData.bytes(incomplete));
        ProtocolException thrown =
                assertThrows(ProtocolException.class, () -> table.read(second, UpstreamTestData.bytes("x")));
        assertEquals("101 bytes of incomplete responses buffered, limit 100", thrown.getMessage());
        table.abort(first);
        table.read(second, UpstreamTestData.bytes("x"));
    }
}
