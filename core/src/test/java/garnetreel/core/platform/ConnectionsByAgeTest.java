package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Order and expiry of the connections in one state. */
class ConnectionsByAgeTest {
    private static final long MAX_AGE = 100;

    private final ConnectionsByAge connections = new ConnectionsByAge(MAX_AGE);
    private final UpstreamConnection first = UpstreamTestData.connection(-1, "s-1", 10);
    private final UpstreamConnection second = UpstreamTestData.connection(-2, "s-2", 20);

    @Test
    void theOldestConnectionExpiresFirstAndNotBeforeTheMaximumAge() {
        connections.add(first);
        connections.add(second);
        assertEquals(List.of(first, second), List.copyOf(connections.all()));
        assertEquals(10 + MAX_AGE, connections.nextDeadline());
        assertNull(connections.expired(10 + MAX_AGE - 1));
        assertSame(first, connections.expired(10 + MAX_AGE));
        connections.remove(first);
        assertSame(second, connections.oldest());
        assertEquals(20 + MAX_AGE, connections.nextDeadline());
    }

    @Test
    void withoutConnectionsNothingExpires() {
        connections.remove(first);
        assertNull(connections.oldest());
        assertNull(connections.expired(Long.MAX_VALUE));
        assertEquals(Long.MAX_VALUE, connections.nextDeadline());
    }
}
