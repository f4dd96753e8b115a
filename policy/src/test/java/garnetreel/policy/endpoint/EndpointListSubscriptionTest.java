package garnetreel.policy.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests when the endpoint list is requested; the configured poll interval is 10 s. */
class EndpointListSubscriptionTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;

    private final EndpointListSubscription subscription =
            new EndpointListSubscription(TestSettings.settings(), new SplittableRandom(1));

    @Test
    void callsImmediatelyAndThenAwaitsResponse() {
        subscription.start(NOW);
        assertTrue(subscription.takeDueCall(NOW));
        assertFalse(subscription.takeDueCall(NOW));
        assertFalse(subscription.takeDueCall(NOW + 10 * SECOND - 1));
        assertTrue(subscription.takeDueCall(NOW + 10 * SECOND));
    }

    @Test
    void doesNotCallWhileSubscribed() {
        subscription.start(NOW);
        subscription.listReceived();
        assertFalse(subscription.isPending());
        assertFalse(subscription.takeDueCall(NOW + 60 * SECOND));
    }

    @Test
    void backoffDoublesWithJitterUpToMaximum() {
        long mean = SECOND / 2;
        for (int i = 0; i < 10; i++) {
            subscription.failed(NOW);
            long wait = subscription.nextCallAt() - NOW;
            assertTrue(wait >= mean / 2 && wait <= mean * 3 / 2, "failure " + i + ": " + wait);
            assertTrue(subscription.isConsistent());
            mean = Math.min(2_600_000, 2 * mean);
        }
        subscription.listReceived();
        subscription.failed(NOW);
        assertTrue(subscription.nextCallAt() - NOW <= SECOND * 3 / 4, "receiving a list resets the backoff");
        assertTrue(subscription.isPending());
    }

    @Test
    void trustedCachedListDelaysFirstCallRandomly() {
        subscription.start(NOW);
        subscription.cachedListRead(true, NOW);
        assertTrue(subscription.nextCallAt() >= NOW && subscription.nextCallAt() < NOW + 3 * SECOND);
        subscription.cachedListRead(false, NOW);
        assertEquals(NOW, subscription.nextCallAt());
    }
}
