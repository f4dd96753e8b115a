package garnetreel.core.platform;

import static garnetreel.core.platform.UpstreamTestData.changes;
import static garnetreel.core.platform.UpstreamTestData.completeList;
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

/** Which updates of the endpoint list are accepted, and which events they cause. */
class EndpointListReceiverTest {
    private static final long NOW = 1_000_000_000;

    private final List<SchedulerEvent> events = new ArrayList<>();
    private UpstreamConnectionPool pool;
    private EndpointListReceiver receiver;

    private static final class NoAttemptsListener implements UpstreamConnectionPool.Listener {
        @Override
        public boolean isClientWaiting(UpstreamAttempt attempt) {
            return false;
        }

        @Override
        public void attemptCompleted(UpstreamAttempt attempt, Outcome outcome, HttpResponse response) {
            throw new AssertionError("an attempt completed although none was sent");
        }

        @Override
        public void healthCheckCompleted(HealthCheckCompleted event) {
            throw new AssertionError("a health check completed although none was sent");
        }
    }

    @BeforeEach
    void restoreCachedListWithOneEndpoint() throws JsonException {
        PlatformSettings settings = UpstreamTestData.settings();
        pool = new UpstreamConnectionPool(
                settings,
                ResourceLimits.of(settings.limits(), Long.MAX_VALUE),
                new ConnectionIdAllocator(),
                new GatewayCounters(),
                new NoAttemptsListener());
        receiver = new EndpointListReceiver(pool, events::add);
        receiver.restore(completeList(7, entry("s-1", EndpointState.UP, 0)), NOW);
    }

    private EndpointUpdateKind lastKind() {
        return assertInstanceOf(EndpointUpdate.class, events.get(events.size() - 1))
                .kind();
    }

    @Test
    void theCachedListIsAppliedAndTheWatchRequestsACompleteList() {
        assertEquals(new EndpointListConfirmed(NOW), events.get(0));
        assertEquals(EndpointUpdateKind.CACHED, lastKind());
        assertEquals(2, events.size());
        assertEquals(1, pool.endpointCount());
        assertEquals("/registry/instances?watch=1", receiver.watchTarget());
    }

    @Test
    void changesAreAcceptedOnlyAfterACompleteList() throws ProtocolException {
        EndpointListUpdate changes = changes(9, entry("s-2", EndpointState.UP, 0));
        ProtocolException thrown = assertThrows(ProtocolException.class, () -> receiver.apply(changes, NOW));
        assertEquals("expected a complete endpoint list, got changes", thrown.getMessage());
        assertEquals(1, pool.endpointCount());
        receiver.apply(completeList(3, entry("s-1", EndpointState.UP, 0)), NOW);
        assertEquals(EndpointUpdateKind.SNAPSHOT, lastKind());
        receiver.apply(changes, NOW);
        assertEquals(EndpointUpdateKind.DELTA, lastKind());
        assertEquals(2, pool.endpointCount());
        assertEquals(9, receiver.version());
        assertEquals("/registry/instances?watch=1&from=9", receiver.watchTarget());
    }

    @Test
    void anOlderVersionIsRejectedOnlyOnce() throws ProtocolException {
        receiver.apply(completeList(9, entry("s-1", EndpointState.UP, 0)), NOW);
        EndpointListUpdate older = completeList(8);
        ProtocolException thrown = assertThrows(ProtocolException.class, () -> receiver.apply(older, NOW));
        assertEquals("version went back from 9 to 8", thrown.getMessage());
        assertEquals(1, pool.endpointCount());
        assertEquals("/registry/instances?watch=1", receiver.watchTarget());
        receiver.apply(older, NOW);
        assertEquals(0, pool.endpointCount());
        assertEquals(8, receiver.version());
    }

    @Test
    void aRequiredCompleteListIsAcceptedInAnyVersion() throws ProtocolException {
        receiver.apply(completeList(9, entry("s-1", EndpointState.UP, 0)), NOW);
        receiver.requireCompleteList();
        assertEquals("/registry/instances?watch=1", receiver.watchTarget());
        receiver.apply(completeList(2, entry("s-1", EndpointState.UP, 0)), NOW);
        assertEquals(2, receiver.version());
    }

    @Test
    void anEndpointNewSinceTheConfirmedListStartedNoEarlierThanTheListLessTheReportDelay() throws ProtocolException {
        receiver.apply(completeList(9, entry("s-1", EndpointState.UP, 0)), NOW);
        receiver.confirm(NOW);
        assertEquals(new EndpointListConfirmed(NOW), events.get(events.size() - 1));
        receiver.apply(changes(10, entry("s-2", EndpointState.UP, 5)), NOW + 1_000_000);
        EndpointUpdate update = assertInstanceOf(EndpointUpdate.class, events.get(events.size() - 1));
        assertEquals(NOW - 2_000_000, update.entries().get(0).startedAt());
    }
}
