package garnetreel.policy;

import garnetreel.policy.concurrency.InFlightAttempt;
import garnetreel.policy.endpoint.Endpoint;

/** State of one attempt of a request. */
final class Attempt implements InFlightAttempt {
    final Endpoint endpoint;
    private final long sentAt;
    private final long latencyObjective;
    /** True until the outcome of the attempt is known. */
    boolean inFlight = true;

    Attempt(Endpoint endpoint, long sentAt, long latencyObjective) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
        this.latencyObjective = Math.max(1, latencyObjective);
    }

    @Override
    public long sentAt() {
        return sentAt;
    }

    @Override
    public double toObjectiveMultiple(long duration) {
        return (double) duration / latencyObjective;
    }
}
