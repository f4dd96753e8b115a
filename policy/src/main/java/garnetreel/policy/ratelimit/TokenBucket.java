package garnetreel.policy.ratelimit;

import garnetreel.policy.timing.Microseconds;

/**
 * Token bucket that holds units and refills at a constant rate up to its capacity. A request is charged as a whole,
 * also if the level covers only a part of it, so the level may be negative. It falls to minus the capacity at most,
 * which bounds the time until it is positive again; further debt is dropped.
 */
public final class TokenBucket {
    private final double refillRate;
    private final double capacity;
    private double level;
    private long refilledAt;

    /**
     * Creates a bucket with an initial level.
     *
     * @param refillRate units per second
     * @param capacity maximum number of units in the bucket
     * @param level initial number of units, limited to the capacity
     * @param now current time
     */
    public TokenBucket(double refillRate, double capacity, double level, long now) {
        this.refillRate = refillRate;
        this.capacity = capacity;
        this.level = Math.min(capacity, level);
        this.refilledAt = now;
    }

    /** Refill rate in units per second. */
    public double refillRate() {
        return refillRate;
    }

    /** Refills the bucket up to the current time and returns its level. */
    public double level(long now) {
        level = Math.min(capacity, level + refillRate * (now - refilledAt) / Microseconds.PER_SECOND);
        refilledAt = now;
        return level;
    }

    /**
     * Charges units to the bucket; a negative number returns them. Does not refill the bucket, so callers call
     * {@link #level} first.
     */
    public void charge(double units) {
        level = Math.max(-capacity, Math.min(capacity, level - units));
    }

    /** Invariant: the level is between minus the capacity and the capacity. */
    public boolean isConsistent() {
        return level <= capacity && level >= -capacity;
    }
}
