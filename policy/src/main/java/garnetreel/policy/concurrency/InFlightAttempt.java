package garnetreel.policy.concurrency;

/** Attempt in flight, as the concurrency limiter sees it. */
public interface InFlightAttempt {
    /** Time at which the attempt was sent. */
    long sentAt();

    /** Converts a duration to a multiple of the request's latency objective. */
    double toObjectiveMultiple(long duration);
}
