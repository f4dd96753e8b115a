package garnetreel.policy.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the level of a token bucket over time. */
class TokenBucketTest {
    private static final long SECOND = 1_000_000;

    private final TokenBucket bucket = new TokenBucket(10, 40, 100, 0);

    @Test
    void initialLevelIsLimitedToCapacity() {
        assertEquals(40, bucket.level(0));
    }

    @Test
    void refillsAtRateUpToCapacity() {
        bucket.charge(30);
        assertEquals(15, bucket.level(SECOND / 2));
        assertEquals(40, bucket.level(10 * SECOND));
        assertTrue(bucket.isConsistent());
    }

    @Test
    void levelIsBoundedByMinusCapacity() {
        bucket.charge(1_000);
        assertEquals(-40, bucket.level(0));
        bucket.charge(-1_000);
        assertEquals(40, bucket.level(0));
        assertTrue(bucket.isConsistent());
    }
}
