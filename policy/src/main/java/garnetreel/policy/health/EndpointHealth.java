package garnetreel.policy.health;

/**
 * Health of one endpoint as this gateway observes it: the latency of its responses, the fraction of the demand that is
 * admitted to it as a result, and the time since which it has been unreachable.
 */
public final class EndpointHealth {
    /**
     * A cut, which lowers the admitted fraction after late responses, multiplies it by this factor divided by the mean
     * latency as a multiple of the latency objective.
     */
    private static final double CUT_FACTOR_AT_OBJECTIVE = 0.3;
    /** Minimum factor of a single cut, so that some admitted requests still show the endpoint's state. */
    private static final double MIN_CUT_FACTOR = 0.05;
    /** Minimum admitted fraction after any number of cuts. */
    private static final double MIN_ADMITTED_FRACTION = 0.01;
    /** Time constant of the mean latency, in microseconds: the mean covers roughly the last second. */
    private static final double LATENCY_TIME_CONSTANT_MICROS = 0.8e6;
    /** Latency that a rejected attempt or a failed connection counts as, as a multiple of the latency objective. */
    private static final double FAILURE_LATENCY_MULTIPLE = 3;
    /** A response that takes less than this fraction of the tightest latency objective raises the admitted fraction. */
    private static final double RECOVERY_LATENCY_FRACTION = 0.5;
    /** Factor by which a response below {@link #RECOVERY_LATENCY_FRACTION} raises the admitted fraction. */
    private static final double RECOVERY_FACTOR = 1.5;
    /**
     * The admitted fraction also grows by a factor of e in this time, in microseconds: where few requests are admitted,
     * few responses arrive to raise it.
     */
    private static final double RECOVERY_TIME_CONSTANT_MICROS = 4e6;
    /**
     * An endpoint that was unreachable for longer than this is taken to have restarted, in microseconds; after a
     * shorter time only a connection was lost.
     */
    private static final long RESTART_AFTER_UNREACHABLE_MICROS = 1_000_000;

    private double admittedFraction = 1;
    private long admittedFractionAt;
    /** Admitted fraction before the first of the cuts caused by attempts that were in flight at the same time. */
    private double fractionBeforeCut = 1;

    private long cutAt;
    /**
     * Exponentially decaying sum of latencies, as multiples of the latency objective; the number of responses decays
     * likewise.
     */
    private double latencySum;

    private double latencyCount;
    private long latencyAt;
    /** Time since which the endpoint has been unreachable; 0 if it is reachable. */
    private long unreachableSince;

    private long lastConnectFailureAt;

    /** Fraction of the demand that is admitted to the endpoint; it recovers over time. */
    public double admittedFraction(long now) {
        admittedFraction =
                Math.min(1, admittedFraction * Math.exp((now - admittedFractionAt) / RECOVERY_TIME_CONSTANT_MICROS));
        admittedFractionAt = now;
        return admittedFraction;
    }

    /**
     * Adds the latency of a response to the mean and cuts the admitted fraction if both exceed the objective. A single
     * late response has no effect where the gateway receives many, and is sufficient where it receives only one within
     * the time constant.
     */
    public void recordLatency(long sentAt, double objectiveMultiple, long now) {
        double decay = decay(now);
        double mean = meanIncluding(objectiveMultiple, decay);
        latencySum = latencySum * decay + objectiveMultiple;
        latencyCount = latencyCount * decay + 1;
        latencyAt = now;
        cutIfLate(sentAt, objectiveMultiple, mean, now);
    }

    /** Records a rejected attempt or a failed connection as a late response. */
    public void recordFailure(long sentAt, long now) {
        recordLatency(sentAt, FAILURE_LATENCY_MULTIPLE, now);
    }

    /** Cuts the admitted fraction for an attempt in flight that is past its objective, before its outcome is known. */
    public void observeInFlight(long sentAt, double objectiveMultiple, long now) {
        cutIfLate(sentAt, objectiveMultiple, meanIncluding(objectiveMultiple, decay(now)), now);
    }

    private double decay(long now) {
        return Math.exp((latencyAt - now) / LATENCY_TIME_CONSTANT_MICROS);
    }

    /** Mean latency including one more response. */
    private double meanIncluding(double objectiveMultiple, double decay) {
        return (latencySum * decay + objectiveMultiple) / (latencyCount * decay + 1);
    }

    private void cutIfLate(long sentAt, double objectiveMultiple, double mean, long now) {
        if (objectiveMultiple > 1 && mean > 1) {
            cut(sentAt, Math.max(MIN_CUT_FACTOR, CUT_FACTOR_AT_OBJECTIVE / mean), now);
        }
    }

    /**
     * Cuts the admitted fraction. Attempts that were in flight at the same time cut it once, by the worst latency among
     * them.
     */
    private void cut(long sentAt, double factor, long now) {
        if (sentAt >= cutAt) {
            fractionBeforeCut = admittedFraction(now);
            cutAt = now;
        }
        admittedFraction = Math.max(MIN_ADMITTED_FRACTION, Math.min(admittedFraction(now), fractionBeforeCut * factor));
    }

    /**
     * Raises the admitted fraction after a response whose latency, as a fraction of the tightest objective, is below
     * {@link #RECOVERY_LATENCY_FRACTION}.
     */
    public void recover(double relativeLatency, long now) {
        if (relativeLatency < RECOVERY_LATENCY_FRACTION) {
            admittedFraction = Math.min(1, admittedFraction(now) * RECOVERY_FACTOR);
        }
    }

    /**
     * Resets the admitted fraction after a restart, as it results from observations of the previous process; slow start
     * limits the load instead. The mean latency and the state of the last cut are kept; the mean fades within seconds.
     */
    public void restarted() {
        admittedFraction = 1;
    }

    /** Records a failed connection. Returns true if it is the first since the last response. */
    public boolean connectFailed(long now) {
        boolean first = unreachableSince == 0;
        if (first) {
            unreachableSince = now;
        }
        lastConnectFailureAt = now;
        return first;
    }

    /** Whether connections have failed since the last response. */
    public boolean isUnreachable() {
        return unreachableSince > 0;
    }

    /** Time of the latest failed connection. */
    public long lastConnectFailureAt() {
        return lastConnectFailureAt;
    }

    /**
     * Records a response, after which the endpoint counts as reachable.
     *
     * @param quick whether the response was quick: a process that has just started has no queue, so a slow response
     *     comes from an overloaded process that did not restart
     */
    public Recovery responded(boolean quick, long now) {
        if (!isUnreachable()) {
            return Recovery.NONE;
        }
        boolean restarted = quick && now - unreachableSince > RESTART_AFTER_UNREACHABLE_MICROS;
        unreachableSince = 0;
        return restarted ? Recovery.RESTARTED : Recovery.RECONNECTED;
    }

    /**
     * Invariant: the admitted fraction is within its bounds, and the latest failed connection is no earlier than the
     * first.
     */
    public boolean isConsistent() {
        return admittedFraction >= MIN_ADMITTED_FRACTION
                && admittedFraction <= 1
                && unreachableSince <= lastConnectFailureAt;
    }
}
