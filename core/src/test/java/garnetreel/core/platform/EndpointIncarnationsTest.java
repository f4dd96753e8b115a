package garnetreel.core.platform;

import static garnetreel.core.platform.UpstreamTestData.changes;
import static garnetreel.core.platform.UpstreamTestData.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;

import garnetreel.policy.event.EndpointState;
import org.junit.jupiter.api.Test;

/** Estimation of the start time of an incarnation, which is one run of an endpoint's process. */
class EndpointIncarnationsTest {
    private static final long NOW = 1_000_000_000;
    private static final long NO_PREVIOUS_LIST = -1;
    private static final long MAX_REPORT_DELAY = 2_000_000;

    private final EndpointIncarnations incarnations = new EndpointIncarnations();

    private long estimatedStart(String endpoint, long reportedStart, long now, long listCurrentAt) {
        EndpointListUpdate update = changes(1, entry(endpoint, EndpointState.UP, reportedStart));
        return incarnations
                .withEstimatedStarts(update, now, listCurrentAt)
                .entries()
                .get(0)
                .endpoint()
                .startedAt();
    }

    @Test
    void withoutAPreviousListTheReportedStartIsUsedUnlessItIsInTheFuture() {
        assertEquals(0, estimatedStart("s-1", -5, NOW, NO_PREVIOUS_LIST), "not stated: long ago");
        assertEquals(5, estimatedStart("s-2", 5, NOW, NO_PREVIOUS_LIST));
        assertEquals(NOW, estimatedStart("s-3", NOW + 1, NOW, NO_PREVIOUS_LIST));
    }

    @Test
    void aNewStartIsNoEarlierThanThePreviousListLessTheReportDelay() {
        assertEquals(NOW - 100 - MAX_REPORT_DELAY, estimatedStart("s-1", 5, NOW, NOW - 100));
        assertEquals(NOW - 50, estimatedStart("s-2", NOW - 50, NOW, NOW - 100));
        assertEquals(0, estimatedStart("s-3", 0, NOW, NOW - 100), "not stated: long ago");
    }

    @Test
    void theStartOfAnIncarnationIsEstimatedOnceAndKeptAfterARemoval() {
        assertEquals(NOW, estimatedStart("s-1", NOW + 1, NOW, NO_PREVIOUS_LIST));
        assertEquals(NOW, estimatedStart("s-1", NOW + 1, NOW + 500, NO_PREVIOUS_LIST));
        EndpointListUpdate removal = changes(2, entry("s-1", EndpointState.REMOVED, 0));
        assertEquals(removal, incarnations.withEstimatedStarts(removal, NOW, NO_PREVIOUS_LIST));
        assertEquals(NOW, estimatedStart("s-1", NOW + 1, NOW + 700, NO_PREVIOUS_LIST));
        assertEquals(NOW + 2, estimatedStart("s-1", NOW + 2, NOW + 900, NO_PREVIOUS_LIST), "a new incarnation");
    }

    @Test
    void theLeastRecentlyReportedEndpointIsEvicted() {
        assertEquals(NOW, estimatedStart("s-1", NOW + 1, NOW, NO_PREVIOUS_LIST));
        for (int i = 0; i < 16_384; i++) {
            estimatedStart("t-" + i, 1, NOW, NO_PREVIOUS_LIST);
        }
        assertEquals(NOW + 1, estimatedStart("s-1", NOW + 1, NOW + 500, NO_PREVIOUS_LIST), "estimated again");
    }
}
