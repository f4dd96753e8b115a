package garnetreel.policy;

/** Evicts state that has not been used for a while, so that tables do not grow over the lifetime of a scheduler. */
final class Housekeeping {
    /** Minimum time between two passes, microseconds: each pass traverses all tables. */
    private static final long PERIOD = 1_000_000;

    private final DecisionModules modules;
    private long lastPassAt;

    Housekeeping(DecisionModules modules) {
        this.modules = modules;
    }

    void start(long now) {
        lastPassAt = now;
    }

    void evictUnused(long now) {
        if (now - lastPassAt < PERIOD) {
            return;
        }
        lastPassAt = now;
        modules.keySequencer.forgetIdleKeys(now);
        modules.fairQueue.forgetUnused(now);
        modules.endpoints.forgetUnused();
        modules.shards.forgetUnused(now);
        modules.retryBudget.forgetOldRequests(now);
    }
}
