package garnetreel.testbed.node;

import java.util.ArrayDeque;

/**
 * Models the warm-up of a node: the fraction of full speed that it has, and whether it collapses under its load while
 * it is cold. All requests that arrive count as load, rejected ones included.
 */
final class WarmUp {
    private record Arrival(long time, int units) {}

    private final NodeSettings settings;
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
    private long startedAt;
    private long arrivedUnits;
    private boolean collapsed;

    WarmUp(NodeSettings settings) {
        this.settings = settings;
    }

    void start(long now) {
        startedAt = now;
    }

    long startedAt() {
        return startedAt;
    }

    boolean isCollapsed() {
        return collapsed;
    }

    /**
     * Counts the arrival of a request.
     *
     * @return the reason why the node collapses; null if it does not
     */
    String recordArrival(int units, long now) {
        if (settings.startedLongAgo()
                || settings.overloadWindow() <= 0
                || now - startedAt >= settings.warmUpDuration()) {
            return null;
        }
        arrivals.add(new Arrival(now, units));
        arrivedUnits += units;
        while (arrivals.peek().time() < now - settings.overloadWindow()) {
            arrivedUnits -= arrivals.poll().units();
        }
        double maxUnits = settings.overloadFactor()
                * settings.unitsPerSecond()
                * speedFraction(now)
                * settings.overloadWindow()
                / 1e6;
        if (arrivedUnits <= maxUnits) {
            return null;
        }
        collapsed = true;
        return arrivedUnits + " units within the window, " + (long) maxUnits + " are borne";
    }

    /** Current speed as a fraction of full speed. */
    double speedFraction(long now) {
        if (settings.startedLongAgo() || settings.warmUpDuration() <= 0) {
            return 1;
        }
        double progress = Math.min(1, (double) (now - startedAt) / settings.warmUpDuration());
        return settings.initialFraction() + (1 - settings.initialFraction()) * progress;
    }
}
