package garnetreel.policy.ratelimit;

import garnetreel.policy.config.Plan;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.timing.Microseconds;

/**
 * Token buckets of one volume at this gateway. The rate limit is this gateway's share of that of the plan. The reserved
 * and the provisioned rate are its share as well, unless endpoints report the usage through other gateways; the buckets
 * then have the whole rates and are charged for that usage too.
 */
public final class VolumeBuckets {
    /**
     * Fraction of the refill before a request's latest useful start that is counted on; the rest is left for requests
     * that arrive in the meantime.
     */
    private static final double COUNTED_REFILL_FRACTION = 0.5;

    private final TokenBucket reserved;
    private final TokenBucket provisioned;
    /** Null if the plan has no rate limit. */
    private final TokenBucket rateLimit;

    /**
     * Creates the buckets of a volume that is new to this gateway.
     *
     * @param plan plan of the volume
     * @param settings settings of the scheduler
     * @param gateways number of gateways that receive the volume's requests; 0 or less if unknown
     * @param startedAt start time of this gateway
     * @param now current time
     */
    public VolumeBuckets(Plan plan, SchedulerSettings settings, int gateways, long startedAt, long now) {
        double ownShare = 1.0 / Math.max(1, gateways > 0 ? gateways : settings.gateways());
        // Share of the volume's usage that is charged to these buckets: all of it if endpoints report the rest.
        double trackedShare = settings.reportsOtherGateways() ? 1 : ownShare;
        double largestRequest = settings.maxUnits();
        // Both buckets hold the units of one second and one request of the maximum size, so that a full bucket covers
        // any request.
        double reservedRate = plan.reservedRate() * trackedShare;
        double provisionedRate = plan.provisionedRate() * trackedShare;
        reserved = new TokenBucket(reservedRate, reservedRate + largestRequest, reservedRate + largestRequest, now);
        provisioned = new TokenBucket(
                provisionedRate, provisionedRate + largestRequest, provisionedRate + largestRequest, now);
        rateLimit = plan.rateLimit() <= 0 ? null : rateLimit(plan, ownShare, startedAt, now);
    }

    /**
     * Creates the rate-limit bucket, which is empty at the gateway's start: a restarted gateway must not grant the
     * burst again.
     */
    private static TokenBucket rateLimit(Plan plan, double ownShare, long startedAt, long now) {
        return new TokenBucket(
                plan.rateLimit() * ownShare,
                plan.burst() * ownShare,
                plan.rateLimit() * ownShare * (now - startedAt) / Microseconds.PER_SECOND,
                now);
    }

    /** Charges a received request to the first bucket that holds at least half of its units, and returns the bucket. */
    public ChargedBucket chargeRequest(double units, long now) {
        if (charge(reserved, units, now)) {
            return ChargedBucket.RESERVED;
        }
        return charge(provisioned, units, now) ? ChargedBucket.PROVISIONED : ChargedBucket.NONE;
    }

    private static boolean charge(TokenBucket bucket, double units, long now) {
        if (bucket.level(now) < units / 2) {
            return false;
        }
        bucket.charge(units);
        return true;
    }

    /** Returns the units of a request that the scheduler gave up to the bucket that they were charged to. */
    public void refund(ChargedBucket chargedBucket, double units) {
        if (chargedBucket == ChargedBucket.RESERVED) {
            reserved.charge(-units);
        } else if (chargedBucket == ChargedBucket.PROVISIONED) {
            provisioned.charge(-units);
        }
    }

    /**
     * Charges the volume's usage through other gateways to the reserved rate, and the excess over the level of its
     * bucket to the provisioned rate as well.
     */
    public void chargeForOtherGateways(long units, long now) {
        double beyondReserved = Math.max(0, units - Math.max(0, reserved.level(now)));
        reserved.charge(units);
        provisioned.level(now);
        provisioned.charge(beyondReserved);
    }

    /** Whether the volume has a rate limit. */
    public boolean isRateLimited() {
        return rateLimit != null;
    }

    /** Whether the rate limit covers a first attempt now. */
    public boolean allowsAttempt(double units, long now) {
        return rateLimit == null || rateLimit.level(now) >= units;
    }

    /** Charges the units of a first attempt to the rate limit. */
    public void chargeAttempt(double units) {
        if (rateLimit != null) {
            rateLimit.charge(units);
        }
    }

    /**
     * Whether the rate limit will cover the uncharged units before the latest useful start.
     *
     * @param unchargedUnits units of the volume's requests that have not yet been charged to the rate limit
     * @param latestUsefulStart time at which the newest of them must start
     * @param now current time
     */
    public boolean coversInTime(double unchargedUnits, long latestUsefulStart, long now) {
        if (rateLimit == null) {
            return true;
        }
        double refill = rateLimit.refillRate()
                * Math.max(0, latestUsefulStart - now)
                / (Microseconds.PER_SECOND / COUNTED_REFILL_FRACTION);
        return !(rateLimit.level(now) + refill < unchargedUnits);
    }

    /** Invariant: every bucket is consistent. */
    public boolean isConsistent() {
        return reserved.isConsistent() && provisioned.isConsistent() && (rateLimit == null || rateLimit.isConsistent());
    }
}
