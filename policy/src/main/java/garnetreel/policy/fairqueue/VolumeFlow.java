package garnetreel.policy.fairqueue;

import garnetreel.policy.ratelimit.VolumeBuckets;

/** A volume as a flow of fair queueing, with its token buckets. */
public final class VolumeFlow {
    /** Time for which an emptied flow stays active, as a multiple of the mean arrival gap (alpha of MQFQ-Sticky). */
    private static final double ACTIVE_GAP_MULTIPLE = 2;
    /** Time for which an emptied flow stays active while its mean arrival gap is unknown, in microseconds. */
    private static final long INITIAL_ACTIVE_TIME_MICROS = 1_000_000;
    /** Weight of the newest arrival gap in the moving average. */
    private static final double NEWEST_GAP_WEIGHT = 0.2;
    /** Weight of the previous average. */
    private static final double PREVIOUS_GAP_WEIGHT = 0.8;
    /** Represents an unknown mean gap, arrival time or position. */
    private static final int UNKNOWN = -1;

    private final double weight;
    private final VolumeBuckets buckets;
    private double virtualTime;
    private double meanArrivalGap = UNKNOWN;
    private long lastArrivalAt = UNKNOWN;
    private long activeUntil = Long.MIN_VALUE;
    private int held;
    private int inFlight;
    /** Number of requests held for the selected shard; valid during one selection only. */
    private int queueLength;
    /** Position of the oldest of them that may be sent, or {@link #UNKNOWN}; valid during one selection only. */
    private int eligiblePosition;

    VolumeFlow(double weight, VolumeBuckets buckets) {
        this.weight = weight;
        this.buckets = buckets;
    }

    /** Token buckets of the volume. */
    public VolumeBuckets buckets() {
        return buckets;
    }

    /** Whether the flow is taken into account for the system virtual time. */
    boolean isActive(long now) {
        return held > 0 || now <= activeUntil;
    }

    double virtualTime() {
        return virtualTime;
    }

    /** Raises the virtual time of a flow that becomes active again, so that it gains no credit from idle time. */
    void raiseVirtualTime(double systemVirtualTime) {
        virtualTime = Math.max(virtualTime, systemVirtualTime);
    }

    void requestReceived(long now) {
        if (lastArrivalAt >= 0) {
            double gap = now - lastArrivalAt;
            meanArrivalGap = meanArrivalGap < 0 ? gap : PREVIOUS_GAP_WEIGHT * meanArrivalGap + NEWEST_GAP_WEIGHT * gap;
        }
        lastArrivalAt = now;
    }

    /** Records that a request of the flow is held. */
    public void requestHeld() {
        held++;
    }

    /** Records that a request is no longer held; an emptied flow stays active for a while. */
    public void requestReleased(long now) {
        held--;
        if (held == 0) {
            double activeTime = meanArrivalGap < 0 ? INITIAL_ACTIVE_TIME_MICROS : ACTIVE_GAP_MULTIPLE * meanArrivalGap;
            activeUntil = now + (long) activeTime;
        }
    }

    /** Charges the flow for an attempt. */
    public void attemptSent(double units) {
        inFlight++;
        virtualTime += units / weight;
    }

    /** Records that an attempt is no longer in flight. */
    public void attemptEnded() {
        inFlight--;
    }

    boolean isUnused(long now, long retention) {
        return held == 0 && inFlight == 0 && now - lastArrivalAt > retention;
    }

    void beginSelection() {
        queueLength = 0;
        eligiblePosition = UNKNOWN;
    }

    void countQueued() {
        queueLength++;
    }

    boolean hasEligible() {
        return eligiblePosition != UNKNOWN;
    }

    void setEligible(int position) {
        eligiblePosition = position;
    }

    int eligiblePosition() {
        return eligiblePosition;
    }

    /** Whether this flow is selected before another: it has the longer queue or, in a tie, fewer attempts in flight. */
    boolean isPreferredTo(VolumeFlow other) {
        return queueLength > other.queueLength || queueLength == other.queueLength && inFlight < other.inFlight;
    }

    boolean isConsistent() {
        return held >= 0 && inFlight >= 0 && weight > 0 && buckets.isConsistent();
    }
}
