package garnetreel.policy.admission;

import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.ratelimit.ChargedBucket;
import java.util.SplittableRandom;

/**
 * Randomly admits a fraction of the demand for an endpoint that cannot serve all of it. Each gateway admits that
 * fraction of its own demand, so all gateways together admit that fraction of the total demand, whatever their number
 * and the load of each. Under overload, requests beyond the reserved and the provisioned rate are rejected first, then
 * those within the provisioned rate, and those within the reserved rate last.
 */
public final class AdmissionController {
    /**
     * Number of priority ranks. With an admitted fraction f, a request of rank r is admitted with probability 3f - r:
     * some requests beyond both rates are rejected as soon as f is below 1, and all at 2/3; those within the
     * provisioned rate are rejected from 2/3 to 1/3, and those within the reserved rate below 1/3.
     */
    private static final int PRIORITY_RANKS = ChargedBucket.RANKS;

    private final SplittableRandom random;
    private final double maxUnits;
    private final long overloadWindow;
    private final long timerResolution;

    /** Creates a controller that uses the scheduler's random number generator. */
    public AdmissionController(SchedulerSettings settings, SplittableRandom random) {
        this.random = random;
        maxUnits = settings.maxUnits();
        overloadWindow = settings.rules().overloadWindow();
        timerResolution = settings.timerResolution();
    }

    /**
     * Decides whether a request is admitted; an admitted request is recorded in the demand estimate.
     *
     * @param chargedBucket bucket that the request was charged to
     * @param units size of the request
     * @param demand estimated demand for the shard, this request included
     * @param admittedFraction fraction of the demand that the endpoint's health allows
     * @param warmUpRate units per second that slow start allows
     * @param startedAt when this gateway started
     * @param now current time
     */
    public boolean admits(
            ChargedBucket chargedBucket,
            double units,
            DemandEstimate demand,
            double admittedFraction,
            double warmUpRate,
            long startedAt,
            long now) {
        double servableFraction = demand.servableFraction(warmUpRate * observedFraction(startedAt, now), chargedBucket);
        double probability = Math.min(PRIORITY_RANKS * admittedFraction - chargedBucket.rank(), servableFraction);
        // Draws a random number only if the probability is below 1. All components share one generator, so a needless
        // draw would change later decisions, such as the backoff of the subscription.
        boolean admitted = (probability >= 1 || random.nextDouble() < probability)
                && !demand.isSurging(warmUpRate, maxUnits, overloadWindow, now);
        if (admitted) {
            demand.recordAdmitted(units);
        }
        return admitted;
    }

    /**
     * Fraction of the demand that the estimate covers: a gateway that has just started has not yet observed all of it.
     */
    private double observedFraction(long startedAt, long now) {
        return 1 - Math.exp((startedAt - now - timerResolution) / DemandEstimate.TIME_CONSTANT_MICROS);
    }
}
