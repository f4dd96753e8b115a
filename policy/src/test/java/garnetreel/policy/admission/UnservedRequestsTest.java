package garnetreel.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import garnetreel.policy.fairqueue.FairQueue;
import garnetreel.policy.fairqueue.VolumeFlow;
import garnetreel.policy.ratelimit.VolumeBuckets;
import org.junit.jupiter.api.Test;

/** Tests how unmarked client retries are recognized. */
class RejectedRequestsTest {
    private static final long NOW = 100_000_000;
    private static final long DEADLINE = NOW + 2_000_000;

    private final FairQueue fairQueue = new FairQueue();
    private final VolumeFlow flow = flow(1);
    private final RejectedRequests rejected = new RejectedRequests();

    private VolumeFlow flow(long volume) {
        return fairQueue.addFlow(
                volume,
                1,
                new VolumeBuckets(TestSettings.settings().plans().get(0), TestSettings.settings(), 0, NOW, NOW));
    }

    @Test
    void recognizesRetryWithSimilarDeadline() {
        rejected.add(flow, "read", 4, DEADLINE, NOW);
        assertEquals(NOW, rejected.firstReceivedAt(flow, "read", 4, DEADLINE + 5_000, NOW + 9));
        assertEquals(NOW, rejected.firstReceivedAt(flow, "read", 4, DEADLINE - 5_000, NOW + 9));
        assertEquals(NOW + 9, rejected.firstReceivedAt(flow, "read", 4, DEADLINE + 10_000, NOW + 9));
    }

    @Test
    void doesNotMatchDifferentRequest() {
        rejected.add(flow, "read", 4, DEADLINE, NOW);
        assertEquals(NOW + 9, rejected.firstReceivedAt(flow, "read", 3, DEADLINE, NOW + 9));
        assertEquals(NOW + 9, rejected.firstReceivedAt(flow, "once", 4, DEADLINE, NOW + 9));
        assertEquals(NOW + 9, rejected.firstReceivedAt(flow(2), "read", 4, DEADLINE, NOW + 9));
    }

    @Test
    void evictsOldestEntries() {
        for (int i = 0; i < 10_000; i++) {
            rejected.add(flow, "read", i, DEADLINE, NOW);
        }
        assertTrue(rejected.isConsistent());
        assertEquals(4_096, rejected.size());
        assertEquals(NOW, rejected.firstReceivedAt(flow, "read", 9_999, DEADLINE, NOW + 9));
        assertEquals(NOW + 9, rejected.firstReceivedAt(flow, "read", 0, DEADLINE, NOW + 9));
    }
}
