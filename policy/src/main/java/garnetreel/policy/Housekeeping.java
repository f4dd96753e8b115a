package garnetreel.policy;

/** Evicts state that has not been used for a while, so that tables do not grow over the lifetime of a scheduler. */
final class Housekeeping {
    /** Minimum time between two passes, in microseconds: each pass traverses all tables. */
    private static final long PERIOD_MICROS = 1_000_000;

    private final DecisionModules modules;
    private long lastPassAt;

    Housekeeping(DecisionModules modules) {
        this.modules = modules;
    }

    void start(long now) {
        lastPassAt = now;
    }

    void evictUnused(long now) {
        if (now - lastPassAt < PERIOD_MICROS) {
            return;
        }
        lastPassAt = now;
        modules.keySequencer.evictIdleKeys(now);
        modules.fairQueue.evictUnused(now);
        modules.endpoints.evictUnused();
        modules.shards.evictUnused(now);
        modules.retryBudget.evictOldRequests(now);
    }
}
