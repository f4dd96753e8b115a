package garnetreel.policy.admission;

import garnetreel.policy.ratelimit.ChargedBucket;
import garnetreel.policy.timing.Microseconds;

/** Demand of this gateway's clients for one shard, by priority, and the units admitted; both decay exponentially. */
public final class DemandEstimate {
    /** Time constant of the demand, in microseconds: short, as demand changes within seconds. */
    static final double TIME_CONSTANT_MICROS = 6e6;
    /**
     * Upper bound of the units admitted within the overload window, as a multiple of the units that the warm-up rate
     * allows in it; one request of the maximum size is allowed in addition.
     */
    private static final double SURGE_MULTIPLE = 1.3;

    /** Units per second, indexed by priority rank. */
    private final double[] demand = new double[ChargedBucket.RANKS];

    private long demandAt;
    private double admittedUnits;
    private long admittedAt;

    /** Adds a request to the demand. */
    public void add(ChargedBucket chargedBucket, double units, long now) {
        double decay = Math.exp((demandAt - now) / TIME_CONSTANT_MICROS);
        for (int rank = 0; rank < demand.length; rank++) {
            demand[rank] *= decay;
        }
        demand[chargedBucket.rank()] += units * Microseconds.PER_SECOND / TIME_CONSTANT_MICROS;
        demandAt = now;
    }

    /** Time of the latest request for the shard. */
    public long lastRequestAt() {
        return demandAt;
    }

    /**
     * Fraction of a bucket's demand that a rate can serve after the demand of all buckets of higher priority; may
     * exceed 1 or be negative.
     */
    double servableFraction(double rate, ChargedBucket chargedBucket) {
        double remaining = rate;
        for (int rank = 0; rank < chargedBucket.rank(); rank++) {
            remaining -= demand[rank];
        }
        return remaining / demand[chargedBucket.rank()];
    }

    /**
     * Whether the recently admitted units exceed a rate, as happens when demand rises faster than the estimate.
     *
     * @param rate units per second
     * @param largestRequest units allowed in excess of the rate: the size of the largest request
     * @param window overload window, in microseconds
     */
    boolean isSurging(double rate, double largestRequest, long window, long now) {
        admittedUnits *= Math.exp((admittedAt - now) / Math.max(1.0, window));
        admittedAt = now;
        return admittedUnits > SURGE_MULTIPLE * rate * window / Microseconds.PER_SECOND + largestRequest;
    }

    void recordAdmitted(double units) {
        admittedUnits += units;
    }

    /** Invariant: no demand and no number of admitted units is negative. */
    public boolean isConsistent() {
        for (double units : demand) {
            if (!(units >= 0)) {
                return false;
            }
        }
        return admittedUnits >= 0;
    }
}
