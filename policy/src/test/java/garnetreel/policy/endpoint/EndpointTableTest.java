package garnetreel.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.concurrency.InFlightAttempt;
import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import org.junit.jupiter.api.Test;

/** Tests endpoint selection for a shard and the removal of unused endpoints. */
class EndpointTableTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;

    private final EndpointListValidity validity = new EndpointListValidity();
    private final EndpointTable table = new EndpointTable(validity);

    private record SentAttempt(long sentAt) implements InFlightAttempt {
        @Override
        public double toObjectiveMultiple(long duration) {
            return 0;
        }
    }

    private Endpoint listEndpoint(String address, int shard, EndpointState state) {
        return table.apply(new EndpointEntry(address, "zone", shard, state, 1, 0));
    }

    @Test
    void selectsEndpointWithMostFreeSlots() {
        Endpoint first = listEndpoint("a", 1, EndpointState.UP);
        Endpoint second = listEndpoint("b", 1, EndpointState.UP);
        listEndpoint("c", 2, EndpointState.UP);
        assertEquals(first, table.select(1, NOW), "a tie goes to the first address");
        table.attemptSent(first, new SentAttempt(NOW));
        assertEquals(second, table.select(1, NOW));
        assertTrue(table.isConsistent());
    }

    @Test
    void selectsUnreachableEndpointOnlyWithoutAlternative() {
        Endpoint first = listEndpoint("a", 1, EndpointState.UP);
        first.health().connectFailed(NOW);
        assertEquals(first, table.select(1, NOW));
        Endpoint second = listEndpoint("b", 1, EndpointState.UP);
        table.attemptSent(second, new SentAttempt(NOW));
        assertEquals(second, table.select(1, NOW));
    }

    @Test
    void doesNotSelectDrainingEndpoint() {
        listEndpoint("a", 1, EndpointState.DRAINING);
        assertNull(table.select(1, NOW));
        assertTrue(table.hasShard(1));
        assertFalse(table.hasOnlyUnusableEndpoints(1, NOW), "a draining endpoint does not count as lacking a lease");
    }

    @Test
    void requiresLeaseOnceListHasExpired() {
        Endpoint first = listEndpoint("a", 1, EndpointState.UP);
        validity.confirmed(NOW);
        assertEquals(first, table.select(1, NOW));
        assertNull(table.select(1, NOW + 6 * SECOND));
        assertTrue(table.hasOnlyUnusableEndpoints(1, NOW + 6 * SECOND));
        first.renewLease(NOW + 5 * SECOND);
        assertEquals(first, table.select(1, NOW + 6 * SECOND));
        first.revokeLease();
        assertNull(table.select(1, NOW + 6 * SECOND));
    }

    @Test
    void reassignedEndpointServesNewShardOnly() {
        listEndpoint("a", 1, EndpointState.UP);
        Endpoint moved = listEndpoint("a", 2, EndpointState.UP);
        assertNull(table.select(1, NOW));
        assertFalse(table.hasShard(1));
        assertEquals(moved, table.select(2, NOW));
        assertTrue(table.isConsistent());
    }

    @Test
    void removesDownEndpointOnceNoAttemptIsInFlight() {
        Endpoint endpoint = listEndpoint("a", 1, EndpointState.UP);
        SentAttempt attempt = new SentAttempt(NOW);
        table.attemptSent(endpoint, attempt);
        table.markAllDown();
        table.evictUnused();
        assertEquals(1, table.all().size());
        assertEquals(1, table.withAttemptsInFlight().size());
        table.attemptEnded(endpoint, attempt);
        table.evictUnused();
        assertTrue(table.all().isEmpty());
        assertFalse(table.hasShard(1));
        assertTrue(table.isConsistent());
    }

    @Test
    void onlyLaterStartTimeIsRestart() {
        Endpoint endpoint = listEndpoint("a", 1, EndpointState.UP);
        assertTrue(endpoint.applyListedStart(NOW));
        assertFalse(endpoint.applyListedStart(NOW));
        assertFalse(endpoint.applyListedStart(NOW - 1));
        assertEquals(NOW, endpoint.startedAt());
        assertEquals(1, endpoint.limiter().freeSlots(NOW));
    }

    @Test
    void infersRestartFromResponseAfterUnreachability() {
        Endpoint endpoint = listEndpoint("a", 1, EndpointState.UP);
        endpoint.health().connectFailed(NOW);
        endpoint.health().connectFailed(NOW + 2 * SECOND);
        endpoint.responded(true, NOW + 3 * SECOND);
        assertEquals(NOW + 2 * SECOND, endpoint.startedAt());
    }
}
