package garnetreel.mapservice;

/** A token bucket that may be overdrawn; it is refilled at a constant rate up to its capacity. */
final class RateLimiter {
    private final double perSecond;
    private final double capacity;
    private double available;
    private long refilledAt;

    RateLimiter(double perSecond, double capacity) {
        this.perSecond = perSecond;
        this.capacity = capacity;
    }

    /** Starts refilling an empty budget. */
    void start(long now) {
        refilledAt = now;
    }

    /** Adds the amount that has accrued since the last call. */
    void refill(long now) {
        double seconds = (now - refilledAt) / 1e6;
        refilledAt = now;
        available = Math.min(capacity, available + seconds * perSecond);
    }

    /** The remaining amount; negative while the budget is overdrawn. */
    double available() {
        return available;
    }

    void take(double amount) {
        available -= amount;
    }

    /** Returns an amount that was taken and not used. */
    void giveBack(double amount) {
        available += amount;
    }

    /** Time until an overdrawn budget has been refilled to zero, in microseconds. */
    long microsUntilBalanced() {
        return (long) (-available * 1e6 / perSecond);
    }
}
