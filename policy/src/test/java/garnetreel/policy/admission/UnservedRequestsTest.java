package garnetreel.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import garnetreel.policy.fairqueue.FairQueue;
import garnetreel.policy.fairqueue.VolumeFlow;
import garnetreel.policy.ratelimit.VolumeBuckets;
import org.junit.jupiter.api.Test;

/** Tests how unmarked client retries are recognized. */
class UnservedRequestsTest {
    private static final long NOW = 100_000_000;
    private static final long DEADLINE = NOW + 2_000_000;

    private final FairQueue fairQueue = new FairQueue();
    private final VolumeFlow flow = flow(1);
    private final UnservedRequests unserved = new UnservedRequests();

    private VolumeFlow flow(long volume) {
        return fairQueue.addFlow(
                volume,
                1,
                new VolumeBuckets(TestSettings.settings().plans().get(0), TestSettings.settings(), 0, NOW, NOW));
    }

    @Test
    void recognizesRetryWithSimilarDeadline() {
        unserved.add(flow, "read", 4, DEADLINE, NOW);
        assertEquals(NOW, unserved.firstReceivedAt(flow, "read", 4, DEADLINE + 5_000, NOW + 9));
        assertEquals(NOW, unserved.firstReceivedAt(flow, "read", 4, DEADLINE - 5_000, NOW + 9));
        assertEquals(NOW + 9, unserved.firstReceivedAt(flow, "read", 4, DEADLINE + 10_000, NOW + 9));
    }

    @Test
    void doesNotMatchDifferentRequest() {
        unserved.add(flow, "read", 4, DEADLINE, NOW);
        assertEquals(NOW + 9, unserved.firstReceivedAt(flow, "read", 3, DEADLINE, NOW + 9));
        assertEquals(NOW + 9, unserved.firstReceivedAt(flow, "once", 4, DEADLINE, NOW + 9));
        assertEquals(NOW + 9, unserved.firstReceivedAt(flow(2), "read", 4, DEADLINE, NOW + 9));
    }

    @Test
    void evictsOldestEntries() {
        for (int i = 0; i < 10_000; i++) {
            unserved.add(flow, "read", i, DEADLINE, NOW);
        }
        assertTrue(unserved.isConsistent());
        assertEquals(4_096, unserved.size());
        assertEquals(NOW, unserved.firstReceivedAt(flow, "read", 9_999, DEADLINE, NOW + 9));
        assertEquals(NOW + 9, unserved.firstReceivedAt(flow, "read", 0, DEADLINE, NOW + 9));
    }
}
