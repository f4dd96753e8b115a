package garnetreel.policy.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import garnetreel.policy.TestSettings;
import garnetreel.policy.config.Plan;
import org.junit.jupiter.api.Test;

/** Tests charges to the reserved and the provisioned rate, and the rate limit, for a volume at one of two gateways. */
class VolumeBucketsTest {
    private static final long SECOND = 1_000_000;
    private static final long START = 100 * SECOND;
    /** Reserved rate of 10 and provisioned rate of 20 units/s, no rate limit; the largest request has 8 units. */
    private static final Plan UNLIMITED_PLAN = TestSettings.settings().plans().get(0);
    /** Rate limit of 10 units per second, burst of 40 units. */
    private static final Plan RATE_LIMITED_PLAN =
            TestSettings.settings().plans().get(2);

    private static VolumeBuckets buckets(Plan plan, long now) {
        return new VolumeBuckets(plan, TestSettings.settings(), 0, START, now);
    }

    @Test
    void chargesReservedBeforeProvisionedRate() {
        VolumeBuckets buckets = buckets(UNLIMITED_PLAN, START);
        assertEquals(ChargedBucket.RESERVED, buckets.chargeRequest(13, START));
        assertEquals(ChargedBucket.PROVISIONED, buckets.chargeRequest(18, START));
        assertEquals(ChargedBucket.NONE, buckets.chargeRequest(1, START));
        assertTrue(buckets.isConsistent());
    }

    @Test
    void chargesIfBucketCoversHalfTheRequest() {
        assertEquals(ChargedBucket.RESERVED, buckets(UNLIMITED_PLAN, START).chargeRequest(26, START));
        assertEquals(ChargedBucket.PROVISIONED, buckets(UNLIMITED_PLAN, START).chargeRequest(27, START));
    }

    @Test
    void refundReturnsUnits() {
        VolumeBuckets buckets = buckets(UNLIMITED_PLAN, START);
        buckets.refund(buckets.chargeRequest(13, START), 13);
        assertEquals(ChargedBucket.RESERVED, buckets.chargeRequest(13, START));
    }

    @Test
    void usageThroughOtherGatewaysChargesReservedRateFirst() {
        VolumeBuckets buckets = buckets(UNLIMITED_PLAN, START);
        buckets.chargeForOtherGateways(13, START);
        assertEquals(ChargedBucket.PROVISIONED, buckets.chargeRequest(18, START));
    }

    @Test
    void rateLimitBucketIsEmptyAtGatewayStart() {
        VolumeBuckets buckets = buckets(RATE_LIMITED_PLAN, START);
        assertTrue(buckets.isRateLimited());
        assertFalse(buckets.allowsAttempt(1, START));
        assertTrue(buckets.allowsAttempt(5, START + SECOND));
        buckets.chargeAttempt(5);
        assertFalse(buckets.allowsAttempt(1, START + SECOND));
    }

    @Test
    void countsHalfOfTheRefillBeforeLatestStart() {
        VolumeBuckets buckets = buckets(RATE_LIMITED_PLAN, START);
        assertTrue(buckets.coversInTime(5, START + 2 * SECOND, START));
        assertFalse(buckets.coversInTime(6, START + 2 * SECOND, START));
    }

    @Test
    void allowsEverythingWithoutRateLimit() {
        VolumeBuckets buckets = buckets(UNLIMITED_PLAN, START);
        assertFalse(buckets.isRateLimited());
        assertTrue(buckets.allowsAttempt(1_000, START));
        assertTrue(buckets.coversInTime(1_000, START, START));
    }
}
