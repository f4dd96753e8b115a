package garnetreel.policy.slowstart;

import garnetreel.policy.config.SafetyRules;
import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.timing.Microseconds;

/**
 * Limits the rate of requests to endpoints that have recently started. The total rate at which a shard with one
 * endpoint serves all gateways is at most the capacity of that endpoint, so if each gateway keeps to a fraction of its
 * own former rate, their total stays within that fraction of the capacity. The allowed fraction is the product of the
 * endpoint's present capacity fraction, {@code rules.overloadMultiple} and {@link #OWN_RATE_MULTIPLE}. A gateway
 * without a former rate uses an equal share of a rate that is always safe.
 */
public final class SlowStart {
    /**
     * Factor applied to the allowed fraction of the gateway's former rate, as few endpoints run at full capacity before
     * they restart.
     */
    private static final double OWN_RATE_MULTIPLE = 1.5;
    /** Minimum initial fraction; prevents division by zero if the settings define none. */
    private static final double MIN_INITIAL_FRACTION = 0.01;

    private final SafetyRules rules;
    private final double initialFraction;
    /** Units within the overload window that all gateways together may always send. */
    private final double safeUnits;

    private final int gateways;

    /** Creates the slow start for the given settings. */
    public SlowStart(SchedulerSettings settings) {
        rules = settings.rules();
        initialFraction = Math.max(MIN_INITIAL_FRACTION, Math.min(1, rules.initialCapacityFraction()));
        safeUnits = settings.coldEndpointCapacity() > 0 ? settings.coldEndpointCapacity() : settings.meanUnits();
        gateways = Math.max(1, settings.gateways());
    }

    /**
     * Rate at which this gateway may send to an endpoint, in units per second; infinite once the endpoint has warmed
     * up.
     *
     * @param startedAt start time of the endpoint's process; 0 or negative if long ago
     * @param served former rate at which the endpoints of the shard served this gateway
     * @param now current time
     */
    public double warmUpRate(long startedAt, ServedRate served, long now) {
        if (!isWarmingUp(startedAt, now)) {
            return Double.POSITIVE_INFINITY;
        }
        double fraction = capacityFraction(now - startedAt);
        double safeRate =
                safeUnits * Microseconds.PER_SECOND / rules.overloadWindow() / gateways * fraction / initialFraction;
        return Math.max(safeRate, OWN_RATE_MULTIPLE * rules.overloadMultiple() * fraction * served.perSecond(now));
    }

    /**
     * Whether an endpoint is warming up. Warm-up is extended by one overload window, so that no later window overlaps
     * with it.
     */
    private boolean isWarmingUp(long startedAt, long now) {
        return startedAt > 0
                && rules.overloadWindow() > 0
                && now - startedAt < rules.warmUpDuration() + rules.overloadWindow();
    }

    /**
     * Capacity, as a fraction of the full capacity, at the beginning of the overload window that ends at the given age.
     */
    private double capacityFraction(long age) {
        double warmUpProgress = Math.max(0, age - rules.overloadWindow()) / Math.max(1.0, rules.warmUpDuration());
        return initialFraction + (1 - initialFraction) * Math.min(1, warmUpProgress);
    }

    /** Invariant: the initial fraction is in (0, 1], and the safe number of units is not negative. */
    public boolean isConsistent() {
        return initialFraction > 0 && initialFraction <= 1 && safeUnits >= 0;
    }
}
