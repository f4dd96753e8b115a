package garnetreel.testbed.client;

import java.util.SplittableRandom;

/** Schedules requests and disconnections at exponentially distributed intervals, and the start of verification. */
final class LoadPacing {
    /** Microseconds between the end of the load and verification, in which the last replies arrive. */
    private static final long VERIFY_DELAY = 1_000_000;

    private final NbdLoadSettings settings;
    private final SplittableRandom random;
    private double rateFactor = 1;
    private long startedAt = -1;
    private long nextRequestAt;
    private long nextDisconnectAt = Long.MAX_VALUE;

    LoadPacing(NbdLoadSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    boolean isStarted() {
        return startedAt >= 0;
    }

    void start(long now) {
        startedAt = now;
        nextRequestAt = startedAt + settings.start() + requestGap();
        scheduleDisconnect(now);
    }

    private boolean isStopped(long now) {
        return now >= startedAt + settings.stop();
    }

    boolean isVerifying(long now) {
        return now >= verifyAt();
    }

    long verifyAt() {
        return startedAt + settings.stop() + VERIFY_DELAY;
    }

    void setRateFactor(double factor, long now) {
        rateFactor = factor;
        nextRequestAt = Math.min(nextRequestAt, now + requestGap());
    }

    /** Returns whether a new request is due, and schedules the next one if so. */
    boolean takeRequest(long now) {
        if (now < nextRequestAt || isStopped(now)) {
            return false;
        }
        nextRequestAt += requestGap();
        return true;
    }

    /** Returns whether a disconnection is due, and schedules the next one if so. */
    boolean takeDisconnect(long now) {
        if (now < nextDisconnectAt) {
            return false;
        }
        scheduleDisconnect(now);
        return true;
    }

    private void scheduleDisconnect(long now) {
        nextDisconnectAt = settings.meanDisconnectInterval() <= 0
                ? Long.MAX_VALUE
                : now + exponential(settings.meanDisconnectInterval());
    }

    private long requestGap() {
        return Math.max(1, exponential(1e6 / (settings.requestsPerSecond() * rateFactor)));
    }

    private long exponential(double mean) {
        return (long) (-Math.log(1 - random.nextDouble()) * mean);
    }

    /** Time of the next request or disconnection. */
    long nextDeadline(long now) {
        return isStopped(now) ? Long.MAX_VALUE : Math.min(nextRequestAt, nextDisconnectAt);
    }
}
