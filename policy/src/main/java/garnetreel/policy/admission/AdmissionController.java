package garnetreel.policy.admission;

import garnetreel.policy.config.SchedulerSettings;
import garnetreel.policy.ratelimit.BudgetBooking;
import java.util.SplittableRandom;

/**
 * Randomly admits a fraction of the demand for an endpoint that cannot serve all of it. Each gateway admits that
 * fraction of its own demand, so the total stays within it whatever the number of gateways and the load of each. Under
 * overload, requests beyond reserve and quota are shed first, then those on the quota, and those on the reserve last.
 */
public final class AdmissionController {
    /** Each of the three bookings has an equal share of the admitted fraction as its priority budget. */
    private static final int PRIORITY_LEVELS = BudgetBooking.RANKS;

    private final SplittableRandom random;
    private final double maxUnits;
    private final long accountingWindow;
    private final long timerResolution;

    /** Creates a controller that uses the scheduler's random number generator. */
    public AdmissionController(SchedulerSettings settings, SplittableRandom random) {
        this.random = random;
        maxUnits = settings.maxUnits();
        accountingWindow = settings.rules().overloadWindow();
        timerResolution = settings.timerResolution();
    }

    /**
     * Decides whether a request is admitted; an admitted request is recorded in the demand estimate.
     *
     * @param booking the budget that the request is booked on
     * @param units size of the request
     * @param demand estimated demand for the shard, this request included
     * @param admittedFraction fraction of the demand that the endpoint's health allows
     * @param warmUpRate units per second that slow start allows
     * @param startedAt when this gateway started
     * @param now current time
     */
    public boolean admits(
            BudgetBooking booking,
            double units,
            DemandEstimate demand,
            double admittedFraction,
            double warmUpRate,
            long startedAt,
            long now) {
        double servableFraction = demand.servableFraction(warmUpRate * observedFraction(startedAt, now), booking);
        double probability = Math.min(PRIORITY_LEVELS * admittedFraction - booking.rank(), servableFraction);
        // Draws a random number only if the probability is below 1: the sequence of draws affects later decisions.
        boolean admitted = (probability >= 1 || random.nextDouble() < probability)
                && !demand.isSurging(warmUpRate, maxUnits, accountingWindow, now);
        if (admitted) {
            demand.recordAdmitted(units);
        }
        return admitted;
    }

    /**
     * Fraction of the demand that the estimate covers: a gateway that has just started has not yet observed all of it.
     */
    private double observedFraction(long startedAt, long now) {
        return 1 - Math.exp((startedAt - now - timerResolution) / DemandEstimate.TIME_CONSTANT);
    }
}
