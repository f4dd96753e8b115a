package garnetreel.core.platform;

import static garnetreel.core.platform.UpstreamTestData.changes;
import static garnetreel.core.platform.UpstreamTestData.complete;
import static garnetreel.core.platform.UpstreamTestData.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import garnetreel.codec.ProtocolException;
import garnetreel.codec.http.HttpResponse;
import garnetreel.core.connection.ConnectionIdAllocator;
import garnetreel.policy.event.EndpointListConfirmed;
import garnetreel.policy.event.EndpointState;
import garnetreel.policy.event.EndpointUpdate;
import garnetreel.policy.event.EndpointUpdateKind;
import garnetreel.policy.event.HealthCheckCompleted;
import garnetreel.policy.event.Outcome;
import garnetreel.policy.event.SchedulerEvent;
import garnetreel.settings.JsonException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which updates of the endpoint list are taken, and what follows from them. */
class EndpointListReceiverTest {
    private static final long NOW = 1_000_000_000;

    private final List<SchedulerEvent> events = new ArrayList<>();
    private UpstreamConnectionPool pool;
    private EndpointListReceiver list;

    private static final class NoAttempts implements UpstreamConnectionPool.Listener {
        @Override
        public boolean isAwaited(UpstreamAttempt attempt) {
            return false;
        }

        @Override
        public void attemptCompleted(UpstreamAttempt attempt, Outcome outcome, HttpResponse answer) {
            throw new AssertionError("no attempt was sent");
        }

        @Override
        public void healthCheckCompleted(HealthCheckCompleted checked) {
            throw new AssertionError("no check was sent");
        }
    }

    @BeforeEach
    void restoredWithOneEndpoint() throws JsonException {
        PlatformSettings settings = UpstreamTestData.settings();
        pool = new UpstreamConnectionPool(
                settings,
                ResourceBounds.of(settings.limits()),
                new ConnectionIdAllocator(),
                new GatewayCounters(),
                new NoAttempts());
        list = new EndpointListReceiver(pool, events::add);
        list.restore(complete(7, entry("s-1", EndpointState.UP, 0)), NOW);
    }

    private EndpointUpdateKind lastKind() {
        return assertInstanceOf(EndpointUpdate.class, events.get(events.size() - 1))
                .kind();
    }

    @Test
    void theCachedListIsCurrentUntilTheFirstResponse() {
        assertEquals(new EndpointListConfirmed(NOW), events.get(0));
        assertEquals(EndpointUpdateKind.CACHED, lastKind());
        assertEquals(2, events.size());
        assertEquals(1, pool.endpointCount());
        assertEquals("/registry/instances?watch=1", list.watchTarget());
    }

    @Test
    void changesAreTakenOnlyAfterACompleteList() throws ProtocolException {
        ListUpdate changes = changes(9, entry("s-2", EndpointState.UP, 0));
        ProtocolException thrown = assertThrows(ProtocolException.class, () -> list.apply(changes, NOW));
        assertEquals("changes without a complete list before them", thrown.getMessage());
        assertEquals(1, pool.endpointCount());
        list.apply(complete(3, entry("s-1", EndpointState.UP, 0)), NOW);
        assertEquals(EndpointUpdateKind.SNAPSHOT, lastKind());
        list.apply(changes, NOW);
        assertEquals(EndpointUpdateKind.DELTA, lastKind());
        assertEquals(2, pool.endpointCount());
        assertEquals(9, list.version());
        assertEquals("/registry/instances?watch=1&from=9", list.watchTarget());
    }

    @Test
    void anOlderVersionIsRefusedOnce() throws ProtocolException {
        list.apply(complete(9, entry("s-1", EndpointState.UP, 0)), NOW);
        ListUpdate older = complete(8);
        ProtocolException thrown = assertThrows(ProtocolException.class, () -> list.apply(older, NOW));
        assertEquals("version went back from 9 to 8", thrown.getMessage());
        assertEquals(1, pool.endpointCount());
        assertEquals("/registry/instances?watch=1", list.watchTarget());
        list.apply(older, NOW);
        assertEquals(0, pool.endpointCount());
        assertEquals(8, list.version());
    }

    @Test
    void afterAMoveAnyVersionOfACompleteListIsTaken() throws ProtocolException {
        list.apply(complete(9, entry("s-1", EndpointState.UP, 0)), NOW);
        list.requireSnapshot();
        assertEquals("/registry/instances?watch=1", list.watchTarget());
        list.apply(complete(2, entry("s-1", EndpointState.UP, 0)), NOW);
        assertEquals(2, list.version());
    }

    @Test
    void aStartThatIsNewSinceTheConfirmedListIsNoOlderThanIt() throws ProtocolException {
        list.apply(complete(9, entry("s-1", EndpointState.UP, 0)), NOW);
        list.confirm(NOW);
        assertEquals(new EndpointListConfirmed(NOW), events.get(events.size() - 1));
        list.apply(changes(10, entry("s-2", EndpointState.UP, 5)), NOW + 1_000_000);
        EndpointUpdate update = assertInstanceOf(EndpointUpdate.class, events.get(events.size() - 1));
        assertEquals(NOW - 2_000_000, update.entries().get(0).startedAt());
    }
}
