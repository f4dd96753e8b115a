package garnetreel.policy.fairqueue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import garnetreel.policy.ratelimit.VolumeBuckets;
import org.junit.jupiter.api.Test;

/** Tests the selection among flows that have requests held for a shard. */
class FairQueueTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;
    private static final String ENDPOINT = "endpoint";

    private final FairQueue fairQueue = new FairQueue();
    private final ShardQueue<HeldRequest> queue = new ShardQueue<>();
    private final VolumeFlow first = flow(1, 1);
    private final VolumeFlow second = flow(2, 1);
    private long nextSequence;

    private record HeldRequest(VolumeFlow flow, long sequence) implements QueuedRequest {}

    private VolumeFlow flow(long volume, double weight) {
        return fairQueue.addFlow(
                volume,
                weight,
                new VolumeBuckets(TestSettings.settings().plans().get(0), TestSettings.settings(), 0, NOW, NOW));
    }

    private HeldRequest hold(VolumeFlow flow) {
        HeldRequest request = new HeldRequest(flow, nextSequence++);
        fairQueue.requestReceived(flow, NOW);
        queue.insert(request);
        flow.requestHeld();
        return request;
    }

    private HeldRequest select() {
        return fairQueue.select(queue, ENDPOINT, (request, endpoint) -> true, NOW);
    }

    @Test
    void selectsOldestRequestOfLongestQueue() {
        hold(first);
        HeldRequest oldest = hold(second);
        hold(second);
        assertEquals(oldest, select());
    }

    @Test
    void breaksTieByFewestAttemptsInFlight() {
        hold(first);
        HeldRequest withoutAttempts = hold(second);
        first.attemptSent(0);
        assertEquals(withoutAttempts, select());
        first.attemptEnded();
        assertEquals(first, select().flow(), "with equally many attempts in flight, the older request is selected");
    }

    @Test
    void throttlesFlowAheadByMoreThanThreshold() {
        hold(first);
        hold(first);
        HeldRequest behind = hold(second);
        first.attemptSent(10);
        assertEquals(first, select().flow(), "ten units ahead does not exceed the threshold");
        first.attemptSent(1);
        assertEquals(behind, select());
    }

    @Test
    void selectsLowestVirtualTimeIfAllEligibleFlowsAreThrottled() {
        HeldRequest ahead = hold(first);
        hold(second);
        first.attemptSent(11);
        assertEquals(ahead, fairQueue.select(queue, ENDPOINT, (request, endpoint) -> request.flow() == first, NOW));
        assertNull(fairQueue.select(queue, ENDPOINT, (request, endpoint) -> false, NOW));
    }

    @Test
    void chargeIsDividedByWeight() {
        VolumeFlow heavy = flow(3, 2);
        heavy.attemptSent(8);
        assertEquals(4, heavy.virtualTime());
    }

    @Test
    void reactivatedFlowHasNoCreditFromIdleTime() {
        hold(first);
        first.attemptSent(25);
        hold(second);
        assertEquals(25, second.virtualTime());
        assertTrue(fairQueue.isConsistent());
    }

    @Test
    void emptiedFlowStaysActiveForTwiceItsMeanGap() {
        first.requestReceived(NOW);
        first.requestHeld();
        first.requestReleased(NOW);
        assertTrue(first.isActive(NOW + SECOND), "one second while its mean gap is unknown");
        assertFalse(first.isActive(NOW + SECOND + 1));
        first.requestReceived(NOW + 100);
        first.requestHeld();
        first.requestReleased(NOW + 100);
        assertTrue(first.isActive(NOW + 300));
        assertFalse(first.isActive(NOW + 301));
    }

    @Test
    void removesFlowUnusedForOneMinute() {
        hold(first);
        fairQueue.evictUnused(NOW + 61 * SECOND);
        assertEquals(1, fairQueue.size(), "the flow that never held a request is evicted");
        first.requestReleased(NOW);
        fairQueue.evictUnused(NOW + 60 * SECOND);
        assertEquals(1, fairQueue.size());
        fairQueue.evictUnused(NOW + 60 * SECOND + 1);
        assertNull(fairQueue.flow(1));
    }

    @Test
    void retriedRequestPrecedesLaterOnes() {
        HeldRequest retried = hold(first);
        hold(first);
        queue.remove(retried);
        queue.insert(retried);
        assertEquals(retried, queue.snapshot().get(0));
        assertTrue(queue.isConsistent());
        queue.insert(retried);
        assertFalse(queue.isConsistent());
    }
}
