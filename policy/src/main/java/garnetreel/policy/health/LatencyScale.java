package garnetreel.policy.health;

import garnetreel.policy.config.RequestClass;
import garnetreel.policy.config.SchedulerSettings;

/** Expresses latencies relative to the tightest latency objective of all request classes. */
public final class LatencyScale {
    /** Objective used if no class defines one, in microseconds. */
    private static final long DEFAULT_OBJECTIVE_MICROS = 500_000;
    /** Minimum mean request size, in units; prevents division by zero if the settings define none. */
    private static final double MIN_MEAN_UNITS = 0.1;
    /** A request up to this multiple of the mean size is of typical size. */
    private static final double TYPICAL_SIZE_MULTIPLE = 2;
    /**
     * A response is quick if it takes less than the tightest objective divided by this, whatever the size of the
     * request: a process without a queue responds that fast.
     */
    private static final int QUICK_DIVISOR = 2;

    private final long tightestObjective;
    private final double typicalUnits;

    /** Creates the scale for the given settings. */
    public LatencyScale(SchedulerSettings settings) {
        tightestObjective = settings.classes().stream()
                .mapToLong(RequestClass::latencyObjective)
                .filter(objective -> objective > 0)
                .min()
                .orElse(DEFAULT_OBJECTIVE_MICROS);
        typicalUnits = TYPICAL_SIZE_MULTIPLE * Math.max(MIN_MEAN_UNITS, settings.meanUnits());
    }

    /**
     * Returns a latency as a fraction of the tightest objective; that of a larger request is scaled down to typical
     * size.
     */
    public double relative(long latency, double units) {
        double size = Math.max(1, units / typicalUnits);
        return latency / size / tightestObjective;
    }

    /** Whether a response was so quick that the request cannot have waited in a queue. */
    public boolean isQuick(long latency) {
        return latency < tightestObjective / QUICK_DIVISOR;
    }
}
