package garnetreel.core.platform;

import static garnetreel.core.platform.UpstreamTestData.address;
import static garnetreel.core.platform.UpstreamTestData.changes;
import static garnetreel.core.platform.UpstreamTestData.completeList;
import static garnetreel.core.platform.UpstreamTestData.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.event.EndpointEntry;
import garnetreel.policy.event.EndpointState;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The endpoints in the table after updates, and those that it reports as changed. */
class UpstreamEndpointsTest {
    private final UpstreamEndpoints endpoints = new UpstreamEndpoints();

    @BeforeEach
    void listThreeEndpoints() {
        Set<String> changed = endpoints.apply(completeList(
                1,
                entry("s-1", EndpointState.UP, 5),
                entry("s-2", EndpointState.UP, 5),
                entry("s-3", EndpointState.DRAINING, 5)));
        assertEquals(Set.of(), changed, "new endpoints are not reported as changed");
        assertEquals(3, endpoints.size());
    }

    @Test
    void onlyAnEndpointThatIsUpAcceptsRequestsAndOnlyAtItsAddress() {
        assertTrue(endpoints.acceptsRequests("s-1", address("s-1")));
        assertFalse(endpoints.acceptsRequests("s-1", address("s-2")));
        assertFalse(endpoints.acceptsRequests("s-3", address("s-3")), "the endpoint is draining");
        assertFalse(endpoints.acceptsRequests("s-4", address("s-4")), "the endpoint is not listed");
    }

    @Test
    void changesDoNotAffectOtherEndpoints() {
        Set<String> changed = endpoints.apply(changes(
                2,
                entry("s-3", EndpointState.UP, 5),
                entry("s-2", EndpointState.REMOVED, 5),
                entry("s-1", EndpointState.UP, 5),
                entry("s-4", EndpointState.UP, 5)));
        assertEquals(List.of("s-3", "s-2"), List.copyOf(changed), "in the order of the update");
        assertEquals(3, endpoints.size());
        assertNull(endpoints.get("s-2"));
        assertTrue(endpoints.acceptsRequests("s-4", address("s-4")));
    }

    @Test
    void aCompleteListRemovesEndpointsMissingFromIt() {
        Set<String> changed = endpoints.apply(completeList(2, entry("s-1", EndpointState.UP, 5)));
        assertEquals(Set.of("s-2", "s-3"), changed);
        assertEquals(1, endpoints.size());
    }

    @Test
    void aRestartAndAChangeOfAddressAreReported() {
        assertEquals(Set.of("s-1"), endpoints.apply(changes(2, entry("s-1", EndpointState.UP, 6))));
        EndpointEntry unchanged = entry("s-2", EndpointState.UP, 5).endpoint();
        assertEquals(
                Set.of("s-2"), endpoints.apply(changes(3, new EndpointListUpdate.Entry("new address", unchanged))));
        assertTrue(endpoints.acceptsRequests("s-2", "new address"));
    }
}
