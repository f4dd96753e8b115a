package garnetreel.policy.ratelimit;

import garnetreel.policy.config.Plan;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.timing.Microseconds;

/** Token buckets of one volume at this gateway: its share of the plan's reserve, quota and rate limit. */
public final class VolumeBuckets {
    /**
     * Fraction of the refill before a request's latest useful start that is counted on; the rest is left for requests
     * that arrive in the meantime.
     */
    private static final double COUNTED_REFILL_FRACTION = 0.5;

    private final TokenBucket reserve;
    private final TokenBucket quota;
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
        double visibleShare = settings.reportsOtherGateways() ? 1 : ownShare;
        double largestRequest = settings.maxUnits();
        double reserveRate = plan.reservedRate() * visibleShare;
        double quotaRate = plan.provisionedRate() * visibleShare;
        reserve = new TokenBucket(reserveRate, reserveRate + largestRequest, reserveRate + largestRequest, now);
        quota = new TokenBucket(quotaRate, quotaRate + largestRequest, quotaRate + largestRequest, now);
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

    /** Books a received request on the first bucket that covers half of its units, and returns the booking. */
    public BudgetBooking book(double units, long now) {
        if (draw(reserve, units, now)) {
            return BudgetBooking.RESERVE;
        }
        return draw(quota, units, now) ? BudgetBooking.QUOTA : BudgetBooking.NONE;
    }

    private static boolean draw(TokenBucket bucket, double units, long now) {
        if (bucket.level(now) < units / 2) {
            return false;
        }
        bucket.draw(units);
        return true;
    }

    /** Returns the units of a request that was given up to the bucket it was booked on. */
    public void cancelBooking(BudgetBooking booking, double units) {
        if (booking == BudgetBooking.RESERVE) {
            reserve.draw(-units);
        } else if (booking == BudgetBooking.QUOTA) {
            quota.draw(-units);
        }
    }

    /**
     * Charges the volume's usage through other gateways to the reserve, and the excess over the reserve's level to the
     * quota as well.
     */
    public void drawForOtherGateways(long units, long now) {
        double beyondReserve = Math.max(0, units - Math.max(0, reserve.level(now)));
        reserve.draw(units);
        quota.level(now);
        quota.draw(beyondReserve);
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
    public void drawAttempt(double units) {
        if (rateLimit != null) {
            rateLimit.draw(units);
        }
    }

    /**
     * Whether the rate limit will cover the waiting units before the latest useful start.
     *
     * @param waitingUnits units of the volume's requests that have not yet been charged to the rate limit
     * @param latestUsefulStart time at which the newest of them must start
     * @param now current time
     */
    public boolean coversInTime(double waitingUnits, long latestUsefulStart, long now) {
        if (rateLimit == null) {
            return true;
        }
        double refill = rateLimit.refillRate()
                * Math.max(0, latestUsefulStart - now)
                / (Microseconds.PER_SECOND / COUNTED_REFILL_FRACTION);
        return !(rateLimit.level(now) + refill < waitingUnits);
    }

    /** Invariant: every bucket is consistent. */
    public boolean isConsistent() {
        return reserve.isConsistent() && quota.isConsistent() && (rateLimit == null || rateLimit.isConsistent());
    }
}
