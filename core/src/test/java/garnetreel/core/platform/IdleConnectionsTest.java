package garnetreel.core.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.Test;

/** Idle connections are found by endpoint and by age, and are removed from both indexes at once. */
class IdleConnectionsTest {
    private static final long TIMEOUT = 100;

    private final IdleConnections idle = new IdleConnections(TIMEOUT);
    private final UpstreamConnection first = UpstreamTestData.connection(-1, "s-1", 10);
    private final UpstreamConnection other = UpstreamTestData.connection(-2, "s-2", 20);
    private final UpstreamConnection second = UpstreamTestData.connection(-3, "s-1", 30);

    @Test
    void theLongestIdleConnectionComesFirst() {
        idle.add(first);
        idle.add(other);
        idle.add(second);
        assertSame(first, idle.oldest());
        assertSame(first, idle.oldestOf("s-1"));
        assertSame(other, idle.oldestOf("s-2"));
        assertNull(idle.oldestOf("s-3"));
    }

    @Test
    void aRemovedConnectionIsInNeitherIndex() {
        idle.add(first);
        idle.add(other);
        idle.add(second);
        idle.remove(first);
        assertSame(other, idle.oldest());
        assertSame(second, idle.oldestOf("s-1"));
        idle.remove(second);
        assertNull(idle.oldestOf("s-1"));
        idle.remove(second);
        assertSame(other, idle.oldest());
    }

    @Test
    void theLongestIdleConnectionExpiresFirst() {
        idle.add(first);
        idle.add(other);
        assertEquals(10 + TIMEOUT, idle.nextDeadline());
        assertNull(idle.expired(10 + TIMEOUT - 1));
        assertSame(first, idle.expired(10 + TIMEOUT));
    }
}
