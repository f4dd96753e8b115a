package garnetreel.policy.slowstart;

import garnetreel.policy.timing.Microseconds;

/**
 * Long-term mean rate at which the endpoints of one shard served this gateway, in units per second. An outage can only
 * lower it, so that slow start never allows more after one.
 */
public final class ServedRate {
    /**
     * Period, in microseconds, after which the older half of the measurement is dropped, both in units and in time:
     * long, as slow start scales with the usual rate.
     */
    private static final long MAX_AGE_MICROS = 60_000_000;
    /** Minimum period of the mean, in microseconds: a first response must not result in a high rate. */
    private static final long MIN_PERIOD_MICROS = 4_000_000;

    private double units;
    private long since;

    /** Creates a rate that is measured from the given time. */
    public ServedRate(long since) {
        this.since = since;
    }

    /** Adds units served at the current time. */
    public void add(double servedUnits, long now) {
        units += servedUnits;
        halveIfOld(now);
    }

    /** Mean rate in units per second. */
    public double perSecond(long now) {
        halveIfOld(now);
        return units * Microseconds.PER_SECOND / Math.max(MIN_PERIOD_MICROS, now - since);
    }

    private void halveIfOld(long now) {
        if (now - since > MAX_AGE_MICROS) {
            units /= 2;
            since = (since + now) / 2;
        }
    }

    /** Invariant: the number of served units is finite and not negative. */
    public boolean isConsistent() {
        return units >= 0 && Double.isFinite(units);
    }
}
